package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// deferredOverRoll: on a quiet evening messages are handed in that are not to run for 24 s;
// nothing else is sent. Meanwhile the stores are restarted one by one, as planned work. In the
// calm after that, 6 s after the messages were due, each has to have been at a worker.
func deferredOverRoll(s *session) (bool, error) {
	const (
		count   = 12
		delay   = 24 * time.Second
		rollAt  = 9 * time.Second
		rollGap = 5 * time.Second
		judgeAt = 33 * time.Second // 24 s, and contact_ms after the last restart, and 6 s of calm
	)
	if err := s.fleet.start(true, 1); err != nil {
		return false, err
	}
	if err := s.fleet.configure(0, queueConfig); err != nil {
		return false, err
	}
	var seen runs
	for i := range 4 {
		w := &worker{id: fmt.Sprintf("i-%d", i), service: "stock", zone: fmt.Sprintf("zone-%d", i%3+1), fleet: s.fleet, work: 30 * time.Millisecond, slots: 6, ran: seen.add}
		if err := w.start(); err != nil {
			return false, err
		}
	}
	time.Sleep(3 * time.Second)
	began := time.Now()
	edges := s.fleet.named("edge-")
	accepted := map[string]string{} // the name of each, by its id
	for i := range count {
		id := fmt.Sprintf("m%d", i)
		name, err := handIn(s, edges[i%len(edges)].front, id, delay)
		if err != nil {
			return false, fmt.Errorf("message %s: %w", id, err)
		}
		accepted[id] = name
	}
	last := time.Now()
	s.say("%d messages accepted, to run %s later", len(accepted), delay)
	if s.trouble {
		for i, p := range s.fleet.named("store-") {
			time.Sleep(time.Until(began.Add(rollAt + time.Duration(i)*rollGap)))
			s.say("%.1f s: SIGTERM to %s, as planned work", time.Since(began).Seconds(), p.name)
			s.fleet.terminate(p)
			if err := s.fleet.restarted(p); err != nil {
				return false, err
			}
		}
		s.say("%.1f s: the last store is started again", time.Since(began).Seconds())
	}
	time.Sleep(time.Until(last.Add(judgeAt)))
	ran := map[string]bool{}
	for _, x := range seen.list() {
		ran[x.attempt] = true
		s.note("run %s at %s, %.3f s after the first was handed in", x.attempt, x.worker, x.at.Sub(began).Seconds())
	}
	lost := 0
	for i := range count {
		id := fmt.Sprintf("m%d", i)
		state := ""
		for try := range 10 {
			status, body := call(http.MethodGet, "http://"+edges[(i+try)%len(edges)].front+"/v1/message/"+accepted[id], nil, "")
			state = fmt.Sprint(status, " ", strings.TrimSpace(body))
			if status == http.StatusOK {
				break
			}
			time.Sleep(200 * time.Millisecond)
		}
		s.note("state %s: %s", id, state)
		if !ran[id] && strings.Contains(state, `"queued"`) {
			lost++
		}
	}
	s.say("%.1f s: %d of %d messages are queued, %s after they were due, and no worker has had them", time.Since(began).Seconds(), lost, count, judgeAt-delay)
	return lost == 0, nil
}

// handIn hands a message in; it gives its name.
func handIn(s *session, front, id string, delay time.Duration) (string, error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+front+"/rooms/house-7", strings.NewReader("two rooms less"))
	if err != nil {
		return "", err
	}
	r.Header.Set("X-Attempt-Id", id)
	r.Header.Set("X-Time-Remaining", "1200")
	r.Header.Set("X-Defer-Ms", fmt.Sprint(delay.Milliseconds()))
	answer, err := caller.Do(r)
	if err != nil {
		return "", err
	}
	defer answer.Body.Close()
	name := answer.Header.Get("X-Message-Id")
	s.note("sent %s answer %d name %s", id, answer.StatusCode, name)
	if answer.StatusCode != http.StatusAccepted {
		return "", fmt.Errorf("answer %d", answer.StatusCode)
	}
	return name, nil
}
