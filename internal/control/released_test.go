package control

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
)

// withheld gives the reports of leaders that release nobody.
func withheld(reports map[ids.Group]Report) map[ids.Group]Report {
	for group, report := range reports {
		report.Released = nil
		reports[group] = report
	}
	return reports
}

// retireVoter orders the first voter of the first shard to be emptied, and lets the moves
// come to rest while no leader releases anybody.
func retireVoter(t *testing.T, p *play) (name string, voter paxos.Member) {
	t.Helper()
	voter = p.Shards[0].Voters[0]
	name = p.find(voter.Node).Name
	p.do(t, Command{Verb: Retire, Node: controlapi.Node{Name: name}, Losses: 1})
	for range 20 {
		for _, move := range p.Moves(withheld(p.simulatedReports(nil, false))) {
			p.do(t, move)
		}
		p.inForce()
	}
	return name, voter
}

// TestRetiredStoreFollowsUntilReleased guards against a store that is called emptied, and
// told nothing more of its shard, while it has yet to report what it began as its leader.
func TestRetiredStoreFollowsUntilReleased(t *testing.T) {
	p := &play{}
	p.found(t, 1, 1, "a", "b", "c", "d")
	name, voter := retireVoter(t, p)
	if p.holds(voter.Node) != 0 || index(p.Shards[0].Learners, voter) < 0 {
		t.Fatalf("%v is to follow without a vote: %+v", voter, p.Shards[0])
	}
	if _, asked, done := p.Emptied(name); !asked || done {
		t.Fatalf("asked %v, done %v, though its shard's leader has not released it", asked, done)
	}
	p.settle(t, nil, false)
	if _, _, done := p.Emptied(name); !done || len(p.Shards[0].Learners) != 0 {
		t.Fatalf("done %v once it is released: %+v", done, p.Shards[0])
	}
}

// TestGoneStoreIsEmptied: an order comes to its end for a store that ended, whoever waits
// for what it began.
func TestGoneStoreIsEmptied(t *testing.T) {
	p := &play{}
	p.found(t, 1, 1, "a", "b", "c", "d")
	name, voter := retireVoter(t, p)
	p.do(t, Command{Verb: Leave, Node: *p.find(voter.Node)})
	for _, move := range p.Moves(withheld(p.simulatedReports(nil, false))) {
		p.do(t, move)
	}
	if _, _, done := p.Emptied(name); !done {
		t.Fatalf("not done, though the store is gone: %+v", p.Shards[0])
	}
}

// TestOrderOutlivesADisk guards against an order that never ends: the machine lost its disk
// before it was emptied, joined as an empty one and was given back what it had held. A machine
// of the same name and address that joins after the end of the order is not meant.
func TestOrderOutlivesADisk(t *testing.T) {
	t.Run("while it has votes", func(t *testing.T) {
		p := &play{}
		p.found(t, 2, 1, "a", "b", "c", "d")
		voter := p.Shards[0].Voters[0]
		name := p.find(voter.Node).Name
		p.do(t, Command{Verb: Retire, Node: controlapi.Node{Name: name}, Losses: 1})
		loseDisk(t, p, name, voter)
	})
	t.Run("while it follows", func(t *testing.T) {
		p := &play{}
		p.found(t, 2, 1, "a", "b", "c", "d")
		name, voter := retireVoter(t, p)
		loseDisk(t, p, name, voter)
	})
}

// loseDisk has a store that is being emptied join with a new disk, and once more after the end of
// its order.
func loseDisk(t *testing.T, p *play, name string, voter paxos.Member) {
	t.Helper()
	rejoin := func(disk uint64) {
		p.do(t, Command{Verb: Enroll, KeepsOrders: true, Node: controlapi.Node{
			Name: name, Role: controlapi.Store, Zone: "a", Addr: voter.Node, Disk: disk, Incarnation: ids.Incarnation(disk),
		}})
	}
	rejoin(101)
	for _, shard := range p.Shards {
		if index(shard.Voters, voter) >= 0 || index(shard.Learners, voter) >= 0 {
			t.Errorf("the new disk has the old one's number: %+v", shard)
		}
	}
	if _, asked, done := p.Emptied(name); !asked || done {
		t.Errorf("asked %v, done %v, once the disk is lost", asked, done)
	}
	p.settle(t, nil, false)
	if _, _, done := p.Emptied(name); !done || p.holds(voter.Node) != 0 {
		t.Fatalf("done %v: %+v", done, p.Shards)
	}
	if result := p.do(t, Command{Verb: Retire, Node: controlapi.Node{Name: name}, Losses: 1}); result != Done {
		t.Errorf("the order, once more: %v", result)
	}
	rejoin(102)
	if p.find(voter.Node).Empty {
		t.Error("a machine that joins after the end of the order is to be emptied")
	}
}

// TestBalancedVoterFollowsUntilReleased: a store that gives a vote to a less loaded one may
// have led as well.
func TestBalancedVoterFollowsUntilReleased(t *testing.T) {
	p := &play{}
	p.found(t, 2, 1, "a", "b", "c")
	p.do(t, Command{Verb: Enroll, Node: controlapi.Node{
		Name: "new", Role: controlapi.Store, Zone: "b", Addr: "10.0.9.9:1", Disk: 77, Incarnation: 1,
	}})
	for range 20 {
		for _, move := range p.Moves(withheld(p.simulatedReports(nil, false))) {
			p.do(t, move)
		}
		p.inForce()
	}
	replaced := paxos.Member{ID: p.find("10.0.0.1:1").Num, Node: "10.0.0.1:1"}
	if p.holds("10.0.9.9:1") != 1 || p.holds(replaced.Node) != 1 {
		t.Fatalf("the votes are not shared: %+v", p.Shards)
	}
	follows := func() int {
		return len(p.Shards[0].Learners) + len(p.Shards[1].Learners)
	}
	if follows() != 1 {
		t.Fatalf("%d follow, want the one replaced: %+v", follows(), p.Shards)
	}
	if p.settle(t, nil, false); follows() != 0 {
		t.Fatalf("%d follow on once released: %+v", follows(), p.Shards)
	}
}

// TestReleaseOfThisPlacement: a release counts for the placement and the leader that it is of,
// and for a while.
func TestReleaseOfThisPlacement(t *testing.T) {
	const placedAt, epoch = 40, 7
	learner := paxos.Member{ID: 3, Node: "s3"}
	released := func(c *Control, group ids.Group, epoch ids.Ballot, at ids.Slot) {
		t.Helper()
		b, err := cbor.Marshal(controlapi.Released{Group: group, Epoch: epoch, At: at, Learners: []paxos.Member{learner}})
		if err != nil {
			t.Fatal(err)
		}
		if !c.Frame(1000, nil, controlapi.KindReleased, b) {
			t.Fatal("the report was not taken")
		}
	}
	for _, step := range []struct {
		what  string
		group ids.Group
		epoch ids.Ballot
		at    ids.Slot
		now   ids.Millis
		want  int
	}{
		{"this placement", 0, epoch, placedAt, 1000, 1},
		{"an older placement", 0, epoch, placedAt - 1, 1000, 0},
		{"another leader's", 0, epoch - 1, placedAt, 1000, 0},
		{"a shard that there is not", 1, epoch, placedAt, 1000, 0},
		{"too long ago", 0, epoch, placedAt, 1001 + shardReportAge, 0},
	} {
		c := leading(t)
		c.state.Shards = []controlapi.Shard{{Group: 0, At: placedAt}}
		released(c, step.group, step.epoch, step.at)
		c.now = step.now
		if got := c.releasedLearners(step.group, epoch); len(got) != step.want {
			t.Errorf("%s: released %v, want %d", step.what, got, step.want)
		}
		if len(c.releasedReports) > 1 {
			t.Errorf("%s: %d reports are kept of one shard", step.what, len(c.releasedReports))
		}
	}
	c, core, b, _ := controlled(t) // it follows n1, which is to be told
	c.state.Shards = []controlapi.Shard{{Group: 0, At: placedAt}}
	heard(core, 900)
	b.sent = nil
	released(c, 0, epoch, placedAt)
	if len(b.sent) != 1 || b.sent[0] != controlapi.KindReleased || len(c.releasedReports) != 0 {
		t.Errorf("a follower passed on %v and kept %d", b.sent, len(c.releasedReports))
	}
}
