package replication

import "time"

// burst is how many commands are worked through at most before Run calls after.
const burst = 256

// Actor owns tables and works through a queue of commands.
type Actor struct {
	box  chan func()
	quit chan struct{}
}

// NewActor makes an actor with a bounded queue.
func NewActor(depth int) *Actor {
	return &Actor{box: make(chan func(), depth), quit: make(chan struct{})}
}

// Do queues a command. A full queue holds the caller up.
func (a *Actor) Do(f func()) {
	select {
	case a.box <- f:
	case <-a.quit:
	}
}

// Stop ends Run.
func (a *Actor) Stop() { close(a.quit) }

// Run works through commands; after each burst it calls after, which tells
// when to call it again at the latest (0: whenever).
func (a *Actor) Run(after func() time.Duration) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		if wait := after(); wait > 0 {
			timer.Reset(wait)
		}
		select {
		case f := <-a.box:
			f()
			a.workOff()
		case <-timer.C:
		case <-a.quit:
			return
		}
	}
}

// workOff runs commands that are queued, up to a burst of them.
func (a *Actor) workOff() {
	for range burst {
		select {
		case f := <-a.box:
			f()
		default:
			return
		}
	}
}
