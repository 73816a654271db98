package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// oneLeaves: a service has two workers. One of them leaves as planned: it says that it drains,
// serves on for many seconds, and would end after that. One message of some 120 fails, once.
// With the other worker idle, no message may wait for more than 6 s.
func oneLeaves(s *session) (bool, error) {
	const (
		leaveAt  = 2 * time.Second
		failAt   = 3 * time.Second
		length   = 6 * time.Second
		complete = 10 * time.Second // complete_s
		every    = 50 * time.Millisecond
	)
	if err := s.fleet.start(true, 1); err != nil {
		return false, err
	}
	if err := s.fleet.configure(0, queueConfig); err != nil {
		return false, err
	}
	var seen runs
	fails := func(attempt string) bool { // the first time
		for _, x := range seen.list() {
			if x.attempt == attempt {
				return false
			}
		}
		return attempt == "fails"
	}
	var workers []*worker
	for i := range 2 {
		w := &worker{id: fmt.Sprintf("i-%d", i), service: "stock", zone: "zone-1", fleet: s.fleet, work: 30 * time.Millisecond, slots: 6, ran: seen.add, fails: fails}
		if err := w.start(); err != nil {
			return false, err
		}
		workers = append(workers, w)
	}
	time.Sleep(3 * time.Second)
	edges := s.fleet.named("edge-")
	began := time.Now()
	type sent struct{ id, name, front string }
	var messages []sent
	left, failing := false, 0 // how many fail
	for i := 0; time.Since(began) < length; i++ {
		time.Sleep(time.Until(began.Add(time.Duration(i) * every)))
		at := time.Since(began)
		if !left && at >= leaveAt {
			left = true
			if s.trouble {
				s.say("%.1f s: %s says that it leaves, acknowledged: %v", at.Seconds(), workers[0].id, workers[0].leave())
			}
		}
		id := fmt.Sprintf("m%d", i)
		if at >= failAt && failing == 0 {
			id = "fails"
			failing++
		}
		front := edges[i%len(edges)].front
		name, err := handIn(s, front, id, 0)
		if err != nil {
			s.note("sent %s: %v", id, err)
			continue
		}
		messages = append(messages, sent{id, name, front})
	}
	s.say("the traffic has ended: %d messages accepted, %d of them fails once", len(messages), failing)
	time.Sleep(complete)
	had := map[string]bool{}
	for _, x := range seen.list() {
		had[x.attempt] = true
		s.note("run %s at %s, %.3f s, status %d", x.attempt, x.worker, x.at.Sub(began).Seconds(), x.status)
	}
	lost := 0
	for _, m := range messages {
		status, body := call(http.MethodGet, "http://"+m.front+"/v1/message/"+m.name, nil, "")
		s.note("state %s: %d %s", m.id, status, strings.TrimSpace(body))
		if status == http.StatusOK && strings.Contains(body, `"queued"`) && !had[m.id] {
			lost++
		}
	}
	s.say("%.1f s: %d messages are queued that no worker has had, with a worker idle", time.Since(began).Seconds(), lost)
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
