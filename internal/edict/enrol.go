package edict

import (
	"slices"

	"github.com/fxamacker/cbor/v2"

	"oxbowdeck/internal/accord"
	"oxbowdeck/internal/rule"
	"oxbowdeck/internal/unit"
)

// heir is a link that hears news, and how new those it was given are.
type heir struct {
	line rule.Line
	seq  unit.Slot
}

// enrol answers with news once they are sure to be the newest: at once under a
// lease, else through the group's order; and when the life is not known yet, once
// it is agreed. A process that waits for that gets the news meanwhile, if it has
// none. An edge is told where to have them: from a store of its zone, which lists
// it once it is agreed.
func (c *Control) enrol(l rule.Line, x rule.Enrol) {
	n := x.Node
	o := c.state.find(n.Addr)
	listed := o != nil && o.Life == n.Life && o.Disk == n.Disk && !o.Gone
	switch {
	case n.Duty == rule.Edge && !x.Whole:
		if x.Seq == 0 {
			c.Read(enrolWait, func(ok bool) {
				if ok {
					c.where(l)
				}
			})
		}
		if !listed {
			c.Ask(Command{Verb: Enroll, Node: n}, enrolWait, func(Result, bool) {})
		}
	case listed:
		c.Read(enrolWait, func(ok bool) {
			if ok {
				c.heir(l, n, x.Seq)
			}
		})
	default:
		if x.Seq == 0 && c.state.NewsAt > 0 && n.Duty != rule.Norm && c.current() {
			l.Send(rule.KindNews, c.state.News().Since(0))
		}
		c.Ask(Command{Verb: Enroll, Node: n}, enrolWait, func(_ Result, ok bool) {
			if ok {
				c.heir(l, n, x.Seq)
			}
		})
	}
}

// enrolWait is how long an enrolment is put to the group; who enrols asks again.
const enrolWait = unit.Millis(2000)

// where sends a link the sketch of the news.
func (c *Control) where(l rule.Line) {
	if c.sketch == nil || c.sketchAt != c.state.NewsAt {
		b, err := cbor.Marshal(c.state.News().Sketch())
		if err != nil {
			c.out.Log("encode-failed", "kind", rule.KindNews, "err", err)
			return
		}
		c.sketch, c.sketchAt = b, c.state.NewsAt
	}
	l.SendRaw(rule.KindNews, c.sketch)
}

// heir gives a link what is new since seq, and goes on with it.
func (c *Control) heir(l rule.Line, n rule.Node, seq unit.Slot) {
	if n.Duty == rule.Norm || !l.Send(rule.KindNews, c.state.News().Since(seq)) {
		return // a control process follows the group's order itself
	}
	h := heir{l, max(seq, c.state.NewsAt)}
	if i := slices.IndexFunc(c.heirs, func(o heir) bool { return o.line == l }); i >= 0 {
		c.heirs[i] = h
		return
	}
	c.heirs = append(c.heirs, h)
}

// join enrols this process: in the group's order if it knows who leads, else
// through any control process it knows of, asked ever more seldom.
func (c *Control) join() {
	if _, lead := c.core.Lead(); lead != "" {
		c.Ask(Command{Verb: Enroll, Node: c.conf.Self}, 1000, func(Result, bool) {})
		return
	}
	if c.now < c.joinAt {
		return
	}
	c.joinFor = min(max(2*c.joinFor, 500), 4000)
	c.joinAt = c.now + c.joinFor/2 + unit.Millis(c.conf.Rand(int64(c.joinFor/2)))
	for _, a := range append(slices.Clone(c.seeds), c.known...) {
		if a != c.conf.Self.Addr {
			c.out.Send(a, rule.KindEnroll, rule.Enrol{Node: c.conf.Self})
		}
	}
}

// Depart begins an orderly end: the group is told, so that this process's seat
// goes to another, and it leads no more. It goes on voting and answering.
func (c *Control) Depart(now unit.Millis) {
	c.now, c.leaving = now, true
	c.Ask(Command{Verb: Depart, Node: c.conf.Self}, 1000, func(Result, bool) {})
	c.core.Yield(now)
}

// Departed tells whether this process is not needed any more: it has no seat, and
// the members hold all that was decided while it had one; or there is nobody who
// could take its seat, and waiting is of no use.
func (c *Control) Departed(now unit.Millis) bool {
	c.now = now
	if c.core.Role() != accord.Follower {
		return false
	}
	if !accord.Holds(c.core.Seats(), c.conf.Self.Addr) {
		return accord.Same(c.state.Settled, c.core.Seats())
	}
	for _, n := range c.state.Nodes {
		if n.Duty == rule.Norm && !n.Gone && n.Addr != c.conf.Self.Addr && !c.state.departs(&n) && !accord.Holds(c.core.Seats(), n.Addr) {
			return false
		}
	}
	return true
}

// Leave tells the group that this life ends.
func (c *Control) Leave(now unit.Millis, wait unit.Millis, done func()) {
	c.now = now
	c.Ask(Command{Verb: Leave, Node: c.conf.Self}, wait, func(Result, bool) { done() })
}
