package transport

import (
	"errors"
	"math/rand/v2"
	"net"
	"syscall"
	"time"

	"oxbowdeck/internal/ids"
)

// dialFailure holds dials back: each one that fails doubles the pause, with jitter. A
// refusal after silence begins anew: the machine is back, and its process about to be.
type dialFailure struct {
	pause   time.Duration
	until   time.Time
	refused bool // the last dial was refused, not left unanswered
}

// again is the failure after one more dial that failed.
func (f dialFailure) again(refused bool, b Bounds) dialFailure {
	if refused && !f.refused {
		f.pause = 0
	}
	f.refused = refused
	f.pause = min(max(2*f.pause, b.RetryMin), b.RetryMax)
	f.until = time.Now().Add(f.pause/2 + rand.N(f.pause))
	return f
}

// link gives the link of a route, dialing if there is none. While dials to the node are
// held back it is dead from the start.
func (h *Hub) link(r route) *Link {
	h.mu.Lock()
	defer h.mu.Unlock()
	if l := h.outgoing[r]; l != nil {
		return l
	}
	l := &Link{hub: h, to: r.to, purpose: r.purpose, ready: make(chan struct{}, 1)}
	if h.closed || time.Now().Before(h.dialFailures[r.to].until) {
		l.dead = true
		return l
	}
	h.outgoing[r] = l
	go l.dial()
	return l
}

// dial connects to the link's peer, and writes to it until the link ends.
func (l *Link) dial() {
	h := l.hub
	c, err := h.dialPeer(l.to)
	if err != nil {
		h.dialFailed(l.to, errors.Is(err, syscall.ECONNREFUSED))
		l.Drop()
		return
	}
	Tune(c, h.bounds.Silence)
	h.dialed(l.to)
	pack := l.purpose != bulk && h.Far != nil && h.Far(l.to)
	if !l.connected(c, pack) {
		c.Close()
		return
	}
	l.closeWhenIdle()
	go l.read(c)
	l.write(c, pack)
}

// connected gives a link its connection; false when it was dropped meanwhile.
func (l *Link) connected(c net.Conn, pack bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dead {
		return false
	}
	l.conn = c
	l.pack = pack
	l.hasReader = true
	return true
}

// dialFailed holds the next dial to a node back.
func (h *Hub) dialFailed(n ids.Node, refused bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dialFailures[n] = h.dialFailures[n].again(refused, h.bounds)
}

// dialed forgets the failures of dials to a node.
func (h *Hub) dialed(n ids.Node) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.dialFailures, n)
}
