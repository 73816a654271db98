package home

import (
	"net"
	"testing"
	"time"

	"oxbowdeck/internal/lane"
	"oxbowdeck/internal/rule"
	"oxbowdeck/internal/unit"
)

// TestHome: an edge hears the news from one store of its zone, however many it
// follows; it leaves one that has not heard control, and one whose news are older
// than another's for a while; control is asked when none is left.
func TestHome(t *testing.T) {
	links := lane.Bounds{Queue: 1 << 20, Frame: 1 << 16, Dial: time.Second, Silence: time.Second, RetryMin: time.Millisecond, RetryMax: time.Millisecond}
	nothing := func(*lane.Link, lane.Kind, []byte) {}
	news := &rule.News{Seq: 10}
	for _, zone := range []unit.Zone{"far", "near", "near"} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addr := ln.Addr().String()
		ln.Close()
		h := lane.New(lane.Hello{Node: unit.Node(addr)}, links, nothing, func(*lane.Link) {})
		if err := h.Listen(addr); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { h.Close(0) })
		news.Nodes = append(news.Nodes, rule.Node{Duty: rule.Store, Zone: zone, Addr: unit.Node(addr)})
	}
	hub := lane.New(lane.Hello{Node: "edge"}, links, nothing, func(*lane.Link) {})
	t.Cleanup(func() { hub.Close(0) })
	news.Nodes = append(news.Nodes, rule.Node{Duty: rule.Edge, Zone: "near", Addr: "edge", Life: 1})
	d := &Tie{Hub: hub, Zone: "near", Quiet: 400, Norm: &rule.Client{News: news, Self: rule.Node{Addr: "edge", Life: 1}}}
	at := func() unit.Node { return d.at.Peer().Node }

	d.Watch(10000)
	first := at()
	if first == news.Nodes[0].Addr {
		t.Fatal("the home is in another zone")
	}
	d.toldAt = 10900
	if d.Watch(11600); at() != first || d.untold(11600) {
		t.Fatal("a home that heard control was left")
	}
	d.Watch(11800) // not heard control for 0.9 s
	second := at()
	if second == first || second == news.Nodes[0].Addr {
		t.Fatalf("home %s after %s", second, first)
	}
	if d.Watch(12700); at() != news.Nodes[0].Addr {
		t.Fatal("with both of the zone wanting, the other zone's is asked")
	}
	if !d.untold(13000) || !d.Norm.Direct {
		t.Fatal("control itself is not asked, though no home has heard it for two seconds")
	}

	d.toldAt = 15000
	l := d.Hub.To(second)
	d.compare(15000, l, 11)
	if d.compare(15900, l, 12); at() == second {
		t.Fatal("left a home for being a moment behind")
	}
	news.Seq = 11 // what was missed came
	d.compare(16200, l, 12)
	if d.compare(17100, l, 13); at() == second {
		t.Fatal("left a home that brings the news, if a moment late")
	}
	if d.compare(17300, l, 13); at() != second {
		t.Fatal("stayed with a home that is behind for over a second")
	}
}
