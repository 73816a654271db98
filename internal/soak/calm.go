package soak

import (
	"slices"
	"sync"
	"time"
)

// contactTime is how long after a trouble a process that it struck may be out of touch:
// contact_ms of the settings.
const contactTime = 4 * time.Second

// period is a stretch of time; the zero end says that it goes on.
type period struct{ from, to time.Time }

// periods is a list of stretches of time that end one by one.
type periods struct {
	mu   sync.Mutex
	list []*period
}

// begin notes that a period begins; the function it returns notes that it is over.
func (p *periods) begin() (over func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	begun := &period{from: time.Now()}
	p.list = append(p.list, begun)
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		begun.to = time.Now()
	}
}

// any tells whether a test holds for one of the periods.
func (p *periods) any(test func(period) bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.list, func(one *period) bool { return test(*one) })
}

// calendar is when there was trouble that nobody planned: rules that troubles excuse are
// judged only where there was none.
type calendar struct{ troubles periods }

// begin notes that a trouble begins; the function it returns notes that it is over.
func (c *calendar) begin() (over func()) { return c.troubles.begin() }

// calm tells whether there was no trouble from so long before a time to another.
func (c *calendar) calm(before time.Duration, from, to time.Time) bool {
	from = from.Add(-before)
	return !c.troubles.any(func(trouble period) bool {
		return trouble.from.Before(to) && (trouble.to.IsZero() || trouble.to.After(from))
	})
}

// plannedWork is what operators do of themselves: it excuses nothing.
var plannedWork = map[Kind]bool{
	Terminate: true, Hangup: true, Retire: true, Add: true, WorkerDrain: true, WorkerLeave: true,
}
