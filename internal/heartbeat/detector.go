// Package heartbeat is how the system's nodes know each other lives: each sends
// heartbeats to a few watchers that its place on a ring names; a watcher that
// misses them reports to the control plane, whose leader decides.
package heartbeat

import (
	"cmp"
	"errors"
	"net"
	"slices"
	"time"

	"oxbowdeck/internal/codec"
	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/errs"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/transport"
)

// Count of watchers a node has, and of heartbeats missed before they report.
const (
	WatchersPerNode = 3
	MissesToSuspect = 4
)

// readPause follows a heartbeat that could not be read.
const readPause = 10 * time.Millisecond

// Watchers gives the nodes that watch n: the next k on the ring. The ring runs
// zone by zone, so heartbeats seldom leave a zone.
func Watchers(nodes []controlapi.Node, n ids.Node, k int) []ids.Node {
	ring := ring(nodes)
	at := place(ring, n)
	if at < 0 {
		return nil
	}
	var out []ids.Node
	for i := 1; i < len(ring) && len(out) < k; i++ {
		out = append(out, ring[(at+i)%len(ring)].Addr)
	}
	return out
}

// place gives where a node stands on the ring; -1 when it does not.
func place(ring []controlapi.Node, n ids.Node) int {
	return slices.IndexFunc(ring, func(x controlapi.Node) bool { return x.Addr == n })
}

func ring(nodes []controlapi.Node) []controlapi.Node {
	var out []controlapi.Node
	for _, n := range nodes {
		if !n.Gone {
			out = append(out, n)
		}
	}
	slices.SortFunc(out, compare)
	return out
}

// compare is the order of the ring: zone by zone.
func compare(a, b controlapi.Node) int {
	return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Addr, b.Addr))
}

func backwards(a, b controlapi.Node) int { return compare(b, a) }

// Detector is a node's part in the ring. Its tables belong to one actor; the
// socket's reader hands heartbeats over through Heard.
type Detector struct {
	Self        ids.Node
	Incarnation ids.Incarnation
	Heartbeat   ids.Millis
	Report      func(n ids.Node, incarnation ids.Incarnation)
	Relay       string // of tests: heartbeats go through this address; see transport.RelayHeader

	conn        *net.UDPConn
	sendTo      []destination
	watched     map[ids.Node]*watched
	heartbeatAt ids.Millis
}

type watched struct {
	incarnation ids.Incarnation
	heard       ids.Millis
}

type heartbeat struct {
	_           struct{} `cbor:",toarray"`
	Node        ids.Node
	Incarnation ids.Incarnation
}

// Listen opens the socket; heard runs on its reader for each heartbeat.
func (w *Detector) Listen(heard func(n ids.Node, incarnation ids.Incarnation)) error {
	w.watched = map[ids.Node]*watched{}
	a, err := net.ResolveUDPAddr("udp4", string(w.Self))
	if err != nil {
		return errs.Wrap("resolve", string(w.Self), err)
	}
	if w.conn, err = net.ListenUDP("udp4", a); err != nil {
		return errs.Wrap("listen beats", string(w.Self), err)
	}
	go func() {
		b := make([]byte, 512)
		for {
			n, _, err := w.conn.ReadFromUDP(b)
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil { // of one datagram: the next one may be read
				time.Sleep(readPause)
				continue
			}
			var x heartbeat
			if codec.Unmarshal(b[:n], &x) == nil {
				heard(x.Node, x.Incarnation)
			}
		}
	}()
	return nil
}

// Close ends it.
func (w *Detector) Close() {
	if w.conn != nil {
		w.conn.Close()
	}
}

// Nodes takes a new membership: whom to heartbeat to, and whom to watch.
func (w *Detector) Nodes(nodes []controlapi.Node, now ids.Millis) {
	w.sendTo = nil
	old := w.watched
	w.watched = map[ids.Node]*watched{}
	next, prev := around(nodes, w.Self, WatchersPerNode)
	for _, n := range next {
		if d, err := w.destinationOf(n.Addr); err == nil {
			w.sendTo = append(w.sendTo, d)
		}
	}
	for _, n := range prev {
		if o := old[n.Addr]; o != nil && o.incarnation == n.Incarnation {
			w.watched[n.Addr] = o
		} else {
			w.watched[n.Addr] = &watched{incarnation: n.Incarnation, heard: now}
		}
	}
}

// destination is where heartbeats to a node are sent.
type destination struct {
	addr   *net.UDPAddr
	header []byte // for a relay; its capacity is its length
}

// destinationOf gives where heartbeats to a node are sent: to itself, or to a relay.
func (w *Detector) destinationOf(n ids.Node) (d destination, err error) {
	to := string(n)
	if w.Relay != "" {
		to = w.Relay
		d.header = slices.Clip(transport.RelayHeader(w.Self, n))
	}
	d.addr, err = net.ResolveUDPAddr("udp4", to)
	return d, err
}

// around gives the k nodes after n on the ring and the k before it, nearest
// first; none when n has no place on it. Each change of the update asks for them at
// every node, so the ring is not sorted for it: one look at each node does.
func around(nodes []controlapi.Node, n ids.Node, k int) (next, prev []controlapi.Node) {
	at := slices.IndexFunc(nodes, func(x controlapi.Node) bool { return x.Addr == n && !x.Gone })
	if at < 0 {
		return nil, nil
	}
	self := nodes[at]
	var after, first, before, last []controlapi.Node // the k nearest, and the k at the ends
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
func nearest(list []controlapi.Node, x controlapi.Node, k int, cmp func(a, b controlapi.Node) int) []controlapi.Node {
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
func fill(list, more []controlapi.Node, k int) []controlapi.Node {
	for _, x := range more {
		if len(list) < k && !slices.ContainsFunc(list, func(y controlapi.Node) bool { return y.Addr == x.Addr }) {
			list = append(list, x)
		}
	}
	return list
}

// Heard notes a heartbeat.
func (w *Detector) Heard(n ids.Node, incarnation ids.Incarnation, now ids.Millis) {
	if x := w.watched[n]; x != nil && x.incarnation == incarnation {
		x.heard = now
	}
}

// Step sends heartbeats that are due and reports who fell silent. It returns when
// it is next needed.
func (w *Detector) Step(now ids.Millis) ids.Millis {
	if now < w.heartbeatAt {
		return w.heartbeatAt
	}
	late := now - w.heartbeatAt // a process that was itself held up judges nobody
	w.heartbeatAt = now + w.Heartbeat
	if b, err := codec.Marshal(heartbeat{Node: w.Self, Incarnation: w.Incarnation}); err == nil {
		for _, d := range w.sendTo {
			w.conn.WriteToUDP(append(d.header, b...), d.addr)
		}
	}
	electionTimeout := w.Heartbeat * MissesToSuspect
	for n, x := range w.watched {
		if late > w.Heartbeat {
			x.heard = max(x.heard, now-electionTimeout/2)
		}
		if now-x.heard > electionTimeout { // told with every heartbeat, until the update show it
			w.Report(n, x.incarnation)
		}
	}
	return w.heartbeatAt
}
