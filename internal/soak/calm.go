package soak

import (
	"sync"
	"time"
)

// contactTime is how long after a trouble a process that it struck may be out of touch:
// contact_ms of the settings.
const contactTime = 4 * time.Second

// period is a stretch of time; the zero end says that it goes on.
type period struct{ from, to time.Time }

// calendar is when there was trouble that nobody planned: rules that troubles excuse are
// judged only where there was none.
type calendar struct {
	mu      sync.Mutex
	periods []*period
}

// begin notes that a trouble begins; the function it returns notes that it is over.
func (c *calendar) begin() (over func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := &period{from: time.Now()}
	c.periods = append(c.periods, p)
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		p.to = time.Now()
	}
}

// calm tells whether there was no trouble from so long before a time to another.
func (c *calendar) calm(before time.Duration, from, to time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	from = from.Add(-before)
	for _, p := range c.periods {
		if p.from.Before(to) && (p.to.IsZero() || p.to.After(from)) {
			return false
		}
	}
	return true
}

// plannedWork is what operators do of themselves: it excuses nothing.
var plannedWork = map[Kind]bool{Terminate: true, Hangup: true, Retire: true, Add: true}
