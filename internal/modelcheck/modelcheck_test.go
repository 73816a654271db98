package modelcheck

import (
	"os"
	"reflect"
	"strconv"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
)

// small is a world of three voters. MODELCHECK_STATES sets how many states of each
// plan are visited.
func small(name string, states int, f func(*Plan)) Plan {
	p := Plan{Name: name, Voters: 3, States: states, EndEvery: 500,
		Conf: paxos.Config{Window: 2, WindowBytes: 1000, BatchBytes: 1, BatchTimeout: 10, HeartbeatInterval: 50, ElectionTimeout: 200, ElectionBackoff: 50,
			OpenBytes: 10000, FeedBytes: 1000, DisconnectTimeout: 30, RetransmitTimeout: 1 << 24}}
	if n, err := strconv.Atoi(os.Getenv("MODELCHECK_STATES")); err == nil {
		p.States = n
	}
	f(&p)
	return p
}

// shortStates of a plan are visited under -short, if they show what the plan is for.
const shortStates = 10000

// quiet are the kinds that only bring on what other messages also do.
var quiet = []paxos.Kind{paxos.CaughtUp, paxos.Fetch, paxos.Nack}

func swap(p *Plan) { p.Others, p.Replaced, p.Most[ChangeMembership], p.Most[Heartbeat] = 1, 1, 1, 1 }

func TestEveryInterleaving(t *testing.T) {
	for _, c := range []struct {
		p                  Plan
		whole, led, change bool // must be: all visited; new leaders seen; changes seen
	}{
		{small("two commands, slow disks", 100000, func(p *Plan) { p.Commands, p.Mute = 2, quiet }), true, false, false},
		{small("one epoch change", 100000, func(p *Plan) { p.Commands, p.Mute, p.Instant, p.Most[Doubt] = 1, quiet, true, 1 }), true, true, false},
		{small("two epoch changes and a kill", 100000, func(p *Plan) { p.Commands, p.Instant, p.Most[Doubt], p.Most[Kill] = 2, true, 2, 1 }), false, true, false},
		{small("epochs that race", 100000, func(p *Plan) {
			p.Commands, p.Mute, p.Instant, p.Most[Doubt], p.Most[Kill] = 2, append(quiet, paxos.Heartbeat), true, 2, 1
		}), false, true, false},
		{small("epochs that race, walks", 30000, func(p *Plan) {
			p.Commands, p.Mute, p.Instant, p.Most[Doubt], p.Walks = 2, append(quiet, paxos.Heartbeat), true, 4, 4
		}), false, true, false},
		{small("two epochs hold different values", 100000, func(p *Plan) {
			p.Commands, p.Mute, p.Instant, p.Most[Doubt], p.Most[Kill] = 2, append(quiet, paxos.Heartbeat), true, 2, 1
			p.Path = []string{"a is given A", "b doubts", "c takes canvass of b/2 epoch 1.1", "b takes favor of c/3 epoch 1.1 yes", "c takes prepare of b/2 epoch 2.2 slot 1",
				"b takes promise of c/3 epoch 2.2", "b is given B", "a takes prepare of b/2 epoch 2.2 slot 1"}
		}), false, true, false},
		{small("a membership is in force, and not all know", 100000, func(p *Plan) {
			swap(p)
			p.Commands, p.Mute, p.Instant, p.Most[Doubt], p.Most[ChangeMembership], p.Most[Heartbeat] = 2, append(quiet, paxos.Heartbeat), true, 2, 0, 0
			p.Path = []string{"a is asked for the membership", "c takes accept of a/1 epoch 1.1 slot 1 seats a/1 b/2 d/4", "a takes accepted of c/3 epoch 1.1 slot 1",
				"c takes accept of a/1 epoch 1.1 slot 2 commit 1 no-op", "a takes accepted of c/3 epoch 1.1 slot 2", "d takes accept of a/1 epoch 1.1 slot 3 commit 1 no-op",
				"a takes accepted of d/4 epoch 1.1 slot 3", "a is given A", "d takes accept of a/1 epoch 1.1 slot 4 commit 3 A", "a takes accepted of d/4 epoch 1.1 slot 4",
				"b takes accept of a/1 epoch 1.1 slot 1 seats a/1 b/2 d/4", "b takes accept of a/1 epoch 1.1 slot 2 commit 1 no-op"}
		}), false, true, true},
		{small("a membership may be in force, and only a promise tells it", 10000, func(p *Plan) {
			swap(p)
			p.Commands, p.Mute, p.Instant, p.Most[Doubt], p.Most[Heartbeat] = 2, append(quiet, paxos.Heartbeat), true, 1, 0
			p.Path = []string{
				"a is asked for the membership", "a is given A", "a is given B", "c doubts",
				"b takes accept of a/1 epoch 1.1 slot 1 seats a/1 b/2 d/4", "a takes accepted of b/2 epoch 1.1 slot 1",
				"d takes accept of a/1 epoch 1.1 slot 3 commit 1 B", "b takes canvass of c/3 epoch 1.1",
				"c takes favor of b/2 epoch 1.1 yes", "b takes prepare of c/3 epoch 2.3 slot 1",
			}
		}), false, true, true},
		{small("a snapshot from another replica", 100000, func(p *Plan) {
			p.Commands, p.Mute, p.Most[Power], p.Most[Doubt] = 3, []paxos.Kind{paxos.CaughtUp, paxos.Nack}, 1, 1
			p.Path = []string{"a is given A", "a syncs", "c takes accept of a/1 epoch 1.1 slot 1 A", "c syncs", "a takes accepted of c/3 epoch 1.1 slot 1",
				"a keeps a snapshot", "a syncs", "b takes beat of a/1 epoch 1.1 commit 1", "a takes fetch of b/2 slot 1", "b takes snapshot of a up to 1",
				"a is given B", "a syncs", "b takes accept of a/1 epoch 1.1 slot 2 commit 1 B", "b syncs past a snapshot"}
		}), false, false, false},
		{small("power lost", 100000, func(p *Plan) { p.Commands, p.Most[Doubt], p.Most[Power] = 2, 1, 1 }), false, true, false},
		{small("power lost twice, walks", 30000, func(p *Plan) { p.Commands, p.Most[Doubt], p.Most[Power], p.Most[Again], p.Walks = 2, 3, 2, 1, 1 }), false, true, false},
		{small("hand-over", 100000, func(p *Plan) { p.Commands, p.Instant, p.Most[Drain], p.Most[Doubt] = 2, true, 1, 1 }), false, true, false},
		{small("a member replaced", 100000, func(p *Plan) { swap(p); p.Commands, p.Instant, p.Most[Doubt] = 1, true, 1 }), false, true, true},
		{small("a member replaced, walks", 30000, func(p *Plan) {
			swap(p)
			p.Commands, p.Instant, p.Most[Doubt], p.Most[ChangeMembership], p.Walks = 2, true, 2, 2, 1
		}), false, true, true},
		{small("a disk lost", 100000, func(p *Plan) {
			p.Commands, p.Instant, p.Most[Wipe], p.Most[ChangeMembership], p.Most[Heartbeat], p.Most[Doubt] = 1, true, 1, 1, 2, 1
		}), false, true, true},
		{small("a disk lost, walks", 30000, func(p *Plan) {
			p.Commands, p.Instant, p.Most[Wipe], p.Most[ChangeMembership], p.Most[Heartbeat], p.Most[Doubt], p.Walks = 2, true, 1, 1, 2, 2, 1
		}), false, false, true},
		{small("a disk lost while a member is replaced", 100000, func(p *Plan) {
			swap(p)
			p.Commands, p.Instant, p.Most[Doubt], p.Most[Wipe], p.Bold = 1, true, 1, 1, true
		}), false, true, true},
		{small("snapshots while a member is replaced", 100000, func(p *Plan) {
			swap(p)
			p.Commands, p.Most[Doubt], p.Most[Power], p.Most[Keep] = 2, 1, 1, 1
		}), false, false, true},
		{small("snapshots while a member is replaced, walks", 30000, func(p *Plan) {
			swap(p)
			p.Commands, p.Most[Doubt], p.Most[Power], p.Most[Keep], p.Walks = 2, 1, 1, 1, 2
		}), false, false, true},
		{secondReplacement(5000), false, false, true},
		{small("a machine gone, a disk and power lost, walks", 30000, func(p *Plan) {
			swap(p)
			p.Commands, p.Bold, p.Walks = 2, true, 3
			p.Most[Doubt], p.Most[Power], p.Most[Wipe], p.Most[Leave], p.Most[Heartbeat] = 2, 2, 1, 1, 3
		}), false, true, true},
	} {
		t.Run(c.p.Name, func(t *testing.T) {
			t.Parallel()
			saw := func(r Result) bool {
				return (!c.whole || r.Whole) && (!c.led || r.Led > 0) && (!c.change || r.Changed > 0) &&
					(c.p.Commands == 0 || c.p.Path != nil || r.Done > 0) && r.Ends > 0
			}
			states := c.p.States
			if testing.Short() { // fewer, where they show as much
				c.p.States = min(states, shortStates)
			}
			r := Run(c.p)
			if r.Fault == nil && !saw(r) && c.p.States < states {
				c.p.States = states
				r = Run(c.p)
			}
			t.Log(r)
			if r.Fault != nil {
				t.Fatal(r.Fault)
			}
			if !saw(r) {
				t.Errorf("did not see what it is for")
			}
		})
	}
}

// few is a world of fewer voters than 2f+1, in which what is decided must be on f+1
// disks, or on all there are.
func few(name string, voters, losses, states int, f func(*Plan)) Plan {
	return small(name, states, func(p *Plan) {
		p.Voters, p.Copies = voters, losses+1
		p.Conf.DurableCopies = p.Copies
		f(p)
	})
}

// TestFewerVoters: groups with fewer voters than the losses to be borne ask for
// decide nothing that is on too few disks, and come right from every state from
// which a majority of the voters and enough disks are left.
func TestFewerVoters(t *testing.T) {
	leaders := func(p *Plan) { p.Commands, p.Instant, p.Most[Doubt], p.Most[Kill] = 2, true, 2, 1 }
	power := func(p *Plan) { p.Commands, p.Most[Doubt], p.Most[Power] = 2, 1, 1 }
	lost := func(p *Plan) {
		p.Commands, p.Instant, p.Most[Wipe], p.Most[ChangeMembership], p.Most[Heartbeat], p.Most[Doubt] = 1, true, 1, 1, 2, 1
	}
	grows := func(p *Plan) {
		p.Others, p.Grow, p.Commands, p.Instant, p.Most[Doubt], p.Most[ChangeMembership], p.Most[Heartbeat] = 1, true, 1, true, 1, 1, 1
	}
	for _, c := range []struct {
		p           Plan
		led, change bool
	}{
		{few("one voter", 1, 1, 10000, func(p *Plan) { power(p); p.EndEvery = 10 }), false, false},
		{few("one voter grows", 1, 1, 10000, grows), false, true},
		{few("two voters, new leaders", 2, 1, 10000, leaders), true, false},
		{few("two voters, power lost", 2, 1, 10000, power), true, false},
		{few("two voters grow, walks", 2, 1, 10000, func(p *Plan) { grows(p); p.Commands, p.Most[Doubt], p.Walks = 2, 2, 7 }), false, true},
		{few("three voters of five, new leaders", 3, 2, 10000, leaders), true, false},
		{few("three voters of five, power lost, walks", 3, 2, 10000, func(p *Plan) { power(p); p.Most[Doubt], p.Walks = 3, 6 }), true, false},
		{few("three voters of five, a disk lost", 3, 2, 10000, lost), true, true},
		{few("three voters of five, a disk lost, walks", 3, 2, 10000, func(p *Plan) { lost(p); p.Commands, p.Walks = 2, 5 }), false, true},
		{few("three voters of five grow", 3, 2, 10000, grows), true, true},
		{few("four voters of five, new leaders, walks", 4, 2, 10000, func(p *Plan) { leaders(p); p.Most[Doubt], p.Walks = 3, 8 }), true, false},
		{few("four voters of five, power lost, walks", 4, 2, 10000, func(p *Plan) { power(p); p.Most[Doubt], p.Walks = 3, 6 }), true, false},
		{few("four voters of five, a disk lost", 4, 2, 10000, lost), false, false},
		{few("four voters of five, a disk lost, walks", 4, 2, 10000, func(p *Plan) { lost(p); p.Commands, p.Walks = 2, 5 }), false, true},
		{few("four voters of five grow", 4, 2, 10000, grows), false, true},
	} {
		t.Run(c.p.Name, func(t *testing.T) {
			t.Parallel()
			r := Run(c.p)
			t.Log(r)
			if r.Fault != nil {
				t.Fatal(r.Fault)
			}
			if c.led && r.Led == 0 || c.change && r.Changed == 0 || r.Done == 0 || r.Ends == 0 {
				t.Errorf("did not see what it is for")
			}
		})
	}
}

// TestRulesBite takes one safeguard after the other away; each must be noticed.
func TestRulesBite(t *testing.T) {
	change := func(p *Plan) {
		swap(p)
		p.Commands, p.Instant = 1, true
	}
	for _, c := range []struct {
		rule string
		p    Plan
	}{
		{"durable answers", small("answers before the sync", 50000, func(p *Plan) { p.Commands, p.Hasty = 1, true })},
		{"found by every later leader", small("a promise without what was accepted", 100000, func(p *Plan) {
			p.Commands, p.Mute, p.Instant, p.Most[Doubt], p.EndEvery = 2, quiet, true, 1, 0
			p.Tamper = func(m *paxos.Msg) bool {
				if m.Kind == paxos.Promise {
					m.Entries = nil
				}
				return true
			}
		})},
		{"durable copies", small("three voters of five decide on two disks", 50000, func(p *Plan) { p.Commands, p.Copies = 1, 3 })},
		{"lost disk", small("a lost disk votes under its old number", 50000, func(p *Plan) {
			p.Commands, p.Instant, p.Most[Wipe], p.OldNumber = 1, true, 1, true
		})},
		{"window", small("proposals past the window", 50000, func(p *Plan) {
			p.Commands = 2
			p.Tamper = func(m *paxos.Msg) bool {
				if m.Kind == paxos.Accept {
					m.Slot += 2
				}
				return true
			}
		})},
		{"one change at a time", small("two members at once", 50000, func(p *Plan) {
			change(p)
			p.Asked = func(s []paxos.Member) []paxos.Member {
				return append(s[:1:1], paxos.Member{ID: 8, Node: "h"}, s[2])
			}
		})},
		{"time", small("promises that know of no leader's time", 100000, func(p *Plan) {
			p.Commands, p.Mute, p.Instant, p.Most[Doubt], p.EndEvery = 1, []paxos.Kind{paxos.CaughtUp, paxos.Fetch}, true, 2, 0
			p.Path = []string{"b doubts", "c takes canvass of b/2 epoch 1.1", "b takes favor of c/3 epoch 1.1 yes",
				"c takes prepare of b/2 epoch 2.2 slot 1", "b takes promise of c/3 epoch 2.2", "b is given A",
				"c takes accept of b/2 epoch 2.2 slot 1 A", "a takes prepare of b/2 epoch 2.2 slot 1"}
			p.Tamper = func(m *paxos.Msg) bool {
				if m.Kind == paxos.Promise {
					m.Time, m.TimeBallot = 0, 1
				}
				return true
			}
		})},
		{"liveness", small("promises are kept back", 50000, func(p *Plan) {
			n := 0
			p.Commands, p.Instant, p.Most[Doubt], p.EndEvery = 1, true, 1, 10
			p.Tamper = func(m *paxos.Msg) bool {
				if m.Kind == paxos.Promise {
					n++
				}
				return m.Kind != paxos.Promise || n <= 2 // but for the first leader's
			}
		})},
	} {
		t.Run(c.p.Name, func(t *testing.T) {
			t.Parallel()
			r := Run(c.p)
			t.Log(r)
			if r.Fault == nil || !strings.HasPrefix(r.Fault.Rule, c.rule+":") {
				t.Fatalf("%q is not missed: %v", c.rule, r.Fault)
			}
			t.Log(r.Fault)
			if c.rule == "liveness" {
				return
			}
			if got, err := Walk(c.p, r.Fault.Path); err != nil || got != r.Fault.Rule {
				t.Errorf("walked again: %q, %v", got, err)
			}
		})
	}
}

// TestWrongValuesAreSeen: majorities under two epochs that accept different
// values, one that accepts what nobody asked for, and a decision without any.
func TestWrongValuesAreSeen(t *testing.T) {
	p := small("", 0, func(p *Plan) { p.Commands = 1 })
	e, w, _ := start(&p)
	told := func(list ...vote) (got string) {
		h := w.hist
		for _, v := range list {
			if got != "" {
				t.Fatal("seen too early")
			}
			h, got = e.judge(h, event{kind: votes, slot: v.Slot, ballot: v.Ballot, num: v.Num, val: v.Val})
		}
		return got
	}
	one, two := ids.MakeBallot(1, 1), ids.MakeBallot(2, 2)
	raw, err := cbor.Marshal(paxos.Value{Reqs: e.orders})
	if err != nil {
		t.Fatal(err)
	}
	if got := told(vote{1, one, 1, ""}, vote{1, two, 2, "other"}, vote{1, one, 3, ""}, vote{1, two, 3, "other"}); !strings.HasPrefix(got, "agreement:") {
		t.Errorf("two values are chosen, the rule says %q", got)
	}
	if got := told(vote{1, one, 1, string(raw)}, vote{1, one, 2, string(raw)}); !strings.HasPrefix(got, "validity:") {
		t.Errorf("a command that no leader was given is chosen, the rule says %q", got)
	}
	if got := e.decides(w.hist, event{slot: 1}); !strings.HasPrefix(got, "agreement:") {
		t.Errorf("decided without a majority, the rule says %q", got)
	}
}

// TestTwinSharesNothing: whatever the engine's type holds, also fields that came
// after this test, a twin equals it and shares no map, slice or pointer with it.
func TestTwinSharesNothing(t *testing.T) {
	c := &paxos.Core{}
	fill(reflect.ValueOf(c).Elem(), 0)
	d := twin(reflect.ValueOf(c))
	if a, b := canon(nil, reflect.ValueOf(c)), canon(nil, d); string(a) != string(b) {
		t.Error("the twin differs")
	}
	shares(t, "Core", reflect.ValueOf(c).Elem(), d.Elem())
	n := 0
	empty := string(canon(nil, reflect.ValueOf(paxos.Core{})))
	var tryFields func(path []int)
	tryFields = func(path []int) { // of the engine and of its parts
		of := d.Elem().Type()
		if len(path) > 0 {
			of = of.FieldByIndex(path).Type
		}
		for i := 0; i < of.NumField(); i++ {
			at := append(path[:len(path):len(path)], i)
			if of.Field(i).Type.Kind() == reflect.Struct {
				tryFields(at)
				continue
			}
			one := reflect.New(d.Elem().Type()).Elem()
			fill(settable(one.FieldByIndex(at)), 0)
			if of.Field(i).Name != "_" && string(canon(nil, one)) == empty {
				t.Errorf("field %s does not show in the digest", of.Field(i).Name)
			}
			n++
		}
	}
	tryFields(nil)
	if n < 30 {
		t.Errorf("%d fields tried", n)
	}
}
