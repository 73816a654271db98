// Package hollow is edges without clients, many in one process: each enrols, has
// a home that brings it the news, beats on the ring and asks who leads, as a real
// one does. Beside real control processes and stores they show what a large
// fleet costs those.
package hollow

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"oxbowdeck/internal/choir"
	"oxbowdeck/internal/home"
	"oxbowdeck/internal/kin"
	"oxbowdeck/internal/lane"
	"oxbowdeck/internal/rule"
	"oxbowdeck/internal/trace"
	"oxbowdeck/internal/unit"
)

// Edge is one of them.
type Edge struct {
	Self  rule.Node
	Hub   *lane.Hub
	actor *choir.Actor
	norm  *rule.Client
	home  home.Tie
	kin   *kin.Watch

	Release atomic.Int64 // of the configuration it was told last
	At      atomic.Int64 // when, in milliseconds of this process
	Listed  atomic.Bool  // the news name it
}

// Conf of an edge.
type Conf struct {
	Name  string
	Zone  unit.Zone
	Addr  unit.Node
	Seeds []unit.Node
	Beat  unit.Millis
	Links lane.Bounds
}

// Start begins a life.
func Start(c Conf) (*Edge, error) {
	e := &Edge{actor: choir.NewActor(256)}
	e.Self = rule.Node{Name: c.Name, Duty: rule.Edge, Zone: c.Zone, Addr: c.Addr, Front: string(c.Addr), Life: unit.Life(rand.Uint64() >> 1)}
	e.Hub = lane.New(lane.Hello{Node: c.Addr, Life: e.Self.Life}, c.Links, e.frame, func(l *lane.Link) {
		e.actor.Do(func() { e.home.Down(unit.Steady(), l) })
	})
	e.norm = &rule.Client{Hub: e.Hub, Self: e.Self, Seeds: c.Seeds, OnNews: e.news, Quiet: 1500}
	e.home = home.Tie{Hub: e.Hub, Norm: e.norm, Zone: c.Zone, Quiet: 400}
	e.kin = &kin.Watch{Self: c.Addr, Life: e.Self.Life, Beat: c.Beat, Report: func(n unit.Node, life unit.Life) {
		e.norm.Tell(rule.KindMissing, rule.Leave{Addr: n, Life: life, By: c.Addr})
	}}
	if err := e.kin.Listen(func(n unit.Node, life unit.Life) {
		e.actor.Do(func() { e.kin.Heard(n, life, unit.Steady()) })
	}); err != nil {
		return nil, err
	}
	go e.actor.Run(e.step)
	return e, nil
}

func (e *Edge) frame(l *lane.Link, k lane.Kind, b []byte) {
	e.actor.Do(func() {
		now := unit.Steady()
		if e.norm.Frame(l.Peer().Node, k, b, now) || k != trace.KindBeat {
			return
		}
		if x, ok := lane.Get[trace.Pulse](b); ok {
			e.home.Beat(now, l, x)
		}
	})
}

func (e *Edge) news(n *rule.News) {
	now := unit.Steady()
	if n.Seq > 0 {
		e.kin.Nodes(n.Nodes, now)
	}
	if e.Release.Swap(n.Release) != n.Release {
		e.At.Store(int64(now))
	}
	e.Listed.Store(e.norm.Listed())
}

func (e *Edge) step() time.Duration {
	now := unit.Steady()
	wait := unit.Millis(500)
	if e.home.Step(now) {
		wait = 100
	}
	e.home.Sweep(now)
	return max(min(wait, e.kin.Step(now)-now), 1).Span()
}

// Stop ends it without a word.
func (e *Edge) Stop() {
	e.kin.Close()
	e.Hub.Close(0)
	e.actor.Stop()
}
