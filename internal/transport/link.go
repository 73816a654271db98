package transport

import (
	"log/slog"
	"net"
	"sync"
	"sync/atomic"

	"oxbowdeck/internal/codec"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/invariant"
)

// Link is an ordered stream of frames to and from one peer.
type Link struct {
	hub     *Hub
	to      ids.Node // set on links this side dials
	purpose purpose
	number  uint64 // of a link that was taken: among all of them

	mu        sync.Mutex
	peer      Hello
	conn      net.Conn
	queue     []byte // frames that are to be written
	dead      bool
	pack      bool // deflate what is written
	hasReader bool // its reader was started, and tells of its end

	ready      chan struct{} // there is something to write, or the link ended
	handing    sync.Mutex    // held while a frame is handed over
	lastHeard  atomic.Int64
	lastQueued atomic.Int64 // when a frame was last queued
}

// Heard is when anything was last read, also a part of a frame: not when whoever takes frames got
// to it.
func (l *Link) Heard() ids.Millis { return ids.Millis(l.lastHeard.Load()) }

// Peer is who is at the other end.
func (l *Link) Peer() Hello {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.to != "" {
		return Hello{Node: l.to}
	}
	return l.peer
}

// Before tells whether a peer opened the link before another one to here.
func (l *Link) Before(o *Link) bool { return l.number < o.number }

// Dialed tells whether this side opened the link.
func (l *Link) Dialed() bool { return l.to != "" }

// Send queues one frame; false when the link is dead or its queue is full.
func (l *Link) Send(k Kind, v any) bool {
	b, err := codec.Marshal(v)
	if err != nil {
		slog.Warn("encode-failed", "kind", k, "err", err)
		return false
	}
	return l.SendRaw(k, b)
}

// SendRaw queues a frame that is encoded already.
func (l *Link) SendRaw(k Kind, b []byte) bool {
	l.mu.Lock()
	if l.dead {
		l.mu.Unlock()
		return false
	}
	queued := len(l.queue)
	if queued > 0 && queued+len(b) > l.hub.bounds.Queue {
		l.mu.Unlock()
		slog.Warn("link-full", "peer", l.Peer().Node, "bytes", queued)
		l.Drop()
		return false
	}
	l.queue = appendFrame(l.queue, k, b)
	if bound := l.hub.bounds.Queue + headBytes + 1; len(l.queue) > bound && queued > 0 {
		invariant.Violated(invariant.QueuesBounded, "queue", "link", "peer", l.to, "bytes", len(l.queue), "bound", bound)
	}
	l.lastQueued.Store(int64(ids.MonotonicNow()))
	l.mu.Unlock()
	l.wakeWriter()
	return true
}

// wakeWriter tells the writer to look at the link again.
func (l *Link) wakeWriter() {
	select {
	case l.ready <- struct{}{}:
	default:
	}
}

// flushed tells whether nothing is left that could be written.
func (l *Link) flushed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dead || len(l.queue) == 0
}

// Drop ends the link; the next To dials anew.
func (l *Link) Drop() { l.end(func() bool { return true }) }

// end ends the link if that is wanted, and tells whether it has ended. No frame is queued
// between the question and the end.
func (l *Link) end(wanted func() bool) bool {
	l.mu.Lock()
	if l.dead {
		l.mu.Unlock()
		return true
	}
	if !wanted() {
		l.mu.Unlock()
		return false
	}
	l.dead = true
	l.queue = nil
	conn, hasReader := l.conn, l.hasReader
	l.mu.Unlock()
	l.hub.remove(l) // who is told of the end and sends again is not given this link
	if conn != nil {
		conn.Close()
	}
	l.wakeWriter()
	if !hasReader {
		go l.hub.down(l) // whoever drops a link may be who has to take the news of its end
	}
	return true
}

// remove takes a link that ended out of the tables.
func (h *Hub) remove(l *Link) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r := (route{l.to, l.purpose}); l.to != "" && h.outgoing[r] == l {
		delete(h.outgoing, r)
	}
	delete(h.incoming, l)
}
