// Package kin is how the system's nodes know each other lives: each sends
// heartbeats to a few watchers that its place on a ring names; a watcher that
// misses them reports to the control plane, whose leader decides.
package kin

import (
	"cmp"
	"net"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"oxbowdeck/internal/rule"
	"oxbowdeck/internal/unit"
)

// Count of watchers a node has, and of beats missed before they report.
const (
	Count  = 3
	Misses = 4
)

// Watchers gives the nodes that watch n: the next k on the ring. The ring runs
// zone by zone, so heartbeats seldom leave a zone.
func Watchers(nodes []rule.Node, n unit.Node, k int) []unit.Node {
	ring := ring(nodes)
	at := place(ring, n)
	if at < 0 {
		return nil
	}
	var out []unit.Node
	for i := 1; i < len(ring) && len(out) < k; i++ {
		out = append(out, ring[(at+i)%len(ring)].Addr)
	}
	return out
}

// place gives where a node stands on the ring; -1 when it does not.
func place(ring []rule.Node, n unit.Node) int {
	return slices.IndexFunc(ring, func(x rule.Node) bool { return x.Addr == n })
}

func ring(nodes []rule.Node) []rule.Node {
	var out []rule.Node
	for _, n := range nodes {
		if !n.Gone {
			out = append(out, n)
		}
	}
	slices.SortFunc(out, compare)
	return out
}

// compare is the order of the ring: zone by zone.
func compare(a, b rule.Node) int {
	return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Addr, b.Addr))
}

func backwards(a, b rule.Node) int { return compare(b, a) }

// Watch is a node's part in the ring. Its tables belong to one actor; the
// socket's reader hands beats over through Heard.
type Watch struct {
	Self   unit.Node
	Life   unit.Life
	Beat   unit.Millis
	Report func(n unit.Node, life unit.Life)

	conn    *net.UDPConn
	sendTo  []*net.UDPAddr
	watched map[unit.Node]*watched
	beatAt  unit.Millis
}

type watched struct {
	life  unit.Life
	heard unit.Millis
}

type beat struct {
	_    struct{} `cbor:",toarray"`
	Node unit.Node
	Life unit.Life
}

// Listen opens the socket; heard runs on its reader for each beat.
func (w *Watch) Listen(heard func(n unit.Node, life unit.Life)) error {
	w.watched = map[unit.Node]*watched{}
	a, err := net.ResolveUDPAddr("udp4", string(w.Self))
	if err != nil {
		return unit.Err("resolve", string(w.Self), err)
	}
	if w.conn, err = net.ListenUDP("udp4", a); err != nil {
		return unit.Err("listen beats", string(w.Self), err)
	}
	go func() {
		b := make([]byte, 512)
		for {
			n, _, err := w.conn.ReadFromUDP(b)
			if err != nil {
				return
			}
			var x beat
			if cbor.Unmarshal(b[:n], &x) == nil {
				heard(x.Node, x.Life)
			}
		}
	}()
	return nil
}

// Close ends it.
func (w *Watch) Close() {
	if w.conn != nil {
		w.conn.Close()
	}
}

// Nodes takes a new membership: whom to beat to, and whom to watch.
func (w *Watch) Nodes(nodes []rule.Node, now unit.Millis) {
	w.sendTo = nil
	old := w.watched
	w.watched = map[unit.Node]*watched{}
	next, prev := around(nodes, w.Self, Count)
	for _, n := range next {
		if u, err := net.ResolveUDPAddr("udp4", string(n.Addr)); err == nil {
			w.sendTo = append(w.sendTo, u)
		}
	}
	for _, n := range prev {
		if o := old[n.Addr]; o != nil && o.life == n.Life {
			w.watched[n.Addr] = o
		} else {
			w.watched[n.Addr] = &watched{life: n.Life, heard: now}
		}
	}
}

// around gives the k nodes after n on the ring and the k before it, nearest
// first; none when n has no place on it. Each change of the news asks for them at
// every node, so the ring is not sorted for it: one look at each node does.
func around(nodes []rule.Node, n unit.Node, k int) (next, prev []rule.Node) {
	at := slices.IndexFunc(nodes, func(x rule.Node) bool { return x.Addr == n && !x.Gone })
	if at < 0 {
		return nil, nil
	}
	self := nodes[at]
	var after, first, before, last []rule.Node // the k nearest, and the k at the ends
	for _, x := range nodes {
		if x.Gone || x.Addr == n {
			continue
		}
		if c := compare(x, self); c > 0 {
			after = nearest(after, x, k, compare)
		} else {
			before = nearest(before, x, k, backwards)
		}
		first, last = nearest(first, x, k, compare), nearest(last, x, k, backwards)
	}
	return fill(after, first, k), fill(before, last, k)
}

// nearest keeps the k first of what it is given, in order.
func nearest(list []rule.Node, x rule.Node, k int, cmp func(a, b rule.Node) int) []rule.Node {
	i, _ := slices.BinarySearchFunc(list, x, cmp)
	if i >= k {
		return list
	}
	if list = slices.Insert(list, i, x); len(list) > k {
		list = list[:k]
	}
	return list
}

// fill goes on around the ring's end.
func fill(list, more []rule.Node, k int) []rule.Node {
	for _, x := range more {
		if len(list) < k && !slices.ContainsFunc(list, func(y rule.Node) bool { return y.Addr == x.Addr }) {
			list = append(list, x)
		}
	}
	return list
}

// Heard notes a beat.
func (w *Watch) Heard(n unit.Node, life unit.Life, now unit.Millis) {
	if x := w.watched[n]; x != nil && x.life == life {
		x.heard = now
	}
}

// Step sends beats that are due and reports who fell silent. It returns when
// it is next needed.
func (w *Watch) Step(now unit.Millis) unit.Millis {
	if now < w.beatAt {
		return w.beatAt
	}
	late := now - w.beatAt // a process that was itself held up judges nobody
	w.beatAt = now + w.Beat
	if b, err := cbor.Marshal(beat{Node: w.Self, Life: w.Life}); err == nil {
		for _, a := range w.sendTo {
			w.conn.WriteToUDP(b, a)
		}
	}
	patience := w.Beat * Misses
	for n, x := range w.watched {
		if late > w.Beat {
			x.heard = max(x.heard, now-patience/2)
		}
		if now-x.heard > patience { // told with every beat, until the news show it
			w.Report(n, x.life)
		}
	}
	return w.beatAt
}
