package edge

import (
	"bufio"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/invariant"
	"oxbowdeck/internal/paxos"
	"oxbowdeck/internal/transport"
)

// conn is one client's connection. Its counters belong to the edge's actor;
// the outgoing buffer is shared with its writer.
type conn struct {
	daemon        *Daemon
	id            uint64
	netConn       net.Conn
	client        ids.Client
	keyed         bool // it bears a key
	key           controlapi.KeyDigest
	since         ids.Millis
	heardAt       ids.Millis
	attachedAt    ids.Millis // when it was first told that it is attached
	subscriptions map[ids.Topic]*subscription
	calls         map[paxos.ID]*call // that wait for their outcome
	lastSeatCall  uint64
	redirected    bool
	pending       []byte // written since the last flush
	dirty         bool
	behind        map[*subscription]bool // that go on once what waits here was read; see backlog.go

	drained atomic.Bool // the edge is to be told when nothing waits to be written

	mu      sync.Mutex
	out     []byte
	closing bool // close once out is written
	dead    bool
	wake    chan struct{}
}

// newConn takes in a client; its reader and writer are to be started.
func newConn(d *Daemon, id uint64, nc net.Conn) *conn {
	transport.Tune(nc, 5*time.Second)
	now := ids.MonotonicNow()
	return &conn{daemon: d, id: id, netConn: nc, since: now, heardAt: now, wake: make(chan struct{}, 1)}
}

// await has the outcome of a call answered here.
func (c *conn) await(x *call) {
	if c.calls == nil {
		c.calls = map[paxos.ID]*call{}
	}
	c.calls[x.request.ID] = x
	x.conn = c
}

// answered takes it that a call is answered, or that another connection awaits it.
func (c *conn) answered(x *call) { delete(c.calls, x.request.ID) }

// send queues bytes for the client; they leave at the end of the actor's turn.
func (c *conn) send(b []byte) {
	c.pending = append(c.pending, b...)
	if !c.dirty {
		c.dirty = true
		c.daemon.dirty = append(c.daemon.dirty, c)
	}
}

// reject turns a request of the client down, and counts that.
func (c *conn) reject(verb string, topic ids.Topic, seq ids.Seq, cause string) {
	c.daemon.metrics.Rejected(verb, cause)
	c.send(reject(nil, verb, topic, seq, cause))
}

// sendSubscribed answers a SUBSCRIBE with the place it begins at.
func (c *conn) sendSubscribed(t ids.Topic, cursor string) {
	c.send([]byte("SUCCESS SUBSCRIBE " + string(t) + " " + cursor + "\r\n"))
}

// flush hands what was put to the writer. A client that does not read is cut
// off at its bound; the others do not notice.
func (c *conn) flush() {
	c.dirty = false
	c.mu.Lock()
	full := len(c.out)+len(c.pending) > c.daemon.bounds.clientOut
	if !full {
		c.out = append(c.out, c.pending...)
	}
	if len(c.out) > c.daemon.bounds.clientOut {
		invariant.Violated(invariant.QueuesBounded,
			"queue", "client", "bytes", len(c.out), "bound", c.daemon.bounds.clientOut)
	}
	c.mu.Unlock()
	c.pending = c.pending[:0]
	if cap(c.pending) > 16<<10 {
		c.pending = nil
	}
	if full {
		slog.Warn("client-slow", "client", c.client)
		c.end()
		return
	}
	c.wakeWriter()
}

// wakeWriter tells the writer that there is something to write, or an end.
func (c *conn) wakeWriter() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// end cuts the connection now.
func (c *conn) end() {
	c.mu.Lock()
	dead := c.dead
	c.dead = true
	c.mu.Unlock()
	if !dead {
		c.netConn.Close()
		c.wakeWriter()
	}
	c.daemon.forget(c)
}

// endAfterFlush closes it once what is queued is written.
func (c *conn) endAfterFlush() {
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	c.send(nil)
}

// writer writes what was flushed until the connection ends.
func (c *conn) writer() {
	var spare []byte
	for {
		c.mu.Lock()
		b, last, dead := c.out, c.closing, c.dead
		c.out = spare[:0]
		c.mu.Unlock()
		if dead {
			return
		}
		if len(b) == 0 {
			c.tellDrained()
			spare = b
			if last {
				c.netConn.Close()
				return
			}
			<-c.wake
			continue
		}
		if _, err := c.netConn.Write(b); err != nil {
			c.netConn.Close()
			return
		}
		spare = b
		if cap(spare) > 16<<10 {
			spare = nil
		}
	}
}

// reader hands the client's requests to the edge until the connection ends.
func (c *conn) reader() {
	r := bufio.NewReaderSize(c.netConn, 2048)
	for {
		w, err := readRequest(r)
		if err != nil {
			break
		}
		c.daemon.core.Actor.Do(func() { c.daemon.handle(c, w) })
		if w.fatal {
			break
		}
	}
	c.daemon.core.Actor.Do(func() {
		c.mu.Lock()
		last := c.closing
		c.mu.Unlock()
		if !last {
			c.end()
			return
		}
		c.daemon.forget(c)
	})
}
