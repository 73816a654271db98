package hold

import (
	"net"
	"testing"
	"time"

	"oxbowdeck/internal/accord"
	"oxbowdeck/internal/choir"
	"oxbowdeck/internal/lane"
	"oxbowdeck/internal/rule"
	"oxbowdeck/internal/trace"
	"oxbowdeck/internal/unit"
)

// TestFollowedOverTheLaterLink: what an edge asked over a link it has left comes late
// and takes nothing from the link it came back on.
func TestFollowedOverTheLaterLink(t *testing.T) {
	b, got := lane.Bounds{Queue: 1 << 20, Frame: 1 << 20, Dial: time.Second, Silence: time.Second}, make(chan *lane.Link)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	hub := lane.New(lane.Hello{Node: "store"}, b, func(l *lane.Link, _ lane.Kind, _ []byte) { got <- l }, func(*lane.Link) {})
	if err := hub.Listen(addr); err != nil {
		t.Fatal(err)
	}
	defer hub.Close(0)
	var links []*lane.Link
	for i := 0; i < 2; i++ {
		edge := lane.New(lane.Hello{Node: "edge", Life: 1}, b, func(*lane.Link, lane.Kind, []byte) {}, func(*lane.Link) {})
		defer edge.Close(0)
		edge.Send(unit.Node(addr), trace.KindPing, trace.Ping{})
		links = append(links, <-got)
	}
	me, now := accord.Member{Num: 1, Node: "store"}, unit.Steady()
	core := accord.New(accord.Conf{Self: me, Wnd: 8, WndBytes: 1 << 20, Bsz: 1 << 20, Beat: 10, Patience: 10}, accord.Boot{Eras: []accord.Era{{Seats: []accord.Member{me}}}}, now)
	for ; core.Role() != accord.Leader; now += 5 {
		core.Tick(now)
		core.Synced(now, core.Drain().Token)
	}
	d := &Daemon{ch: &choir.Choir{Parts: map[unit.Group]*choir.Part{0: {Core: core}}}, norm: &rule.Client{News: &rule.News{}}, followers: map[*lane.Link]*follower{}, byEdge: map[unit.Node]*follower{}}
	for _, l := range []*lane.Link{links[1], links[0]} {
		d.follow(l, trace.Follow{Edge: "edge", Life: 1})
	}
	if f := d.byEdge["edge"]; f == nil || f.link != links[1] || len(d.followers) != 1 {
		t.Fatalf("%d links are followed, outcomes go to the later one: %v", len(d.followers), f != nil && f.link == links[1])
	}
}
