package edict

import (
	"slices"

	"oxbowdeck/internal/accord"
	"oxbowdeck/internal/lane"
	"oxbowdeck/internal/rule"
	"oxbowdeck/internal/unit"
)

// Control is a control process without its sockets, clock and disk: frames, calls,
// ticks, applied commands and broken links go in, what is to be done goes out
// through a Shell. Its methods belong to one actor. The same inputs give the same
// outputs.
type Control struct {
	conf  Conf
	out   Shell
	core  *accord.Core
	state State
	now   unit.Millis

	seq     uint64
	waiting []*asked // by number

	heirs    []heir
	sketch   []byte // the packed sketch of the news, as of sketchAt
	sketchAt unit.Slot
	dirty    bool
	newsAt   unit.Millis
	pulseAt  unit.Millis

	seeds   []unit.Node
	known   []unit.Node // control processes, as the disk remembers them
	enrolAt unit.Millis
	joinAt  unit.Millis
	joinFor unit.Millis
	leaving bool

	missed  map[life]map[unit.Node]unit.Millis // who misses whom
	shards  map[unit.Group]*shardWord
	dutyAt  unit.Millis
	moveAt  unit.Millis
	counted int // stores seen at the last look before the founding
	foundAt unit.Millis

	calls  []*call // of workers, that the leader has not heard of yet
	callNo uint64
	heard  map[string]word // leader: when each worker was heard
	tendAt unit.Millis
	ledAt  unit.Millis // this process does the leader's duties since
}

// Conf holds what a control node is told once.
type Conf struct {
	Self        rule.Node
	Losses      int
	Lease       unit.Millis // contact with a majority may be so old to answer from the state
	Beat        unit.Millis // of workers and of the ring
	WorkerBeats int         // a worker silent for so many ends
	Repeat      unit.Millis // so long an order other than a configuration may be repeated
	Replace     unit.Millis // a shard's member silent for so long may lose its seat to a busy store
	NormReplace unit.Millis // a member of the control group silent for so long loses its seat
	Shards      int         // to found; 0: by the stores there are
	Queue       bool
	Rand        func(n int64) int64
}

// Shell is what a control node acts through.
type Shell interface {
	Send(to unit.Node, k lane.Kind, v any) bool // lost if the link breaks first
	Submit(r accord.Request) error              // to this node's own replica
	Keep(row string, v any)                     // on the disk, sooner or later
	Ring(nodes []rule.Node)                     // the processes of the ring of heartbeats
	Log(event string, kv ...any)
}

// NewControl makes a node; Begin gives it its replica before anything else.
func NewControl(conf Conf, out Shell, seeds, known []unit.Node) *Control {
	return &Control{conf: conf, out: out, seeds: seeds, known: known, missed: map[life]map[unit.Node]unit.Millis{},
		shards: map[unit.Group]*shardWord{}, heard: map[string]word{}, callNo: uint64(conf.Rand(1 << 40))}
}

// Begin takes up the replica that was opened with this node as its machine.
func (c *Control) Begin(now unit.Millis, core *accord.Core) {
	c.core, c.now, c.enrolAt = core, now, now
	c.reseated()
}

// At tells the time before commands that were decided are applied.
func (c *Control) At(now unit.Millis) { c.now = now }

// State is what is agreed, as far as this replica has applied it.
func (c *Control) State() *State { return &c.state }

// current tells whether this replica was in touch with a majority within the
// lease, and stood then where the group stood: the one condition under which
// anything is answered from the state without asking the group.
func (c *Control) current() bool {
	age, ok := c.core.Contact(c.now)
	return ok && age <= c.conf.Lease
}

// term gives the fencing token of this leader's duties; false for whoever does
// not lead, or leads and cannot be sure of it, or has not begun its term.
func (c *Control) term() (unit.Ballot, bool) {
	b, _ := c.core.Lead()
	return b, c.core.Role() == accord.Leader && c.current() && c.state.Term == b
}

// Apply, Save, Load, Clock and Size make the node the group's machine.
func (c *Control) Apply(x accord.Decided) {
	type answer struct {
		w *asked
		r Result
	}
	var answers []answer // given once the whole instance is run: news name no part of one
	changed := c.state.Apply(x, func(id accord.ID, r Result) {
		if w := c.answered(id); w != nil {
			answers = append(answers, answer{w, r})
		}
	})
	if changed {
		if !c.dirty {
			c.dirty = true
			c.newsAt = c.now
		}
		c.reseated()
	}
	for _, a := range answers {
		a.w.done(a.r, true)
	}
}

// Size: a snapshot is always small against the log that asks for one.
func (c *Control) Size() int { return 0 }

func (c *Control) Clock() unit.Millis { return c.state.Time }

func (c *Control) Save() ([]byte, error) { return c.state.Save() }

func (c *Control) Load(b []byte) error {
	if err := c.state.Load(b); err != nil {
		return unit.Err("snapshot", "norm", err)
	}
	c.dirty = true
	c.reseated()
	return nil
}

// reseated takes up the number the group gave this disk, and tells the engine
// which control processes follow without a vote.
func (c *Control) reseated() {
	if c.core == nil {
		return
	}
	if n := c.state.find(c.conf.Self.Addr); n != nil && n.Disk == c.conf.Self.Disk && n.Num != c.conf.Self.Num {
		c.conf.Self.Num = n.Num
		c.core.SetSelf(n.Num)
		c.out.Keep("identity", Identity{Disk: c.conf.Self.Disk, Num: n.Num})
		c.out.Log("norm-numbered", "num", n.Num)
	}
	var learners []accord.Member
	var norms []unit.Node
	for _, n := range c.state.Nodes {
		if n.Duty == rule.Norm && !n.Gone {
			learners = append(learners, accord.Member{Num: n.Num, Node: n.Addr})
			norms = append(norms, n.Addr)
		}
	}
	c.core.SetLearners(learners)
	if len(norms) > 0 && !slices.Equal(norms, c.known) {
		c.known = norms
		c.out.Keep("norms", norms)
	}
}

// Frame takes a frame of the control plane's own; false for another's.
func (c *Control) Frame(now unit.Millis, l rule.Line, k lane.Kind, b []byte) bool {
	c.now = now
	switch k {
	case rule.KindEnroll:
		if x, ok := lane.Get[rule.Enrol](b); ok {
			c.enrol(l, x)
		}
	case rule.KindAsk:
		if a, ok := lane.Get[ask](b); ok {
			c.out.Submit(a.Req) // refused or lost: the asker asks again
		}
	case rule.KindLeave:
		if x, ok := lane.Get[rule.Leave](b); ok {
			c.leave(x)
		}
	case rule.KindMissing:
		if x, ok := lane.Get[rule.Leave](b); ok {
			c.Missing(now, x)
		}
	case rule.KindVacant:
		if x, ok := lane.Get[rule.Vacant](b); ok {
			c.vacant(x)
		}
	case rule.KindBeats:
		if x, ok := lane.Get[rule.Beats](b); ok {
			c.beats(l, x)
		}
	case rule.KindHeard:
		if x, ok := lane.Get[rule.Heard](b); ok {
			c.hear(x)
		}
	case rule.KindSeated:
		if x, ok := lane.Get[rule.Seated](b); ok {
			c.Ask(Command{Verb: Seated, Seated: &x}, 3000, func(Result, bool) {})
		}
	default:
		return false
	}
	return true
}

// Down tells that a link broke.
func (c *Control) Down(now unit.Millis, l rule.Line) {
	c.now = now
	c.heirs = slices.DeleteFunc(c.heirs, func(h heir) bool { return h.line == l })
}

// Seeds takes new control processes to turn to.
func (c *Control) Seeds(seeds []unit.Node) { c.seeds = seeds }

// Tick does what is due, and tells when it is next needed.
func (c *Control) Tick(now unit.Millis) (next unit.Millis) {
	c.now = now
	next = now + 1000
	due := func(at unit.Millis) bool {
		if at <= now {
			return true
		}
		next = min(next, at)
		return false
	}
	for _, w := range slices.Clone(c.waiting) {
		if due(w.end) {
			c.answered(w.id)
			w.done(0, false)
		} else if due(w.sent + askEvery) {
			c.put(w)
		}
	}
	if c.dirty && due(c.newsAt+30) {
		c.dirty = false
		c.out.Ring(c.state.Nodes)
		news := rule.Sheaf{News: c.state.News()}
		for i, h := range c.heirs {
			c.heirs[i].seq = news.Give(h.line, h.seq)
		}
	}
	if due(c.pulseAt + 500) {
		c.pulseAt = now
		if c.current() { // one that is cut off must not be taken for its word
			for _, h := range c.heirs {
				h.line.Send(rule.KindPulse, rule.Pulse{Seq: h.seq})
			}
		}
	}
	if due(c.enrolAt) {
		c.enrolAt = now + 1000
		if o := c.state.find(c.conf.Self.Addr); !c.leaving && (o == nil || o.Life != c.conf.Self.Life || o.Gone) {
			c.join()
		}
	}
	if at := c.tendCalls(); at > 0 {
		due(at)
	}
	if due(c.tendAt) {
		c.tendAt = now + 400
		c.tend()
	}
	if due(c.dutyAt) {
		c.dutyAt = now + 250
		c.duties()
	}
	return next
}
