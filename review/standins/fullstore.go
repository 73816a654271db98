package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { scenarios["full-store"] = fullStore }

const (
	fullWork  = 300 * time.Millisecond // of a message: well within the guard time
	smallOnes = 1500                   // messages that come due around the stop
)

// fullStore hands in delayed messages until the stores have no room for more, stops one
// store in order (SIGTERM) while messages run, and looks for runs after a success.
func fullStore(r *record, trouble bool) (broken []string, err error) {
	c, err := newCluster(r, 3, true, "limits.memory_mb=144", "limits.disk_mb=510")
	if err != nil {
		return nil, err
	}
	done, err := c.openQueue(fullWork)
	if err != nil {
		return nil, err
	}
	due := time.Now().Add(28 * time.Second)
	got := c.handIn("small", smallOnes, 300, func() time.Duration { return time.Until(due) })
	r.note("%d small messages are accepted, due in %.1f s", got[http.StatusAccepted], time.Until(due).Seconds())
	later := func() time.Duration { return 85 * time.Second }
	for n := 0; ; n++ {
		got := c.handIn(fmt.Sprintf("large-%d", n), 300, 13000, later)
		r.note("of 300 messages of 13,000 bytes %d are accepted, %d refused with 503",
			got[http.StatusAccepted], got[http.StatusServiceUnavailable])
		if got[http.StatusAccepted] == 0 {
			break
		}
		if time.Until(due) < 3*time.Second {
			return nil, fmt.Errorf("the stores were not full in time")
		}
	}
	time.Sleep(time.Until(due) + 1200*time.Millisecond)
	if got := c.handIn("probe", 3, 300, later); got[http.StatusServiceUnavailable] != 3 {
		return nil, fmt.Errorf("the stores have room again: %v", got)
	}
	if trouble {
		p := c.named("store-zone-1")
		c.stop(p, 6*time.Second)
		if err := c.start(p); err != nil {
			return nil, err
		}
	}
	time.Sleep(14 * time.Second)
	return runsAfterSuccess(r, done), nil
}
