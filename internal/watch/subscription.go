// Package watch is an edge's subscription to the store that brings it the update, its
// update source, and with it the configuration it answers by.
package watch

import (
	"log/slog"
	"math/rand/v2"
	"sync/atomic"

	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/shardapi"
	"oxbowdeck/internal/transport"
)

// Subscription is to the store of this zone that brings the update, or the search for
// one. Its methods run on one actor, but for View.
type Subscription struct {
	Hub     *transport.Hub
	Control *controlapi.Client
	Zone    ids.Zone
	Quiet   ids.Millis // silence after which a store is left for another
	Ending  bool       // the process ends: no other is looked for

	source         *transport.Link // the update source; nil: none
	subscribedAt   ids.Millis      // when it was asked
	controlHeardAt ids.Millis      // when it last said that it hears control
	newerSeq       ids.Slot        // an update that some store has and the source did not bring yet
	newerSince     ids.Millis
	avoided        map[ids.Node]ids.Millis // stores that did not serve as source, until when

	view       atomic.Pointer[View]
	probeAt    ids.Millis // when the source was last probed
	probeOpen  bool       // and has not answered
	answeredAt ids.Millis // when the last probe that this source answered was sent; 0: none
}

// How long a store is not asked again to be the update source.
const (
	avoidUnreached = ids.Millis(500)  // it was not reached, or the link to it ended soon
	avoidLeft      = ids.Millis(3000) // it was left
)

// sourcelessLimit is how long no store served as update source before control itself is
// asked for the update.
func (t *Subscription) sourcelessLimit() ids.Millis { return 5 * t.Quiet }

// Watch sees to it that one store brings the update: of this zone if one is there
// that hears control, else of any.
func (t *Subscription) Watch(now ids.Millis) {
	if t.Ending || t.Control.Update == nil {
		return
	}
	if t.source != nil && now-max(t.subscribedAt, t.controlHeardAt) <= 2*t.Quiet {
		if t.Control.Lacks() {
			t.subscribe(now, t.source) // changes did not fit: all of it, from the same
		}
		t.probe(now, t.source)
		return
	}
	if t.source != nil {
		t.unsubscribe(now, "told_ms", now-t.controlHeardAt)
	}
	t.findSource(now)
}

// findSource asks a store to be the update source.
func (t *Subscription) findSource(now ids.Millis) {
	var near, far []ids.Node
	for _, n := range t.Control.Update.Nodes {
		switch {
		case n.Role != controlapi.Store || n.Gone || t.avoided[n.Addr] > now:
		case n.Zone == t.Zone:
			near = append(near, n.Addr)
		default:
			far = append(far, n.Addr)
		}
	}
	for _, list := range [][]ids.Node{near, far} {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		for _, a := range list {
			if t.subscribe(now, t.Hub.To(a)) {
				return
			}
			t.avoid(a, now+avoidUnreached)
		}
	}
}

// Step sees to the update: from a store, and, to be enrolled or when no store
// brings them, from control itself. It tells whether control is being asked.
func (t *Subscription) Step(now ids.Millis) (asks bool) {
	t.Watch(now)
	if t.needsControl(now) {
		t.Control.Step(now)
		return true
	}
	if t.Control.Connected() && now-t.controlHeardAt < t.Quiet {
		t.Control.Rest()
	}
	return false
}

// Down takes it that a link broke. A source whose link lasted may be asked again at once;
// one whose link ended soon is left alone for a while, as links that are made and end at
// once are not held back as dials that fail are.
func (t *Subscription) Down(now ids.Millis, l *transport.Link) {
	if l != t.source {
		return
	}
	if now-t.subscribedAt < avoidUnreached {
		t.avoid(l.Peer().Node, now+avoidUnreached)
	}
	t.source, t.controlHeardAt = nil, 0
	t.Watch(now)
}

// Heartbeat takes a store's heartbeat.
func (t *Subscription) Heartbeat(now ids.Millis, l *transport.Link, p shardapi.Heartbeat) {
	if l == t.source && p.Told {
		t.controlHeardAt = now
		t.confirm(p.Seq)
	}
	t.compareSeq(now, l, p.Seq)
}

// Sweep forgets whom to avoid no more.
func (t *Subscription) Sweep(now ids.Millis) {
	for a, until := range t.avoided {
		if now > until {
			delete(t.avoided, a)
		}
	}
}

// avoid notes that a store is not to be asked for a while.
func (t *Subscription) avoid(a ids.Node, until ids.Millis) {
	if t.avoided == nil {
		t.avoided = map[ids.Node]ids.Millis{}
	}
	t.avoided[a] = until
}

// unsubscribe leaves the update source, and avoids it for a while.
func (t *Subscription) unsubscribe(now ids.Millis, why string, since ids.Millis) {
	peer := t.source.Peer().Node
	slog.Warn("update-source-lost", "peer", peer, why, since)
	t.avoid(peer, now+avoidLeft)
	t.source.Send(shardapi.KindHear, shardapi.Hear{Off: true})
	t.source = nil
}

// behindLimit is how long other stores may have newer updates than the source brought.
const behindLimit = ids.Millis(1000)

// compareSeq turns to a store that has had newer updates for a while: the source is slow,
// or lost them.
func (t *Subscription) compareSeq(now ids.Millis, l *transport.Link, seq ids.Slot) {
	if t.Control.Update == nil || seq <= t.Control.Update.Seq {
		return
	}
	if t.newerSeq <= t.Control.Update.Seq {
		t.newerSeq, t.newerSince = seq, now
		return
	}
	if now-t.newerSince <= behindLimit || now-t.subscribedAt <= behindLimit {
		return
	}
	if t.source != nil && t.source != l {
		t.unsubscribe(now, "behind_ms", now-t.newerSince)
	}
	t.subscribe(now, l)
}

// subscribe asks a store to be the update source; false if it could not be reached.
func (t *Subscription) subscribe(now ids.Millis, l *transport.Link) bool {
	if t.source != l { // before the question, so that its answer counts as a confirmation
		t.probeAt, t.answeredAt = 0, 0
		t.probe(now, l)
	}
	if !l.Send(shardapi.KindHear, shardapi.Hear{Seq: t.Control.Seq()}) {
		return false
	}
	t.Control.Asked()
	if t.source != l {
		slog.Info("update-source", "peer", l.Peer().Node)
	}
	t.source, t.subscribedAt = l, now
	return true
}

// needsControl tells whether control must be asked: to be enrolled, or for the update.
func (t *Subscription) needsControl(now ids.Millis) bool {
	t.Control.Direct = t.Control.Update != nil && now-t.controlHeardAt > t.sourcelessLimit()
	return t.Control.Update == nil || t.Control.Direct || !t.Control.Listed()
}
