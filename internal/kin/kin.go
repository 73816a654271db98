// Package kin is how the system's nodes know each other lives: each sends
// heartbeats to a few watchers that its place on a ring names; a watcher that
// misses them reports to the control plane, whose leader decides.
package kin

import (
	"net"
	"slices"
	"sort"

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
	sort.Slice(out, func(i, j int) bool {
		if out[i].Zone != out[j].Zone {
			return out[i].Zone < out[j].Zone
		}
		return out[i].Addr < out[j].Addr
	})
	return out
}

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
	ring := ring(nodes)
	at := place(ring, w.Self)
	if at < 0 {
		return
	}
	for i := 1; i < len(ring) && i <= Count; i++ {
		if u, err := net.ResolveUDPAddr("udp4", string(ring[(at+i)%len(ring)].Addr)); err == nil {
			w.sendTo = append(w.sendTo, u)
		}
		n := ring[(at-i+len(ring))%len(ring)]
		if o := old[n.Addr]; o != nil && o.life == n.Life {
			w.watched[n.Addr] = o
		} else {
			w.watched[n.Addr] = &watched{life: n.Life, heard: now}
		}
	}
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
