// Package hollowedge is edges without clients, many in one process: each enrols, has
// a home that brings it the update, heartbeats on the ring and asks who leads, as a real
// one does. Beside real control processes and stores they show what a large
// fleet costs those.
package hollowedge

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/heartbeat"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/replication"
	"oxbowdeck/internal/shardapi"
	"oxbowdeck/internal/transport"
	"oxbowdeck/internal/watch"
)

// Edge is one of them.
type Edge struct {
	Self     controlapi.Node
	Hub      *transport.Hub
	actor    *replication.Actor
	control  *controlapi.Client
	home     watch.Subscription
	detector *heartbeat.Detector

	Release atomic.Int64 // of the configuration it was told last
	At      atomic.Int64 // when, in milliseconds of this process
	Listed  atomic.Bool  // the update name it
}

// Conf of an edge.
type Conf struct {
	Name      string
	Zone      ids.Zone
	Addr      ids.Node
	Seeds     []ids.Node
	Heartbeat ids.Millis
	Links     transport.Bounds
}

// Start begins an incarnation.
func Start(c Conf) (*Edge, error) {
	e := &Edge{actor: replication.NewActor(256)}
	e.Self = controlapi.Node{
		Name:        c.Name,
		Role:        controlapi.Edge,
		Zone:        c.Zone,
		Addr:        c.Addr,
		Front:       string(c.Addr),
		Incarnation: ids.Incarnation(rand.Uint64() >> 1),
	}
	hello := transport.Hello{Node: c.Addr, Incarnation: e.Self.Incarnation}
	e.Hub = transport.New(hello, c.Links, e.frame, func(l *transport.Link) {
		e.actor.Do(func() { e.home.Down(ids.MonotonicNow(), l) })
	})
	e.control = &controlapi.Client{Hub: e.Hub, Self: e.Self, Seeds: c.Seeds, OnUpdate: e.update, Quiet: 1500}
	e.home = watch.Subscription{Hub: e.Hub, Control: e.control, Zone: c.Zone, Quiet: 400}
	e.detector = &heartbeat.Detector{
		Self:        c.Addr,
		Incarnation: e.Self.Incarnation,
		Heartbeat:   c.Heartbeat,
		Report: func(n ids.Node, incarnation ids.Incarnation) {
			e.control.Tell(controlapi.KindMissing, controlapi.Leave{Addr: n, Incarnation: incarnation, By: c.Addr})
		},
	}
	if err := e.detector.Listen(func(n ids.Node, incarnation ids.Incarnation) {
		e.actor.Do(func() { e.detector.Heard(n, incarnation, ids.MonotonicNow()) })
	}); err != nil {
		return nil, err
	}
	go e.actor.Run(e.step)
	return e, nil
}

func (e *Edge) frame(l *transport.Link, k transport.Kind, b []byte) {
	e.actor.Do(func() {
		now := ids.MonotonicNow()
		if e.control.Frame(l.Peer().Node, k, b, now) || k != shardapi.KindHeartbeat {
			return
		}
		if x, ok := transport.Get[shardapi.Heartbeat](b); ok {
			e.home.Heartbeat(now, l, x)
		}
	})
}

func (e *Edge) update(n *controlapi.Update) {
	now := ids.MonotonicNow()
	if n.Seq > 0 {
		e.detector.Nodes(n.Nodes, now)
	}
	if e.Release.Swap(n.Release) != n.Release {
		e.At.Store(int64(now))
	}
	e.Listed.Store(e.control.Listed())
}

func (e *Edge) step() time.Duration {
	now := ids.MonotonicNow()
	wait := ids.Millis(500)
	if e.home.Step(now) {
		wait = 100
	}
	e.home.Sweep(now)
	return max(min(wait, e.detector.Step(now)-now), 1).Duration()
}

// Stop ends it without a word.
func (e *Edge) Stop() {
	e.detector.Close()
	e.Hub.Close(0)
	e.actor.Stop()
}
