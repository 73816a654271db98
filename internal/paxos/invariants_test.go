package paxos

import (
	"testing"

	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/invariant"
)

// decidedOne is a follower that knows instance 1 to be decided as value.
func decidedOne(value []byte) *Core {
	members := []Member{{ID: 1, Node: "a"}, {ID: 2, Node: "b"}, {ID: 3, Node: "c"}}
	c := New(Config{Self: members[0], Window: 4, ElectionTimeout: 300, HeartbeatInterval: 80}, InitialState{
		Memberships: []Membership{{Members: members}},
		Entries:     []Entry{{Slot: 1, Ballot: 5, Val: value}},
		Commit:      1,
	}, 0)
	c.Drain()
	return c
}

// TestAnotherDecisionIsSeen: a leader that proposes another value for a decided instance, or a
// peer that feeds one, shows that two values were decided.
func TestAnotherDecisionIsSeen(t *testing.T) {
	value, other := encode(Value{Stamp: 1}), encode(Value{Stamp: 2})
	accept := func(val []byte) Msg { return Msg{Kind: Accept, From: 2, Ballot: 9, Slot: 1, Val: val} }
	decidedOne(value).Receive(10, "b", accept(value)) // the same again is no fault
	invariant.Expect(t, invariant.DecidedOnce, func() { decidedOne(value).Receive(10, "b", accept(other)) })
	invariant.Expect(t, invariant.DecidedOnce, func() {
		feed := Msg{Kind: Feed, From: 2, Ballot: 9, Commit: 1, Entries: []Entry{{Slot: 1, Ballot: 9, Val: other}}}
		decidedOne(value).Receive(10, "b", feed)
	})
}

// TestFallingPromiseIsSeen: what a replica promised is compared at each turn.
func TestFallingPromiseIsSeen(t *testing.T) {
	c := decidedOne(encode(Value{}))
	c.Receive(10, "b", Msg{Kind: Heartbeat, From: 2, Ballot: 9, Commit: 1})
	c.Drain()
	c.promised = ids.Ballot(8)
	invariant.Expect(t, invariant.EpochNeverFalls, func() { c.Drain() })
}
