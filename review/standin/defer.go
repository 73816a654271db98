package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// Bounds of the case of delayed messages.
const (
	delayed    = 16
	deferTime  = 25 * time.Second
	rollAt     = 20 * time.Second // after the messages were sent
	rollCount  = 2
	rollGap    = time.Second
	askAfter   = 12 * time.Second // after the messages' time has come
	watchAfter = 35 * time.Second // how long the runs are watched for after that time
	askTime    = 2 * time.Second
	startPause = 2 * time.Second
)

// delayedMessage is a message that was accepted.
type delayedMessage struct {
	id   string
	name string // it is asked for by
	sent time.Time
}

// deferCase hands in messages that are to run later, in a quiet hour, and restarts two
// stores in order before their time comes. Long after that time none may be queued still.
func deferCase(r *run) (bool, error) {
	d, err := newDeployment(r, shape{zones: 4, stores: 1, edges: 1, queue: true, losses: 1})
	if err != nil {
		return false, err
	}
	if err := d.startAll(); err != nil {
		return false, err
	}
	if err := d.putConfiguration(0, queueConfiguration(), 20*time.Second); err != nil {
		return false, err
	}
	all := &runs{}
	for i := range 4 {
		w, err := startWorker(d, all, i, i%4, 16, workTime)
		if err != nil {
			return false, err
		}
		defer w.stop()
	}
	if err := d.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(startPause)
	began := time.Now()
	messages, err := d.sendDelayed()
	if err != nil {
		return false, err
	}
	time.Sleep(time.Until(began.Add(rollAt)))
	for i := range rollCount {
		if r.trouble {
			d.restart(d.stores[i])
		}
		time.Sleep(rollGap)
	}
	due := time.Now()
	for _, m := range messages {
		if at := m.sent.Add(deferTime); at.After(due) {
			due = at
		}
	}
	time.Sleep(time.Until(due.Add(askAfter)))
	queued := d.askDelayed(messages, all)
	time.Sleep(time.Until(due.Add(watchAfter)))
	late := 0
	for _, m := range messages {
		list := all.byMessage()[m.id]
		if len(list) == 0 {
			r.note("%s has not run %v after its time", m.id, watchAfter)
			continue
		}
		after := list[0].began.Sub(m.sent.Add(deferTime))
		r.note("%s ran %v after its time", m.id, after.Round(time.Millisecond))
		if after > askAfter {
			late++
		}
	}
	d.recordEvents()
	r.note("%d of %d messages were queued, and no worker had had them, %v after their time; %d ran later than that",
		queued, len(messages), askAfter, late)
	return queued > 0, nil
}

// sendDelayed hands the messages in, at all edges.
func (d *deployment) sendDelayed() (messages []delayedMessage, err error) {
	for i := range delayed {
		edge := d.edges[i%len(d.edges)]
		m := delayedMessage{id: fmt.Sprintf("%016x", rand.Uint64()), sent: time.Now()}
		request, err := http.NewRequest("POST", "http://"+d.front(edge)+"/rooms/"+m.id[:4], strings.NewReader("two rooms less"))
		if err != nil {
			return nil, err
		}
		request.Host = "rooms.example"
		request.Header.Set("X-Attempt-Id", m.id)
		request.Header.Set("X-Defer-Ms", fmt.Sprint(deferTime.Milliseconds()))
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return nil, err
		}
		response.Body.Close()
		if m.name = response.Header.Get("X-Message-Id"); m.name == "" {
			m.name = m.id
		}
		d.line("client at %s: %s with X-Defer-Ms %d: %d %s", edge.name, m.id, deferTime.Milliseconds(), response.StatusCode, m.name)
		if response.StatusCode != http.StatusAccepted {
			return nil, fmt.Errorf("a message was answered %d", response.StatusCode)
		}
		messages = append(messages, m)
	}
	d.note("%d messages were accepted that are to run %v after they were sent", len(messages), deferTime)
	return messages, nil
}

// askDelayed asks how the messages stand, and counts those that are queued and that no
// worker has had.
func (d *deployment) askDelayed(messages []delayedMessage, all *runs) int {
	queued := 0
	ran := all.byMessage()
	for i, m := range messages {
		edge := d.edges[i%len(d.edges)]
		code, answer, err := call("GET", "http://"+d.front(edge)+"/v1/message/"+m.name, nil, nil, askTime)
		d.line("client at %s: GET /v1/message/%s: %d %s %v", edge.name, m.name, code, strings.TrimSpace(string(answer)), err)
		var said struct {
			State string `json:"op_state"`
		}
		if err == nil && code == http.StatusOK && json.Unmarshal(answer, &said) == nil && said.State == "queued" && len(ran[m.id]) == 0 {
			queued++
		}
	}
	return queued
}
