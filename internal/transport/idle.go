package transport

import (
	"time"

	"oxbowdeck/internal/ids"
)

// unused is how long no frame has passed over the link, either way.
func (l *Link) unused() time.Duration {
	last := ids.Millis(max(l.lastQueued.Load(), l.lastHeard.Load()))
	return (ids.MonotonicNow() - last).Duration()
}

// Idle tells whether nothing used the link lately: its end says nothing of the peer.
func (l *Link) Idle() bool {
	return l.hub.bounds.Idle > 0 && l.unused() >= l.hub.bounds.Idle/2
}

// closeWhenIdle closes a link that this side dialed once nothing has used it for a
// while. Links are made when they are first needed, to leaders and sources of updates
// that change; without an end to those no longer needed each process would come to have
// one to every other.
func (l *Link) closeWhenIdle() {
	idle := l.hub.bounds.Idle
	if idle <= 0 {
		return
	}
	l.lastQueued.Store(int64(ids.MonotonicNow()))
	var look func()
	look = func() {
		if !l.end(func() bool { return len(l.queue) == 0 && l.unused() >= idle }) {
			time.AfterFunc(max(idle-l.unused(), idle/8), look)
		}
	}
	time.AfterFunc(idle, look)
}
