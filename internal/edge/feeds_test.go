package edge

import (
	"testing"
	"time"

	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/edgecore"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
	"oxbowdeck/internal/shardapi"
	"oxbowdeck/internal/transport"
)

// TestEachReplicaIsAskedInTurn: after a loss of all power every replica was found
// wanting a moment ago. The one of the own zone, which lost its disk and cannot be
// followed yet, is not asked again before the others were.
func TestEachReplicaIsAskedInTurn(t *testing.T) {
	update := &controlapi.Update{Shards: make([]controlapi.Shard, 1)}
	for i, n := range []controlapi.Node{{Addr: "own", Zone: "z1"}, {Addr: "b", Zone: "z2"}, {Addr: "c", Zone: "z3"}} {
		n.Role = controlapi.Store
		update.Nodes = append(update.Nodes, n)
		update.Shards[0].Voters = append(update.Shards[0].Voters, paxos.Member{ID: ids.ReplicaID(i + 1), Node: n.Addr})
	}
	d := &Daemon{core: &edgecore.Core{Self: controlapi.Node{Zone: "z1"}, Control: &controlapi.Client{Update: update}}}
	x := &shardFeed{avoid: map[ids.Node]ids.Millis{}}
	if got := d.candidates(1000, x); len(got) != 3 || got[0].Addr != "own" {
		t.Fatalf("asked first: %v", got)
	}
	x.avoid["b"], x.avoid["c"] = 1480, 1500 // refused: the machine is up, its process is not
	asked := map[ids.Node]int{}
	for now := ids.Millis(1000); now < 1200; now += 50 {
		got := d.candidates(now, x)
		if len(got) != 3 {
			t.Fatalf("%d candidates: with none followed each may be asked", len(got))
		}
		asked[got[0].Addr]++
		x.avoid[got[0].Addr] = now + 600 // it cannot be followed
	}
	if asked["own"] != 2 || asked["b"] != 1 || asked["c"] != 1 {
		t.Fatalf("asked in 200 ms: %v", asked)
	}
	x.avoid["c"] = 1100
	if got := d.candidates(1200, x); got[0].Addr != "c" {
		t.Fatalf("%s is asked, and c is not avoided any more", got[0].Addr)
	}
}

// TestNotReadyEndsAFollowing guards against an edge that takes a replica for followed which has just
// said, to an earlier or a second question, that it can't be: its subscriptions would get nothing.
func TestNotReadyEndsAFollowing(t *testing.T) {
	bounded := transport.Bounds{Queue: 1 << 20, RetryMin: time.Minute, RetryMax: time.Minute}
	hub := transport.New(transport.Hello{Node: "e"}, bounded, nil, func(*transport.Link) {})
	update := &controlapi.Update{Shards: make([]controlapi.Shard, 1)}
	d := newDaemon(bounds{})
	d.core = &edgecore.Core{Hub: hub, Control: &controlapi.Client{Update: update}}
	link := hub.To("127.0.0.1:1")
	feed := &shardFeed{candidate: link, avoid: map[ids.Node]ids.Millis{}}
	d.feeds = []*shardFeed{feed}
	d.followed(1000, link, shardapi.Followed{Group: 0, Ready: true})
	if feed.link != link {
		t.Fatal("a replica that is ready is not followed")
	}
	d.followed(1001, link, shardapi.Followed{Group: 0, Ready: false}) // to a question that was asked again
	if feed.link != nil || feed.avoid[link.Peer().Node] <= 1001 {
		t.Fatal("a replica that ended the following is followed on, or asked again at once")
	}
	other := hub.To("127.0.0.1:2")
	feed.candidate, feed.link = nil, other
	d.followed(1002, link, shardapi.Followed{Group: 0, Ready: false}) // of one that was left meanwhile
	if feed.link != other {
		t.Fatal("another replica's word ended the following")
	}
}
