package watch

import (
	"net"
	"testing"
	"time"

	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/transport"
)

// farAndTwoNear gives an edge's subscription beside three stores that listen, of which
// the first is in another zone.
func farAndTwoNear(t *testing.T) (*Subscription, *controlapi.Update) {
	links := transport.Bounds{Queue: 1 << 20, Frame: 1 << 16, Dial: time.Second, Silence: time.Second, RetryMin: time.Millisecond, RetryMax: time.Millisecond}
	nothing := func(*transport.Link, transport.Kind, []byte) {}
	update := &controlapi.Update{Seq: 10}
	for _, zone := range []ids.Zone{"far", "near", "near"} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addr := ln.Addr().String()
		ln.Close()
		h := transport.New(transport.Hello{Node: ids.Node(addr)}, links, nothing, func(*transport.Link) {})
		if err := h.Listen(addr); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { h.Close(0) })
		update.Nodes = append(update.Nodes, controlapi.Node{Role: controlapi.Store, Zone: zone, Addr: ids.Node(addr)})
	}
	hub := transport.New(transport.Hello{Node: "edge"}, links, nothing, func(*transport.Link) {})
	t.Cleanup(func() { hub.Close(0) })
	update.Nodes = append(update.Nodes, controlapi.Node{Role: controlapi.Edge, Zone: "near", Addr: "edge", Incarnation: 1})
	return &Subscription{Hub: hub, Zone: "near", Quiet: 400, Control: &controlapi.Client{Update: update, Self: controlapi.Node{Addr: "edge", Incarnation: 1}}}, update
}

// TestHome: an edge hears the update from one store of its zone, however many it
// follows; it leaves one that has not heard control, and one whose updates are older
// than another's for a while; control is asked when none is left.
func TestHome(t *testing.T) {
	d, update := farAndTwoNear(t)
	at := func() ids.Node { return d.source.Peer().Node }

	d.Watch(10000)
	first := at()
	if first == update.Nodes[0].Addr {
		t.Fatal("the home is in another zone")
	}
	d.controlHeardAt = 10900
	if d.Watch(11600); at() != first || d.needsControl(11600) {
		t.Fatal("a home that heard control was left")
	}
	d.Watch(11800) // not heard control for 0.9 s
	second := at()
	if second == first || second == update.Nodes[0].Addr {
		t.Fatalf("home %s after %s", second, first)
	}
	if d.Watch(12700); at() != update.Nodes[0].Addr {
		t.Fatal("with both of the zone wanting, the other zone's is asked")
	}
	if !d.needsControl(13000) || !d.Control.Direct {
		t.Fatal("control itself is not asked, though no home has heard it for two seconds")
	}

	d.controlHeardAt = 15000
	l := d.Hub.To(second)
	d.compareSeq(15000, l, 11)
	if d.compareSeq(15900, l, 12); at() == second {
		t.Fatal("left a home for being a moment behind")
	}
	update.Seq = 11 // what was missed came
	d.compareSeq(16200, l, 12)
	if d.compareSeq(17100, l, 13); at() == second {
		t.Fatal("left a home that brings the news, if a moment late")
	}
	if d.compareSeq(17300, l, 13); at() != second {
		t.Fatal("stayed with a home that is behind for over a second")
	}
}

// TestSourceWhoseLinkEndsAtOnce: a store whose link ends as soon as it stands is not asked
// again and again to be the update source, nor is it given up for good.
func TestSourceWhoseLinkEndsAtOnce(t *testing.T) {
	const stores, begin, step = 3, ids.Millis(10000), ids.Millis(10)
	d, _ := farAndTwoNear(t)
	asked := 0
	for now := begin; now < begin+avoidUnreached; now += step {
		d.Watch(now)
		if d.source != nil {
			asked++
			d.Down(now, d.source)
		}
	}
	if asked > stores {
		t.Fatalf("%d stores were asked %d times within %d ms", stores, asked, avoidUnreached)
	}
	if d.Watch(begin + 2*avoidUnreached); d.source == nil {
		t.Fatal("no store is asked, though each was left alone for a while")
	}
}
