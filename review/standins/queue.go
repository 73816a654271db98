package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// queueConfiguration is one route to one service, which does not deduplicate.
const queueConfiguration = `{"config_release": RELEASE,
 "routing_entries": [{"label": "rooms", "host_id": "", "path_prefix": "/rooms/", "route_class": "deferred",
  "guard_timer_ms": 1500, "target_ms": 150, "prio_level": 2, "service_ref": "stock", "max_attempts": 3,
  "in_sequence": false, "hold_s": 90.0, "start_target_ms": 1200}],
 "service_set": [{"label": "stock", "health_path": "/health", "conn_limit": 390, "rate_per_s": 0.0,
  "dedup_capable": false, "fixed_endpoint": null}],
 "limits": {"header_max_bytes": 16384, "body_max_bytes": 262144}}`

// guard is the guard_timer_ms of that route.
const guard = 1500 * time.Millisecond

// openQueue configures a queue, and starts a worker in each zone.
func (c *cluster) openQueue(work time.Duration) (*runs, error) {
	if err := c.configure(0, 1, queueConfiguration); err != nil {
		return nil, err
	}
	if err := c.awaitReady(); err != nil {
		return nil, err
	}
	done := &runs{}
	for i := range c.zones {
		w := &worker{
			r: c.r, c: c, id: fmt.Sprintf("w%d", i+1), service: "stock", zone: fmt.Sprintf("zone-%d", i+1),
			slots: 60, runs: done, work: work,
		}
		if err := w.start(200 + i); err != nil {
			return nil, err
		}
	}
	time.Sleep(1500 * time.Millisecond) // for the workers' registration
	return done, nil
}

// handIn hands in messages at the edges in turn, each on a connection of its own.
func (c *cluster) handIn(name string, count, size int, delay func() time.Duration) map[int]int {
	got := map[int]int{}
	var mu sync.Mutex
	var wait sync.WaitGroup
	next := make(chan int)
	for range 48 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for i := range next {
				id := fmt.Sprintf("%s-%d", name, i)
				status, _, err := call("POST", "http://"+c.front(i%c.zones)+"/rooms/"+id, randomText(size), map[string]string{
					"Host": "rooms.example", "X-Attempt-Id": id, "X-Defer-Ms": fmt.Sprint(delay().Milliseconds()),
				})
				c.r.line("client hands in %s: %d %v", id, status, err)
				mu.Lock()
				got[status]++
				mu.Unlock()
			}
		}()
	}
	for i := range count {
		next <- i
	}
	close(next)
	wait.Wait()
	return got
}

// randomText gives text that does not deflate well.
func randomText(size int) string {
	var b strings.Builder
	for b.Len() < size {
		fmt.Fprintf(&b, "%c", rune(33+rand.IntN(94)))
	}
	return b.String()
}

// runsAfterSuccess lists the messages that ran again after a success whose answer was
// complete 50 ms before the route's time-out and was read by who sent the message.
func runsAfterSuccess(r *record, done *runs) (broken []string) {
	messages := done.byID()
	for id, list := range messages {
		for i, n := range list {
			ok := n.status == http.StatusOK && !n.answered.IsZero() && n.answered.Sub(n.began) < guard-50*time.Millisecond
			if !ok || n.read != "next" && n.read != "end" {
				continue
			}
			for _, later := range list[i+1:] {
				if later.began.After(n.answered) {
					broken = append(broken, fmt.Sprintf("%s ran at %s from %.3f, success answered at %.3f and read (%s); it ran again at %s from %.3f",
						id, n.worker, r.at(n.began), r.at(n.answered), n.read, later.worker, r.at(later.began)))
				}
			}
		}
	}
	r.note("%d messages ran; %d runs came after a success that was read", len(messages), len(broken))
	return broken
}
