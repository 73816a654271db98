package paxos

import (
	"testing"

	"oxbowdeck/internal/ids"
)

// pairOf makes a leader a and a follower b of three, who have met.
func pairOf(t *testing.T) (a, b *Core) {
	t.Helper()
	a = lead(t)
	a.conf.QuorumTimeout, a.conf.ProbeEvery = 400, 1
	b = replica(2, three, InitialState{})
	b.conf.Salt = 5000
	a.Drain()
	return a, b
}

// swap lets a heartbeat and its answer pass between a leader and a follower.
func swap(at ids.Millis, a, b *Core, late ids.Millis) {
	a.leading.heartbeatAt = at - a.conf.HeartbeatInterval
	a.Tick(at)
	for _, s := range a.Drain().Sends {
		if s.To == "b" {
			b.Receive(at+late, "a", s.Msg)
		}
	}
	for _, s := range b.Drain().Sends {
		a.Receive(at+2*late, "b", s.Msg)
	}
}

// TestContactComesFromStamps: a follower's contact is what it can be sure of: its
// own stamp, given back, less the age of the leader's own contact.
func TestContactComesFromStamps(t *testing.T) {
	a, b := pairOf(t)
	if _, ok := b.Contact(300); ok {
		t.Fatal("in touch before anything was heard")
	}
	swap(300, a, b, 3)
	if age, ok := a.Contact(306); !ok || age != 6 {
		t.Fatalf("the leader's stamp of 300 came back: %d %v", age, ok)
	}
	if _, ok := b.Contact(306); ok {
		t.Fatal("one beat says nothing: it may have been on its way for long")
	}
	swap(350, a, b, 3) // echoes b's stamp of 303, when a's contact was 50 ms old
	if age, ok := b.Contact(353); !ok || age != 353-303+50 {
		t.Fatalf("contact %d ms old, %v", age, ok)
	}
	// a heartbeat of a leader that hears nobody brings no new contact, however new it is
	was := b.contact.at
	for at := ids.Millis(400); at < 600; at += 50 {
		a.leading.heartbeatAt = 0
		a.Tick(at)
		for _, s := range a.Drain().Sends {
			if s.To == "b" {
				b.Receive(at+3, "a", s.Msg)
			}
		}
		b.Drain()
	}
	if b.contact.at > was+100 {
		t.Fatalf("contact moved from %d to %d, though nobody answered the leader", was, b.contact.at)
	}
	if a.Tick(800); a.Role() == Leader {
		t.Fatal("a leader that nobody answers goes on")
	}
}

// TestContactWaitsForTheLog: being told is not enough; what was decided by then
// must be here.
func TestContactWaitsForTheLog(t *testing.T) {
	b := replica(2, three, InitialState{})
	bal := ids.MakeBallot(1, 1)
	b.Receive(1000, "a", Msg{Kind: Heartbeat, From: 1, Ballot: bal, Yes: true, At: 7})
	b.Receive(1010, "a", Msg{Kind: Heartbeat, From: 1, Ballot: bal, Yes: true, At: 17, Commit: 1, Echo: b.stamp(1000), Age: 1})
	if _, ok := b.Contact(1010); ok {
		t.Fatal("in touch without the instance that the beat calls decided")
	}
	b.Receive(1020, "a", Msg{Kind: Feed, From: 1, Ballot: bal, Commit: 1, Entries: []Entry{{Slot: 1, Ballot: bal, Val: encode(Value{}), Decided: true}}})
	if age, ok := b.Contact(1020); !ok || age != 20 {
		t.Fatalf("contact %d %v", age, ok)
	}
	// a stamp of an earlier incarnation is known for one
	n := replica(2, three, InitialState{})
	n.conf.Salt = 1 << 30
	n.Receive(1000, "a", Msg{Kind: Heartbeat, From: 1, Ballot: bal, Yes: true, At: 27, Echo: b.stamp(900), Age: 1})
	if _, ok := n.Contact(1000); ok {
		t.Fatal("an echo of another life was taken")
	}
}

// TestWhoStoodStillResignsFirst: a leader that wakes after long does nothing more
// as leader, whatever it is called for first.
func TestWhoStoodStillResignsFirst(t *testing.T) {
	for name, call := range map[string]func(*Core){
		"tick":              func(c *Core) { c.Tick(9000) },
		"submit":            func(c *Core) { c.Submit(9000, req("x", 1, 10), false) },
		"membership-change": func(c *Core) { c.ChangeMembership(9000, three[:2]) },
		"take":              func(c *Core) { c.Receive(9000, "b", Msg{Kind: Accepted, From: 2, Ballot: c.leader, Slot: 1}) },
		"synced":            func(c *Core) { c.Synced(9000, 99) },
		"transfer":          func(c *Core) { c.TransferLeadership(9000) },
		"preferred":         func(c *Core) { c.TransferToPreferred(9000) },
		"stop-leading":      func(c *Core) { c.StopLeading(9000) },
		"disconnected":      func(c *Core) { c.Disconnected(9000, "b") },
		"snapshot":          func(c *Core) { c.Install(9000, 50, c.Memberships(), 0) },
	} {
		a, b := pairOf(t)
		swap(300, a, b, 3)
		if call(a); a.Role() == Leader {
			t.Errorf("%s: it still leads", name)
		}
	}
}

// TestNoSeatBeforeItHolds: a newcomer has everything that was decided on its disk
// when it is given a seat, and with it a majority of the new members.
func TestNoSeatBeforeItHolds(t *testing.T) {
	a := lead(t)
	a.Drain()
	for s := ids.Slot(1); s <= 2; s++ {
		a.Submit(300, req("x", uint64(s), 300), false)
		a.Synced(301, a.Drain().Token)
		a.Receive(302, "b", Msg{Kind: Accepted, From: 2, Ballot: a.leader, Slot: s})
	}
	if a.Commit() != 2 {
		t.Fatal("nothing was decided")
	}
	d := Member{ID: 17, Node: "d"}
	next := []Member{three[0], three[1], d}
	a.SetLearners([]Member{d})
	ask := func(want error, what string) {
		t.Helper()
		if err := a.ChangeMembership(400, next); err != want {
			t.Fatalf("%s: %v", what, err)
		}
	}
	level := func(num ids.ReplicaID, at ids.Slot) {
		a.Receive(401, "x", Msg{Kind: CaughtUp, From: num, Ballot: a.leader, Commit: 2, Durable: at})
	}
	ask(ErrBehind, "nobody said what it holds")
	level(2, 2)
	ask(ErrBehind, "a majority holds it, the newcomer does not")
	level(17, 1)
	ask(ErrBehind, "the newcomer has applied it, and not all of it on its disk")
	level(17, 2)
	ask(nil, "the newcomer holds it")
	if n, m := kinds(a.Drain(), Accept); n == 0 || m.Slot != 3 {
		t.Fatal("not proposed")
	}
}

// TestOneMembershipInAWindow: a leader died with a membership undecided, another
// that had not seen it proposed its own and died: who comes next repeats the newer
// one alone. Memberships a window apart are both kept: the first is in force.
func TestOneMembershipInAWindow(t *testing.T) {
	one := encode(Value{Members: []Member{three[0], three[1], {ID: 17, Node: "d"}}})
	two := encode(Value{Members: []Member{three[0], {ID: 18, Node: "e"}, three[2]}})
	for _, apart := range []ids.Slot{1, 3, 4} { // WND is 3
		c := replica(1, three, InitialState{Entries: []Entry{{Slot: 1 + apart, Ballot: ids.MakeBallot(1, 1), Val: one}}})
		c.Tick(200)
		c.Receive(201, "b", Msg{Kind: PreVoteGranted, From: 2, Ballot: c.Promised(), Yes: true})
		c.Synced(202, c.Drain().Token)
		c.Drain()
		for num := ids.ReplicaID(2); num <= 3; num++ {
			c.Receive(203, "b", Msg{Kind: Promise, From: num, Ballot: c.Promised(), Entries: []Entry{{Slot: 1, Ballot: ids.MakeBallot(2, 3), Val: two}}})
		}
		for _, n := range []ids.ReplicaID{17, 18} { // of every membership that may apply
			c.Receive(203, "b", Msg{Kind: Promise, From: n, Ballot: c.Promised()})
		}
		if c.Role() != Leader {
			t.Fatal("it does not lead")
		}
		all := map[ids.Slot]string{}
		for s, e := range c.log {
			all[s] = string(e.val)
		}
		for _, r := range c.leading.repropose { // not proposed yet
			all[r.Slot] = string(r.Val)
		}
		if want := apart > 3; all[1] != string(two) || (all[1+apart] == string(one)) != want {
			t.Errorf("%d apart: the older one is repeated: %v", apart, !want)
		}
	}
}
