// Package home is an edge's tie to the store that brings it the news.
package home

import (
	"math/rand/v2"

	"oxbowdeck/internal/lane"
	"oxbowdeck/internal/rule"
	"oxbowdeck/internal/trace"
	"oxbowdeck/internal/unit"
)

// Tie is the store of this zone that brings the news, or the search for one. Its
// methods run on one actor.
type Tie struct {
	Hub   *lane.Hub
	Norm  *rule.Client
	Zone  unit.Zone
	Quiet unit.Millis // silence after which a store is left for another
	Ends  bool        // the process ends: no other is looked for

	at      *lane.Link  // the home
	askedAt unit.Millis // when it was asked
	toldAt  unit.Millis // when it last had heard the control plane
	newer   unit.Slot   // news that some store has and the home did not bring yet
	newerAt unit.Millis
	shunned map[unit.Node]unit.Millis // stores that did not serve as home, until when
}

// homeless is how long no store served as home before control itself is asked
// for the news.
func (t *Tie) homeless() unit.Millis { return 5 * t.Quiet }

// Watch sees to it that one store brings the news: of this zone if one is there
// that hears control, else of any.
func (t *Tie) Watch(now unit.Millis) {
	if t.Ends || t.Norm.News == nil {
		return
	}
	if t.at != nil && now-max(t.askedAt, t.toldAt) <= 2*t.Quiet {
		if t.Norm.Lacks() {
			t.hear(now, t.at) // changes did not fit: all of it, from the same
		}
		return
	}
	if t.at != nil {
		t.leave(now, "told_ms", now-t.toldAt)
	}
	var near, far []unit.Node
	for _, n := range t.Norm.News.Nodes {
		switch {
		case n.Duty != rule.Store || n.Gone || t.shunned[n.Addr] > now:
		case n.Zone == t.Zone:
			near = append(near, n.Addr)
		default:
			far = append(far, n.Addr)
		}
	}
	for _, list := range [][]unit.Node{near, far} {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		for _, a := range list {
			if t.hear(now, t.Hub.To(a)) {
				return
			}
			t.shun(a, now+500) // could not be reached a moment ago
		}
	}
}

// Step sees to the news: from a store, and, to be enrolled or when no store
// brings them, from control itself. It tells whether control is being asked.
func (t *Tie) Step(now unit.Millis) (asks bool) {
	t.Watch(now)
	if t.untold(now) {
		t.Norm.Step(now)
		return true
	}
	if t.Norm.Tied() && now-t.toldAt < t.Quiet {
		t.Norm.Rest()
	}
	return false
}

// Down takes it that a link broke.
func (t *Tie) Down(now unit.Millis, l *lane.Link) {
	if l == t.at {
		t.at, t.toldAt = nil, 0
		t.Watch(now)
	}
}

// Beat takes a store's sign of life.
func (t *Tie) Beat(now unit.Millis, l *lane.Link, p trace.Pulse) {
	if l == t.at && p.Told {
		t.toldAt = now
	}
	t.compare(now, l, p.Seq)
}

// Sweep forgets whom to shun no more.
func (t *Tie) Sweep(now unit.Millis) {
	for a, until := range t.shunned {
		if now > until {
			delete(t.shunned, a)
		}
	}
}

func (t *Tie) shun(a unit.Node, until unit.Millis) {
	if t.shunned == nil {
		t.shunned = map[unit.Node]unit.Millis{}
	}
	t.shunned[a] = until
}

// leave ends what a store is to this edge, and shuns it for a while.
func (t *Tie) leave(now unit.Millis, why string, since unit.Millis) {
	peer := t.at.Peer().Node
	unit.Log("home-lost", "peer", peer, why, since)
	t.shun(peer, now+3000)
	t.at.Send(trace.KindHear, trace.Hear{Off: true})
	t.at = nil
}

// behindFor is how long other stores may have newer news than the home brought.
const behindFor = unit.Millis(1000)

// compare turns to a store that has had newer news for a while: the home is slow,
// or lost them.
func (t *Tie) compare(now unit.Millis, l *lane.Link, seq unit.Slot) {
	if t.Norm.News == nil || seq <= t.Norm.News.Seq {
		return
	}
	if t.newer <= t.Norm.News.Seq {
		t.newer, t.newerAt = seq, now
		return
	}
	if now-t.newerAt <= behindFor || now-t.askedAt <= behindFor {
		return
	}
	if t.at != nil && t.at != l {
		t.leave(now, "behind_ms", now-t.newerAt)
	}
	t.hear(now, l)
}

func (t *Tie) hear(now unit.Millis, l *lane.Link) bool {
	if !l.Send(trace.KindHear, trace.Hear{Seq: t.Norm.Seq()}) {
		return false
	}
	t.Norm.Asked()
	if t.at != l {
		unit.Log("home", "peer", l.Peer().Node)
	}
	t.at, t.askedAt = l, now
	return true
}

// untold tells whether norm must be asked: to be enrolled, or for the news.
func (t *Tie) untold(now unit.Millis) bool {
	t.Norm.Direct = t.Norm.News != nil && now-t.toldAt > t.homeless()
	return t.Norm.News == nil || t.Norm.Direct || !t.Norm.Listed()
}
