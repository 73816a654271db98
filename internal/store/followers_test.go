package store

import (
	"net"
	"testing"
	"time"

	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
	"oxbowdeck/internal/replication"
	"oxbowdeck/internal/shardapi"
	"oxbowdeck/internal/topic"
	"oxbowdeck/internal/transport"
)

// TestFollowedOverTheLaterLink: what an edge asked over a link it has left comes late
// and takes nothing from the link it came back on.
func TestFollowedOverTheLaterLink(t *testing.T) {
	bounds := transport.Bounds{Queue: 1 << 20, Frame: 1 << 20, Dial: time.Second, Silence: time.Second}
	got := make(chan *transport.Link)
	receive := func(l *transport.Link, _ transport.Kind, _ []byte) { got <- l }
	ignore := func(*transport.Link, transport.Kind, []byte) {}
	ignoreDown := func(*transport.Link) {}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	hub := transport.New(transport.Hello{Node: "store"}, bounds, receive, ignoreDown)
	if err := hub.Listen(addr); err != nil {
		t.Fatal(err)
	}
	defer hub.Close(0)
	var links []*transport.Link
	for i := 0; i < 2; i++ {
		edge := transport.New(transport.Hello{Node: "edge", Incarnation: 1}, bounds, ignore, ignoreDown)
		defer edge.Close(0)
		edge.Send(ids.Node(addr), shardapi.KindPing, shardapi.Ping{})
		links = append(links, <-got)
	}
	me := paxos.Member{ID: 1, Node: "store"}
	now := ids.MonotonicNow()
	config := paxos.Config{
		Self:              me,
		Window:            8,
		WindowBytes:       1 << 20,
		BatchBytes:        1 << 20,
		HeartbeatInterval: 10,
		ElectionTimeout:   10,
	}
	founded := paxos.InitialState{Memberships: []paxos.Membership{{Members: []paxos.Member{me}}}}
	core := paxos.New(config, founded, now)
	for ; core.Role() != paxos.Leader; now += 5 {
		core.Tick(now)
		core.Synced(now, core.Drain().Token)
	}
	d := &Daemon{
		replicas:  &replication.Manager{Replicas: map[ids.Group]*replication.Replica{0: {Core: core}}},
		control:   &controlapi.Client{Update: &controlapi.Update{}},
		placement: &placement{},
	}
	d.followers = newFollowers(d.groupOf)
	d.shards = newTopicShards(topic.Bounds{}, d.followers)
	for _, l := range []*transport.Link{links[1], links[0]} {
		d.follow(l, shardapi.Follow{Edge: "edge", Incarnation: 1})
	}
	if f := d.followers.byEdge["edge"]; f == nil || f.link != links[1] || len(d.followers.byLink) != 1 {
		toLater := f != nil && f.link == links[1]
		t.Fatalf("%d links are followed, outcomes go to the later one: %v", len(d.followers.byLink), toLater)
	}
}
