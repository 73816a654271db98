package edge

import (
	"math/rand/v2"
	"time"

	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/shardapi"
)

const (
	drainInterval   = 40 * time.Millisecond  // between looks at what is left
	tellInterval    = 200 * time.Millisecond // between words to control that this edge leaves
	callGrace       = 400 * time.Millisecond // a client whose calls are open stays so long
	unlistedTimeout = 600 * time.Millisecond // for control to show that it knows
	goodbyePause    = 60 * time.Millisecond  // for what was said last to leave
	flushTimeout    = 200 * time.Millisecond
)

// drain is the leave of an edge, under way.
type drain struct {
	began  time.Time
	toldAt time.Time // when control was last told
	others []string  // fronts of the edges that clients are sent to
	turn   int
}

// Stop drains: clients are sent to other edges, their calls are answered, and
// the process ends within the drain time.
func (d *Daemon) Stop() {
	deadline := d.core.DrainDeadline()
	x := &drain{began: time.Now()}
	found := make(chan struct{})
	d.core.Actor.Do(func() {
		d.core.BeginLeave()
		x.others = d.otherEdges()
		close(found)
	})
	<-found
	for ; time.Now().Before(deadline); time.Sleep(drainInterval) {
		left := make(chan int, 1)
		d.core.Actor.Do(func() { left <- d.drainStep(x) })
		if <-left == 0 {
			break
		}
	}
	d.core.Actor.Do(d.endAll)
	time.Sleep(goodbyePause)
	d.listener.Close()
	d.core.Close(flushTimeout)
}

// otherEdges lists the fronts of the edges of this zone, or of all if it has no other,
// in random order.
func (d *Daemon) otherEdges() []string {
	var near, far []string
	for _, n := range d.update().Nodes {
		switch {
		case n.Role != controlapi.Edge || n.Gone || n.Addr == d.core.Self.Addr:
		case n.Zone == d.core.Self.Zone:
			near = append(near, n.Front)
		default:
			far = append(far, n.Front)
		}
	}
	if len(near) == 0 {
		near = far
	}
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	return near
}

// drainStep sends clients on whose calls are answered, and counts what keeps the edge.
func (d *Daemon) drainStep(x *drain) (left int) {
	// told until the update shows it, as long as this process lives
	if d.core.Control.Listed() && time.Since(x.toldAt) > tellInterval {
		x.toldAt = time.Now()
		d.core.TellLeave()
	}
	for _, c := range d.conns {
		if !c.redirected && (len(c.calls) == 0 || time.Since(x.began) > callGrace) {
			c.redirected = true
			x.redirect(c)
		}
	}
	left = len(d.conns) + len(d.calls)
	if d.core.Control.Listed() && time.Since(x.began) < unlistedTimeout {
		left++
	}
	return left
}

// redirect sends a client to the next of the other edges.
func (x *drain) redirect(c *conn) {
	if len(x.others) == 0 {
		c.endAfterFlush()
		return
	}
	c.send([]byte("REDIRECT " + x.others[x.turn%len(x.others)] + "\r\n"))
	x.turn++
}

// endAll cuts off who is left, and tells the replicas followed.
func (d *Daemon) endAll() {
	for _, c := range d.conns {
		c.end()
	}
	for _, feed := range d.feeds {
		if feed.link != nil {
			feed.link.Send(shardapi.KindBye, shardapi.Bye{Groups: []ids.Group{feed.group}})
		}
	}
}
