package paxos

import (
	"fmt"
	"slices"
	"testing"

	"oxbowdeck/internal/ids"
)

var three = []Member{{ID: 1, Node: "a"}, {ID: 2, Node: "b"}, {ID: 3, Node: "c"}}

func replica(num ids.ReplicaID, members []Member, boot InitialState) *Core {
	boot.Memberships = []Membership{{Members: members}}
	self := Member{ID: num, Node: ids.Node(rune('a' + num - 1))}
	return New(Config{Self: self, Window: 3, WindowBytes: 1000, BatchBytes: 200, BatchTimeout: 10, HeartbeatInterval: 50, ElectionTimeout: 200, ElectionBackoff: 50,
		OpenBytes: 10000, FeedBytes: 1000, DisconnectTimeout: 30, RetransmitTimeout: 40}, boot, 0)
}

func kinds(e Effects, k Kind) (n int, last Msg) {
	for _, s := range e.Sends {
		if s.Msg.Kind == k {
			n, last = n+1, s.Msg
		}
	}
	return
}

// lead makes a core the leader at ballot round 1, with nothing decided.
func lead(t *testing.T) *Core {
	t.Helper()
	c := replica(1, three, InitialState{})
	c.Tick(200)
	c.Receive(201, "b", Msg{Kind: PreVoteGranted, From: 2, Yes: true})
	e := c.Drain()
	if n, _ := kinds(e, Prepare); n != 0 {
		t.Fatal("prepare left before the candidate's own promise was on disk")
	}
	c.Synced(202, e.Token)
	if n, _ := kinds(c.Drain(), Prepare); n != 2 {
		t.Fatal("no prepare after the sync")
	}
	c.Receive(203, "b", Msg{Kind: Promise, From: 2, Ballot: c.Promised()})
	if c.Role() != Leader {
		t.Fatalf("role %d, want leader", c.Role())
	}
	return c
}

func req(origin string, seq uint64, size int) Request {
	return Request{ID: ID{Origin: origin, Seq: seq}, Data: make([]byte, size)}
}

func TestAnswersWaitForTheDisk(t *testing.T) {
	c := replica(2, three, InitialState{})
	b := ids.MakeBallot(1, 1)
	c.Receive(1, "a", Msg{Kind: Prepare, From: 1, Ballot: b, Slot: 1})
	e := c.Drain()
	if n, _ := kinds(e, Promise); n != 0 || len(e.Saves) == 0 {
		t.Fatal("promise left before it was on disk")
	}
	c.Synced(2, e.Token)
	if n, _ := kinds(c.Drain(), Promise); n != 1 {
		t.Fatal("no promise after the sync")
	}
	c.Receive(3, "a", Msg{Kind: Accept, From: 1, Ballot: b, Slot: 1, Val: encode(Value{})})
	e = c.Drain()
	if n, _ := kinds(e, Accepted); n != 0 {
		t.Fatal("accepted left before it was on disk")
	}
	c.Receive(4, "a", Msg{Kind: Accept, From: 1, Ballot: b, Slot: 1, Val: encode(Value{})})
	if n, _ := kinds(c.Drain(), Accepted); n != 0 {
		t.Fatal("a repeat drew the answer before the sync")
	}
	c.Synced(5, e.Token)
	if n, _ := kinds(c.Drain(), Accepted); n != 1 {
		t.Fatal("no accepted after the sync")
	}
}

func TestNewLeaderRepeatsTheHighestEpochAndFillsGaps(t *testing.T) {
	old, young := encode(Value{Stamp: 1}), encode(Value{Stamp: 2})
	// the candidate holds an older value of its own for slot 1
	d := replica(1, three, InitialState{Entries: []Entry{{Slot: 1, Ballot: ids.MakeBallot(2, 2), Val: old}}})
	d.Tick(200)
	d.Receive(201, "b", Msg{Kind: PreVoteGranted, From: 2, Ballot: d.Promised(), Yes: true})
	e := d.Drain()
	d.Synced(202, e.Token)
	d.Drain()
	d.Receive(203, "c", Msg{Kind: Promise, From: 3, Ballot: d.Promised(), Entries: []Entry{
		{Slot: 1, Ballot: ids.MakeBallot(2, 3), Val: young}, {Slot: 3, Ballot: ids.MakeBallot(2, 3), Val: old}}})
	got := map[ids.Slot][]byte{}
	for _, s := range d.Drain().Sends {
		if s.Msg.Kind == Accept {
			got[s.Msg.Slot] = s.Msg.Val
		}
	}
	if string(got[1]) != string(young) {
		t.Error("instance 1 was not repeated with the value of the highest epoch")
	}
	if v, ok := got[2]; !ok || len(v) != 0 {
		t.Error("the gap at instance 2 was not filled with a no-op")
	}
	if string(got[3]) != string(old) {
		t.Error("instance 3 was not repeated")
	}
}

func TestBatchClosesAtBytesOrTimeout(t *testing.T) {
	c := lead(t)
	c.Drain()
	c.Submit(300, req("x", 1, 50), false)
	if n, _ := kinds(c.Drain(), Accept); n != 0 {
		t.Fatal("a small batch left before its timeout")
	}
	if w := c.NextWake(); w > 310 {
		t.Fatalf("wakes at %d, the batch is due at 310", w)
	}
	c.Submit(305, req("x", 2, 50), false)
	c.Tick(309)
	if n, _ := kinds(c.Drain(), Accept); n != 0 {
		t.Fatal("the timeout runs from the first request of the batch")
	}
	c.Tick(310)
	n, m := kinds(c.Drain(), Accept)
	v, err := decode(m.Val)
	if n != 2 || err != nil || len(v.Reqs) != 2 {
		t.Fatalf("after the timeout: %d accepts of %d requests", n, len(v.Reqs))
	}
	c.Submit(311, req("x", 3, 150), false)
	c.Submit(311, req("x", 4, 150), false)
	if n, _ := kinds(c.Drain(), Accept); n != 2 {
		t.Fatal("a full batch waited")
	}
}

func TestWindowByCountAndByBytes(t *testing.T) {
	c := lead(t)
	c.Drain()
	for i := 0; i < 10; i++ {
		c.Submit(300, req("x", uint64(i), 199), false)
	}
	if n, _ := c.Pending(); n != 3 {
		t.Fatalf("%d undecided instances, WND is 3", n)
	}
	c = lead(t)
	c.Drain()
	for i := 0; i < 3; i++ {
		c.Submit(300, req("x", uint64(i), 700), false)
	}
	if n, _ := c.Pending(); n != 1 {
		t.Fatalf("%d undecided instances of 700 bytes, the bound is 1000 bytes", n)
	}
}

func TestForwardedAgainIsTakenOnce(t *testing.T) {
	c := lead(t)
	c.Drain()
	for i := 0; i < 5; i++ {
		if err := c.Submit(300, req("x", 1, 50), false); err != nil {
			t.Fatal(err)
		}
	}
	c.Tick(310)
	_, m := kinds(c.Drain(), Accept)
	if v, _ := decode(m.Val); len(v.Reqs) != 1 {
		t.Fatalf("%d copies in the batch", len(v.Reqs))
	}
}

func TestDrainFinishesTheWindowFirst(t *testing.T) {
	c := lead(t)
	c.Drain()
	c.Submit(300, req("x", 1, 300), false)
	e := c.Drain()
	c.StopLeading(301)
	if n, _ := kinds(c.Drain(), TransferLeadership); n != 0 || c.Role() != Leader {
		t.Fatal("handed over with an instance undecided")
	}
	if err := c.Submit(302, req("x", 2, 10), false); err != ErrNotLeader {
		t.Fatalf("a draining leader took a request: %v", err)
	}
	c.Synced(303, e.Token)
	c.Receive(304, "b", Msg{Kind: Accepted, From: 2, Ballot: c.leader, Slot: 1})
	if n, _ := kinds(c.Drain(), TransferLeadership); n != 1 || c.Role() == Leader {
		t.Fatal("not handed over once the window was empty")
	}
	if c.NextWake() != never {
		t.Fatal("a drained replica would campaign again")
	}
}

func TestMembershipChangeTakesEffectWndLater(t *testing.T) {
	c := lead(t)
	c.Drain()
	four := append(append([]Member(nil), three[:2]...), Member{ID: 9, Node: "c"})
	if err := c.ChangeMembership(300, four); err != nil {
		t.Fatal(err)
	}
	e := c.Drain()
	c.Synced(301, e.Token)
	c.Receive(302, "b", Msg{Kind: Accepted, From: 2, Ballot: c.leader, Slot: 1})
	if c.Commit() != 1 || c.Memberships()[len(c.Memberships())-1].From != 4 {
		t.Fatalf("decided at %d, in force from %d, want 4", c.Commit(), c.Memberships()[len(c.Memberships())-1].From)
	}
	// until then the old members decide: the new number has no vote on 2 and 3
	e = c.Drain()
	c.Synced(303, e.Token)
	c.Receive(304, "c", Msg{Kind: Accepted, From: 9, Ballot: c.leader, Slot: 2})
	if c.Commit() != 1 {
		t.Fatal("a number not yet in force decided an instance")
	}
	c.Receive(305, "b", Msg{Kind: Accepted, From: 2, Ballot: c.leader, Slot: 2})
	if c.Commit() != 2 {
		t.Fatal("the members in force did not decide")
	}
}

// TestRemovedLeaderMayLeadAgain: a leader that is replaced hands over, and takes part in elections
// once it has a vote again; it would be missed if the others were not there.
func TestRemovedLeaderMayLeadAgain(t *testing.T) {
	a := lead(t)
	a.Synced(300, a.Drain().Token)
	d := Member{ID: 4, Node: "d"}
	others := []Member{three[1], three[2], d}
	a.SetLearners([]Member{d})
	a.Receive(301, d.Node, Msg{Kind: CaughtUp, From: d.ID, Ballot: a.leader})
	if err := a.ChangeMembership(302, others); err != nil {
		t.Fatal(err)
	}
	for slot := ids.Slot(1); slot <= 4; slot++ { // in force from 1 + WND on
		a.Synced(303, a.Drain().Token)
		for _, member := range others {
			a.Receive(304, member.Node, Msg{Kind: Accepted, From: member.ID, Ballot: a.leader, Slot: slot})
		}
	}
	a.TransferLeadership(305)
	if n, _ := kinds(a.Drain(), TransferLeadership); n != 1 || a.Role() == Leader {
		t.Fatal("not handed over")
	}
	if a.askAt() != never {
		t.Fatal("asks for votes, and has none itself")
	}
	a.SetSelf(9)
	again := []Member{{ID: 9, Node: "a"}, three[1], three[2]}
	ballot := ids.MakeBallot(2, 2)
	for slot := ids.Slot(5); slot <= 9; slot++ {
		value := Value{}
		if slot == 5 {
			value.Members = again
		}
		a.Receive(306, "b", Msg{Kind: Accept, From: 2, Ballot: ballot, Slot: slot, Commit: slot - 1, Val: encode(value)})
		a.Synced(307, a.Drain().Token)
	}
	if !a.voter() {
		t.Fatalf("has no vote at %d", a.Commit())
	}
	a.Tick(10000)
	if n, _ := kinds(a.Drain(), PreVote); n == 0 {
		t.Error("the others are silent for 10 s, and it does not ask for votes")
	}
	a.Receive(10001, "b", Msg{Kind: TransferLeadership, From: 2, Ballot: ballot, Commit: a.Commit()})
	if a.Role() != Candidate {
		t.Error("it is told to take over, and does not")
	}
}

func TestDecidedTimeNeverRunsAhead(t *testing.T) {
	c := replica(1, three, InitialState{Clock: 5000})
	c.Tick(900000) // this machine's steady clock is far from any other's
	c.Receive(900001, "b", Msg{Kind: PreVoteGranted, From: 2, Yes: true})
	e := c.Drain()
	c.Synced(900002, e.Token)
	c.Drain()
	c.Receive(900003, "b", Msg{Kind: Promise, From: 2, Ballot: c.Promised()})
	c.Drain()
	c.Submit(900103, req("x", 1, 300), false)
	_, m := kinds(c.Drain(), Accept)
	if v, _ := decode(m.Val); v.Stamp != 5100 {
		t.Fatalf("stamp %d, want 100 ms after the decided time 5000", v.Stamp)
	}
}

func TestDecidedMarkWaitsForItsEntries(t *testing.T) {
	c := replica(2, three, InitialState{})
	b := ids.MakeBallot(1, 1)
	c.Receive(1, "a", Msg{Kind: Accept, From: 1, Ballot: b, Slot: 1, Val: encode(Value{})})
	first := c.Drain()
	c.Receive(2, "a", Msg{Kind: Accept, From: 1, Ballot: b, Slot: 2, Commit: 1, Val: encode(Value{})})
	second := c.Drain()
	if r := second.Saves[0]; c.Commit() != 1 || r.Commit != 0 {
		t.Fatalf("decided %d; the record says %d while entry 1 is not on disk", c.Commit(), r.Commit)
	}
	c.Synced(3, first.Token)
	c.Receive(4, "a", Msg{Kind: Accept, From: 1, Ballot: b, Slot: 3, Commit: 1, Val: encode(Value{})})
	c.Synced(5, second.Token)
	c.Receive(6, "a", Msg{Kind: Accept, From: 1, Ballot: b, Slot: 4, Commit: 1, Val: encode(Value{})})
	e := c.Drain()
	if r := e.Saves[len(e.Saves)-1]; r.Commit != 1 {
		t.Fatalf("the record says %d once entry 1 is on disk", r.Commit)
	}
}

func spares(e Effects) (out []Envelope) {
	for _, s := range e.Sends {
		if s.SecondPath {
			out = append(out, s)
		}
	}
	return
}

// TestLateAnswersGoOnTheSecondPath: once for each instance and replica, and not
// before a replica is later than it usually is.
func TestLateAnswersGoOnTheSecondPath(t *testing.T) {
	c := lead(t)
	c.Drain()
	c.Receive(299, "c", Msg{Kind: Accepted, From: 3, Ballot: c.leader, Slot: 99}) // c lives
	c.Submit(300, req("x", 1, 300), false)
	c.Drain()
	c.Receive(310, "b", Msg{Kind: Accepted, From: 2, Ballot: c.leader, Slot: 1})
	c.Tick(339)
	if n := len(spares(c.Drain())); n != 0 {
		t.Fatalf("%d sent before the time", n)
	}
	if w := c.NextWake(); w > 340 {
		t.Fatalf("wakes at %d, the answer is late at 340", w)
	}
	c.Tick(340)
	if s := spares(c.Drain()); len(s) != 1 || s[0].To != "c" || s[0].Msg.Slot != 1 {
		t.Fatalf("sent %v", s)
	}
	c.Tick(380)
	if n := len(spares(c.Drain())); n != 0 {
		t.Fatal("sent a third time")
	}
	// a follower that holds what should be decided asks on the second path
	f := replica(2, three, InitialState{})
	b := ids.MakeBallot(1, 1)
	f.Receive(10, "a", Msg{Kind: Accept, From: 1, Ballot: b, Slot: 1, Val: encode(Value{})})
	f.Tick(49)
	if n := len(spares(f.Drain())); n != 0 {
		t.Fatal("asked too early")
	}
	f.Tick(50)
	s := spares(f.Drain())
	if len(s) != 1 || s[0].Msg.Kind != CaughtUp || !s[0].Msg.Yes {
		t.Fatalf("asked with %v", s)
	}
	c.Synced(381, 99)
	c.Drain()
	c.Receive(382, "b", Msg{Kind: CaughtUp, From: 2, Ballot: c.leader, Yes: true})
	if s := spares(c.Drain()); len(s) != 1 || s[0].Msg.Kind != Heartbeat || s[0].Msg.Commit != 1 {
		t.Fatalf("answered with %v", s)
	}
}

// TestTheFirstInOrderLeadsAgain: another leader cedes to it, but only once it
// is level, and not right after its own election.
func TestTheFirstInOrderLeadsAgain(t *testing.T) {
	members := []Member{three[1], three[0], three[2]} // b comes first, a leads
	c := replica(1, members, InitialState{})
	c.Tick(250)
	c.Receive(251, "b", Msg{Kind: PreVoteGranted, From: 2, Yes: true})
	e := c.Drain()
	c.Synced(252, e.Token)
	c.Drain()
	c.Receive(253, "c", Msg{Kind: Promise, From: 3, Ballot: c.Promised()})
	c.Submit(300, req("x", 1, 300), false)
	e = c.Drain()
	c.Synced(301, e.Token)
	c.Receive(302, "b", Msg{Kind: Accepted, From: 2, Ballot: c.leader, Slot: 1})
	c.Drain()
	c.TransferToPreferred(400)
	if n, _ := kinds(c.Drain(), Heartbeat); n != 0 {
		t.Fatal("ceded right after its election")
	}
	c.TransferToPreferred(5000)
	if n, m := kinds(c.Drain(), Heartbeat); n != 1 || !m.Yes {
		t.Fatal("the first one was not asked how far it is")
	}
	c.Receive(5001, "c", Msg{Kind: CaughtUp, From: 3, Ballot: c.leader, Commit: 1})
	if c.Role() != Leader {
		t.Fatal("ceded on another's word")
	}
	c.Receive(5002, "b", Msg{Kind: CaughtUp, From: 2, Ballot: c.leader, Commit: 1})
	if n, _ := kinds(c.Drain(), TransferLeadership); n != 1 || c.Role() == Leader {
		t.Fatal("not ceded")
	}
	if c.NextWake() == never {
		t.Fatal("one that ceded must be able to lead again")
	}
}

// TestUrgentPassesWhatTheWindowHoldsUp, and nothing passes an earlier request of
// its own origin.
func TestUrgentPassesWhatTheWindowHoldsUp(t *testing.T) {
	c := lead(t)
	c.Drain()
	c.Submit(300, req("early", 1, 20), true) // in the common request queue: nothing waits yet
	for i := 0; i < 6; i++ {
		c.Submit(300, req("bulk", uint64(i), 199), false)
	}
	c.Submit(301, req("early", 2, 20), true)
	c.Submit(301, req("late", 1, 20), true)
	c.Submit(302, req("bulk", 9, 199), false)
	c.Tick(312)
	var order []string
	for s := ids.Slot(1); s < 12; s++ {
		for _, x := range c.Drain().Sends {
			if x.Msg.Kind == Accept && x.To == "b" {
				v, _ := decode(x.Msg.Val)
				for _, r := range v.Reqs {
					order = append(order, fmt.Sprint(r.ID.Origin, r.ID.Seq))
				}
			}
		}
		c.Receive(313, "b", Msg{Kind: Accepted, From: 2, Ballot: c.leader, Slot: s})
		c.Receive(313, "c", Msg{Kind: Accepted, From: 3, Ballot: c.leader, Slot: s})
	}
	at := func(s string) int { return slices.Index(order, s) }
	if at("late1") < 0 || at("late1") > at("bulk5") {
		t.Errorf("an urgent request waited behind the bulk: %v", order)
	}
	if at("early2") < at("early1") {
		t.Errorf("a request passed an earlier one of its origin: %v", order)
	}
	if len(order) != 10 {
		t.Errorf("%d of 10 requests were proposed: %v", len(order), order)
	}
}

// TestDecidedMarkWaitsForASnapshot: one that came from another replica must be
// on the disk before a record says that its instances are decided.
func TestDecidedMarkWaitsForASnapshot(t *testing.T) {
	c := replica(2, three, InitialState{})
	b := ids.MakeBallot(1, 1)
	c.Install(1, 10, []Membership{{Members: three}}, 0)
	record := func(s ids.Slot) ids.Slot {
		c.Receive(2, "a", Msg{Kind: Accept, From: 1, Ballot: b, Slot: s, Val: encode(Value{})})
		e := c.Drain()
		c.Synced(3, e.Token)
		return e.Saves[len(e.Saves)-1].Commit
	}
	record(11)
	if m := record(12); m != 0 {
		t.Fatalf("the record says %d is decided, its snapshot is not on disk", m)
	}
	c.SnapshotRecorded()
	record(13)
	if m := record(14); m != 10 {
		t.Fatalf("the record says %d once the snapshot is on disk, want 10", m)
	}
}

// TestOneFeedAtATime: a replica that lags asks until it is level; what is on its
// way already is not sent again at once.
func TestOneFeedAtATime(t *testing.T) {
	c := lead(t)
	c.Drain()
	c.Submit(300, req("x", 1, 300), false)
	e := c.Drain()
	c.Synced(301, e.Token)
	c.Receive(302, "b", Msg{Kind: Accepted, From: 2, Ballot: c.leader, Slot: 1})
	c.Drain()
	for now := ids.Millis(310); now < 340; now += 10 {
		c.Receive(now, "c", Msg{Kind: Fetch, From: 3, Slot: 1})
	}
	if n, _ := kinds(c.Drain(), Feed); n != 1 {
		t.Fatalf("%d feeds for three askings in one beat", n)
	}
	c.Receive(400, "c", Msg{Kind: Fetch, From: 3, Slot: 1})
	if n, _ := kinds(c.Drain(), Feed); n != 1 {
		t.Fatal("no feed once the first may be lost")
	}
}

// TestNewLeaderAsksTheMembershipToCome: an undecided value that changes the
// membership may have been decided below; its members must promise as well.
func TestNewLeaderAsksTheMembershipToCome(t *testing.T) {
	next := []Member{three[0], three[1], {ID: 4, Node: "d"}}
	c := replica(1, three, InitialState{Entries: []Entry{{Slot: 1, Ballot: ids.MakeBallot(1, 2), Val: encode(Value{Members: next})}}})
	c.Tick(200)
	c.Receive(201, "c", Msg{Kind: PreVoteGranted, From: 3, Ballot: c.Promised(), Yes: true})
	e := c.Drain()
	c.Synced(202, e.Token)
	c.Drain()
	c.Receive(203, "c", Msg{Kind: Promise, From: 3, Ballot: c.Promised()})
	if c.Role() == Leader {
		t.Fatal("leads without a promise of the membership to come")
	}
	if n, _ := kinds(c.Drain(), Prepare); n != 2 {
		t.Fatalf("%d members asked, want those two that have not promised", n)
	}
	c.Receive(204, "d", Msg{Kind: Promise, From: 4, Ballot: c.Promised()})
	if c.Role() != Leader {
		t.Fatal("does not lead, with a majority of both")
	}
}

// TestReplacedNeitherVotesNorLeads: one that was replaced, and comes back with
// all it had, is not followed, and steps down when it learns of it.
func TestReplacedNeitherVotesNorLeads(t *testing.T) {
	now := []Member{three[0], three[1], {ID: 4, Node: "d"}}
	c := replica(2, now, InitialState{Base: 10, Commit: 10})
	c.Receive(1000, "c", Msg{Kind: PreVote, From: 3, Commit: 5})
	c.Receive(1001, "c", Msg{Kind: Prepare, From: 3, Ballot: ids.MakeBallot(9, 3), Slot: 6})
	e := c.Drain()
	if n, _ := kinds(e, PreVoteGranted); n != 0 || len(e.Saves) != 0 {
		t.Fatal("one that was replaced is favoured, or promised to")
	}
	c.Receive(1002, "d", Msg{Kind: PreVote, From: 4, Commit: 10})
	if n, m := kinds(c.Drain(), PreVoteGranted); n != 1 || !m.Yes {
		t.Fatal("a member of the membership in force is not favoured")
	}
	old := replica(3, three, InitialState{})
	old.Tick(1000)
	old.Receive(1001, "a", Msg{Kind: PreVoteGranted, From: 1, Ballot: old.Promised(), Yes: true})
	e = old.Drain()
	old.Synced(1002, e.Token)
	var told []Entry
	for s := ids.Slot(1); s <= 4; s++ {
		told = append(told, Entry{Slot: s, Decided: true})
	}
	told[0].Val = encode(Value{Members: now})
	old.Receive(1003, "a", Msg{Kind: Promise, From: 1, Ballot: old.Promised(), Commit: 4, Entries: told})
	if old.Role() != Follower {
		t.Fatalf("role %d: one that was replaced goes on", old.Role())
	}
}

// TestSlowLeaderRelents: a leader whose batches take long hands over to the one
// that answers soonest, though not right after it began; one that is quick stays.
func TestSlowLeaderRelents(t *testing.T) {
	for _, took := range []ids.Millis{10, 100} {
		c := lead(t)
		c.conf.SlowBatch = 60
		yields, to := 0, ids.Node("")
		now := ids.Millis(300)
		for i := uint64(1); now < 5000 && yields == 0; i++ {
			c.Submit(now, req("x", i, 190), false) // fills a batch
			c.Tick(now)
			e := c.Drain()
			c.Synced(now, e.Token)
			if n, m := kinds(e, Accept); n > 0 {
				now += took
				c.Receive(now, "c", Msg{Kind: Accepted, From: 3, Ballot: m.Ballot, Slot: m.Slot})
				c.Receive(now+20, "b", Msg{Kind: Accepted, From: 2, Ballot: m.Ballot, Slot: m.Slot})
			}
			for _, s := range c.Drain().Sends {
				if s.Msg.Kind == TransferLeadership {
					yields, to = yields+1, s.To
				}
			}
			now += 30
		}
		switch {
		case took < 60 && yields != 0:
			t.Errorf("a leader that takes %d ms handed over", took)
		case took > 60 && (yields != 1 || to != "c" || now < 2000):
			t.Errorf("%d hand-overs, to %q at %d", yields, to, now)
		}
	}
}

// TestHungDiskCedes: a leader whose own disk does not sync hands over, though its
// followers' syncs decide everything in time.
func TestHungDiskCedes(t *testing.T) {
	for _, hangs := range []bool{false, true} {
		c := lead(t)
		c.conf.SlowBatch = 60
		yields := 0
		now := ids.Millis(300)
		for i := uint64(1); now < 5000 && yields == 0; i++ {
			c.Submit(now, req("x", i, 190), false)
			c.Tick(now)
			e := c.Drain()
			if !hangs {
				c.Synced(now, e.Token)
			}
			if n, m := kinds(e, Accept); n > 0 {
				for _, f := range []ids.ReplicaID{2, 3} {
					c.Receive(now+5, ids.Node(rune('a'+f-1)), Msg{Kind: Accepted, From: f, Ballot: m.Ballot, Slot: m.Slot})
				}
			}
			n, _ := kinds(c.Drain(), TransferLeadership)
			yields += n
			now += 30
		}
		if (yields == 1) != hangs {
			t.Errorf("disk hangs: %v, hand-overs: %d", hangs, yields)
		}
	}
}
