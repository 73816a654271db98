package store

import (
	"testing"

	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
)

// leadingCore gives the engine of a group whose only voter leads it, as of a time.
func leadingCore(t *testing.T, self paxos.Member) (core *paxos.Core, now ids.Millis) {
	t.Helper()
	config := paxos.Config{
		Self: self, Window: 8, BatchBytes: 1, WindowBytes: 1 << 20, OpenBytes: 1 << 20,
		HeartbeatInterval: 200, ElectionTimeout: 700,
	}
	core = paxos.New(config, paxos.InitialState{Memberships: []paxos.Membership{{Members: []paxos.Member{self}}}}, 0)
	for ; now < 3000; now += 50 {
		core.Tick(now)
		for e := core.Drain(); len(e.Saves)+len(e.Decided) > 0; e = core.Drain() {
			core.Synced(now, e.Token)
		}
	}
	if core.Role() != paxos.Leader {
		t.Fatal("it does not lead")
	}
	return core, now
}

// TestWhoMayBeReleased: learners that neither vote nor lead, and whose attempts, where there are
// any, are not waited for; by a leader that is in touch with a majority.
func TestWhoMayBeReleased(t *testing.T) {
	self := paxos.Member{ID: 1, Node: "s1"}
	learner := paxos.Member{ID: 2, Node: "s2"}
	other := paxos.Member{ID: 3, Node: "s3"}
	core, now := leadingCore(t, self)
	duties := &leaderDuties{self: self.Node}
	shard := &controlapi.Shard{Learners: []paxos.Member{learner, other}}
	if got := duties.releasable(now, core, shard); len(got) != 2 {
		t.Errorf("released %v, want both learners", got)
	}
	shard.Learners = []paxos.Member{self, learner}
	if got := duties.releasable(now, core, shard); len(got) != 1 || got[0] != learner {
		t.Errorf("released %v, want the one that does not lead", got)
	}
	replaced := paxos.Member{ID: 9, Node: "s9"} // it leads, and has no vote any more
	shard.Learners = []paxos.Member{replaced, self, other}
	elsewhere := &leaderDuties{self: replaced.Node}
	if got := elsewhere.releasable(now, core, shard); len(got) != 1 || got[0] != other {
		t.Errorf("released %v, want the one without a vote that does not lead", got)
	}
	follower := paxos.New(paxos.Config{Self: self, Window: 8}, paxos.InitialState{
		Memberships: []paxos.Membership{{Members: []paxos.Member{self, learner}}},
	}, 0)
	shard.Learners = []paxos.Member{other}
	if got := duties.releasable(now, follower, shard); len(got) != 0 {
		t.Errorf("one that was never in touch released %v", got)
	}
}
