package httpedge

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/edgetest"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
	"oxbowdeck/internal/shardapi"
)

// Stores of the tests below: the edge believes in the first, and the second leads.
const (
	earlierLeader = ids.Node("127.0.0.1:1")
	newLeader     = ids.Node("127.0.0.1:2")
)

// edgeOf is an edge of as many groups as leaders are named, which it believes in; of a group
// whose name is empty it knows no leader.
func edgeOf(t *testing.T, b bounds, leaders ...ids.Node) *Daemon {
	t.Helper()
	d := newDaemon(b)
	d.core = edgetest.NewCore(t)
	d.core.Control.Update = &controlapi.Update{Shards: make([]controlapi.Shard, len(leaders))}
	for g, node := range leaders {
		d.leaders[ids.Group(g)] = &leader{node: node}
	}
	return d
}

// callOf is a message of that id for which one client waits.
func callOf(id string) *call {
	return &call{
		request: paxos.Request{ID: paxos.ID{Origin: id}},
		waiters: []chan outcome{make(chan outcome, 1)},
	}
}

// edgeOfOneGroup is an edge that believes that one group is led by earlierLeader.
func edgeOfOneGroup(t *testing.T) *Daemon {
	return edgeOf(t, bounds{maxCalls: 9, replicaQuiet: 400, resend: 250}, earlierLeader)
}

// leads is a store's word on who leads the group.
func (d *Daemon) leads(now ids.Millis, from, leader ids.Node) {
	body, _ := cbor.Marshal(shardapi.Lead{Group: 0, Node: leader})
	d.handleStoreFrame(now, from, shardapi.KindLead, body)
}

// TestInquiryFollowsTheLeader: a question that went to an earlier leader goes to the one that
// it names at once, and not over and over if two name each other.
func TestInquiryFollowsTheLeader(t *testing.T) {
	d := edgeOfOneGroup(t)
	now := ids.Millis(10_000)
	d.beginInquiry(now, "", "0.m1", false, make(chan inquiryResult, 1))
	asked := func() ids.Millis { return d.inquiries[1].sentAt }
	d.leads(now+1, earlierLeader, newLeader)
	if asked() != now+1 {
		t.Fatalf("asked again after %d ms", asked()-now)
	}
	for i := range ids.Millis(100) {
		d.leads(now+2+2*i, newLeader, earlierLeader)
		d.leads(now+3+2*i, earlierLeader, newLeader)
	}
	if asked() > now+10 {
		t.Fatalf("still sent from one to the other after %d ms", asked()-now)
	}
}

// TestLeaderThatAnswersIsBelieved: another store's word on who leads counts once the leader that
// is believed in has not answered for a while; its own counts at once.
func TestLeaderThatAnswersIsBelieved(t *testing.T) {
	d := edgeOfOneGroup(t)
	now := ids.Millis(10_000)
	d.leaders[0].heardAt = now
	d.leads(now+1, "127.0.0.1:3", newLeader)
	if d.leaders[0].node != earlierLeader {
		t.Fatal("left for the word of another store, a moment after it answered")
	}
	d.leads(now+500, "127.0.0.1:3", newLeader)
	if d.leaders[0].node != newLeader {
		t.Fatal("still believed in after it has not answered for half a second")
	}
	d.leads(now+501, newLeader, earlierLeader)
	if d.leaders[0].node != earlierLeader {
		t.Fatal("its own word does not count")
	}
}
