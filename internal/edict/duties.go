package edict

import (
	"oxbowdeck/internal/accord"
	"oxbowdeck/internal/kin"
	"oxbowdeck/internal/lane"
	"oxbowdeck/internal/rule"
	"oxbowdeck/internal/unit"
)

type life struct {
	addr unit.Node
	life unit.Life
}

// shardWord is what a shard's leader last reported, and since when each of its
// members is silent.
type shardWord struct {
	rule.Vacant
	at    unit.Millis
	since map[unit.Num]unit.Millis
}

// leave puts the end of a life to the group; who tells of it tells it again
// until the news show it.
func (c *Control) leave(x rule.Leave) {
	if n := c.state.find(x.Addr); n != nil && n.Life == x.Life && !n.Gone {
		c.Ask(Command{Verb: Leave, Node: rule.Node{Addr: x.Addr, Life: x.Life}}, 1000, func(Result, bool) {})
	}
}

// passOn gives a report to the control process that leads; false when that is
// this one. Without a leader it is lost, and will be told again.
func (c *Control) passOn(k lane.Kind, v any) bool {
	_, lead := c.core.Lead()
	if lead == c.conf.Self.Addr {
		return false
	}
	if lead != "" {
		c.out.Send(lead, k, v)
	}
	return true
}

// Missing takes a watcher's word that a node fell silent. The word of more than
// half of its watchers, within a while, is enough for a leader that is sure to
// lead; one that is cut off would take all others for lost.
func (c *Control) Missing(now unit.Millis, x rule.Leave) {
	c.now = now
	if c.passOn(rule.KindMissing, x) || !c.current() {
		return
	}
	n := c.state.find(x.Addr)
	if n == nil || n.Gone || n.Life != x.Life {
		return
	}
	k := life{x.Addr, x.Life}
	r := c.missed[k]
	if r == nil {
		if len(c.missed) > 1024 {
			clear(c.missed) // of lives long ended; who still misses one tells it again
		}
		r = map[unit.Node]unit.Millis{}
		c.missed[k] = r
	}
	if r[x.By] == 0 {
		c.out.Log("missing", "peer", x.Addr, "by", x.By)
	}
	r[x.By] = now
	fresh := 0
	for _, at := range r {
		if now-at < 2*c.conf.Beat {
			fresh++
		}
	}
	if 2*fresh > len(kin.Watchers(c.state.Nodes, x.Addr, kin.Count)) {
		delete(c.missed, k)
		c.out.Log("lost", "peer", x.Addr, "reports", fresh)
		c.duty(Command{Verb: Leave, Node: rule.Node{Addr: x.Addr, Life: x.Life}})
	}
}

// vacant takes a shard leader's word on its replicas.
func (c *Control) vacant(x rule.Vacant) {
	if c.passOn(rule.KindVacant, x) {
		return
	}
	w := c.shards[x.Group]
	if w == nil {
		w = &shardWord{}
	}
	if w.Epoch > x.Epoch {
		return
	}
	since := map[unit.Num]unit.Millis{}
	for _, m := range x.Silent {
		since[m.Num] = c.now
		if at, ok := w.since[m.Num]; ok {
			since[m.Num] = at
		}
	}
	c.shards[x.Group] = &shardWord{Vacant: x, at: c.now, since: since}
}

// duties are done by the group's leader alone, while it is sure to lead, under
// its term: what is decided of them after another's term began changes nothing.
func (c *Control) duties() {
	b, _ := c.core.Lead()
	if c.core.Role() != accord.Leader || !c.current() {
		c.counted, c.foundAt = 0, c.now
		return
	}
	if c.state.Term != b {
		c.duty(Command{Verb: Reign})
		return
	}
	c.members()
	if len(c.state.Shards) == 0 {
		c.found()
		return
	}
	if c.now < c.moveAt {
		return
	}
	reports := map[unit.Group]Report{}
	for g, w := range c.shards {
		if c.now-w.at > 3000 {
			continue
		}
		r := Report{Vacant: w.Vacant, Long: map[unit.Num]bool{}}
		for n, at := range w.since {
			r.Long[n] = c.now-at >= c.conf.Replace
		}
		reports[g] = r
	}
	moves := c.state.Moves(reports)
	for _, m := range moves {
		c.out.Log("move", "do", m.Verb.String(), "group", m.Group, "from", m.From.Node, "to", m.To.Node)
		c.duty(m)
	}
	if len(moves) > 0 {
		c.moveAt = c.now + 500 // let it come into force, and be told
	}
}

// duty puts a leader's own command to the group, under its term.
func (c *Control) duty(cmd Command) {
	cmd.Term, _ = c.core.Lead()
	c.Ask(cmd, 1000, func(Result, bool) {})
}

// found places the shards once the stores that are there no longer become more.
func (c *Control) found() {
	stores := 0
	for _, n := range c.state.Nodes {
		if n.Duty == rule.Store && !n.Gone {
			stores++
		}
	}
	if stores != c.counted {
		c.counted, c.foundAt = stores, c.now
		return
	}
	if stores >= 2*c.conf.Losses+1 && c.now-c.foundAt >= 1000 {
		shards := c.conf.Shards
		if shards == 0 {
			shards = c.state.shards(c.conf.Queue, stores)
		}
		c.duty(Command{Verb: Found, Shards: shards, Losses: c.conf.Losses})
	}
}

// members sees to the group's own membership.
func (c *Control) members() {
	core, now := c.core, c.now
	if core.Settled() && !accord.Same(c.state.Settled, core.Seats()) {
		c.duty(Command{Verb: Settle, Seats: core.Seats()})
	}
	next, why, who := c.state.Members(core.Seats(), c.conf.Losses, Ear{Self: c.conf.Self.Num, Settled: core.Settled(),
		Heard:  func(n unit.Num) bool { return core.Heard(now, n, 1000) },
		Silent: func(n unit.Num) bool { return core.Silent(now, n) >= c.conf.NormReplace },
		Level:  core.Level})
	if next != nil && core.Reseat(now, next) == nil {
		c.out.Log("norm-reseat", "seats", len(next), "why", why, "node", who)
	}
}
