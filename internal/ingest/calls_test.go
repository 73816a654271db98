package ingest

import (
	"testing"
	"time"

	"oxbowdeck/internal/accord"
	"oxbowdeck/internal/lane"
	"oxbowdeck/internal/rule"
	"oxbowdeck/internal/trace"
	"oxbowdeck/internal/unit"
)

// TestOneGroup: a message that any group may take is given to one alone, also
// when it waited for a group without a leader first and was moved from there.
func TestOneGroup(t *testing.T) {
	d := &Daemon{hub: lane.New(lane.Hello{Node: "e"}, lane.Bounds{Queue: 1 << 20, RetryMin: time.Millisecond, RetryMax: time.Millisecond}, nil, func(*lane.Link) {}),
		norm: &rule.Client{News: &rule.News{Shards: make([]rule.Shard, 2)}}, b: bounds{quiet: 400, again: 250},
		calls: map[accord.ID]*call{}, out: map[unit.Group][]*call{}, zones: map[unit.Node]unit.Zone{},
		leads: map[unit.Group]*lead{0: {}, 1: {node: "127.0.0.1:2"}}}
	c := &call{req: accord.Request{ID: accord.ID{Origin: "m"}}, free: true, end: 2000, got: make(chan answer, 1)}
	d.calls[c.req.ID] = c
	d.queue(c) // of group 0, which has no leader
	d.forward(0)
	d.giveUp(50)
	if c.group != 1 {
		t.Fatalf("still waits for group %d", c.group)
	}
	d.forward(60)
	d.leads[0].node = "127.0.0.1:1"
	d.forward(70)
	if c.tries != 1 || c.to != "127.0.0.1:2" {
		t.Fatalf("given %d times, last to %s", c.tries, c.to)
	}

	// one copy, turned away: it never runs; two copies: nobody knows
	d.denied(80, c.to, trace.Deny{Group: 1, Full: true, IDs: []accord.ID{c.req.ID}})
	if a := <-c.got; a.verdict != never {
		t.Fatalf("the only copy was turned away: %v", a)
	}
	c.tries, c.free, d.calls[c.req.ID] = 2, false, c
	d.denied(90, c.to, trace.Deny{Group: 1, Full: true, IDs: []accord.ID{c.req.ID}})
	if d.giveUp(2000); (<-c.got).verdict != unsure {
		t.Fatal("a message of which a copy may be taken is promised never to run")
	}
}

// TestLate: a leader that keeps messages waiting is passed by, if another is there.
func TestLate(t *testing.T) {
	now := unit.Steady()
	d := &Daemon{norm: &rule.Client{News: &rule.News{Shards: make([]rule.Shard, 2)}}, b: bounds{late: 120}, zones: map[unit.Node]unit.Zone{},
		leads: map[unit.Group]*lead{0: {node: "a", oldest: now - 500, seenAt: now - 400}, 1: {node: "b", oldest: now - 500, seenAt: now}}}
	for i := 0; i < 40; i++ {
		c := &call{free: true}
		if !d.choose(c) || c.group != 1 {
			t.Fatal("given to a leader that has not answered for 0.4 s")
		}
	}
	d.leads[1].node = ""
	if c := (&call{free: true}); !d.choose(c) || c.group != 0 {
		t.Fatal("not given to the only leader there is")
	}
}

// TestNames: a name tells the group; one that no group gave is looked for in all.
func TestNames(t *testing.T) {
	for _, g := range []unit.Group{0, 9, 35, 200} {
		if got, id, ok := splitName(nameOf(g, "9c41.x"), 201); !ok || got != g || id != "9c41.x" {
			t.Errorf("group %d read back as %d, %q, %v", g, got, id, ok)
		}
	}
	for _, name := range []string{"9c41d07be2a35f68", "zz.9c41", "1."} {
		if _, id, ok := splitName(name, 8); ok || id != name {
			t.Errorf("%q was taken for a name of this system", name)
		}
	}
}
