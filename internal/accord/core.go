package accord

import (
	"errors"
	"slices"

	"oxbowdeck/internal/unit"
)

// Role of a replica.
type Role uint8

const (
	Follower Role = iota
	Canvasser
	Candidate
	Leader
)

var (
	ErrNotLeader = errors.New("not the leader")
	ErrFull      = errors.New("too much is waiting")
	ErrBehind    = errors.New("too few members hold what is decided")
)

type slot struct {
	bal     unit.Ballot
	val     []byte
	chosen  bool
	acks    map[unit.Num]bool
	sentAt  unit.Millis
	pending bool        // proposed by this leader, undecided
	since   unit.Millis // a follower holds it since
	began   unit.Millis // its batch was opened then, at this leader
}

type wait struct {
	token uint64
	msgs  []Envelope
	self  []unit.Slot // own acceptances that become votes once synced
	bal   unit.Ballot
	vow   bool // own promise becomes a vote once synced
	at    unit.Millis
	mark  unit.Slot // the decided mark of its record
}

// mark is what was decided when a token was given out.
type mark struct {
	token  uint64
	commit unit.Slot
}

// lane is what waits to be proposed: an open batch, and closed ones.
type lane struct {
	open   []Request
	size   int
	openAt unit.Millis
	time   unit.Millis // decided time of the open batch
	urgent []string    // origins of urgent requests in the open batch
	closed []batch
	bytes  int
}

type batch struct {
	val    []byte
	urgent []string
	openAt unit.Millis
}

func (q *lane) busy() bool { return len(q.open)+len(q.closed) > 0 }

func (q *lane) shut() {
	if len(q.open) == 0 {
		return
	}
	b := batch{val: encode(Value{Stamp: q.time, Reqs: q.open}), urgent: q.urgent, openAt: q.openAt}
	q.closed = append(q.closed, b)
	q.bytes += len(b.val)
	q.open, q.size, q.urgent = nil, 0, nil
}

// Core is one replica of one group.
type Core struct {
	conf     Conf
	role     Role
	promised unit.Ballot
	leader   unit.Ballot // the highest epoch heard acting
	leadNode unit.Node
	log      map[unit.Slot]*slot
	commit   unit.Slot
	base     unit.Slot
	eras     []Era
	learners []Member

	heardAt  unit.Millis // the leader was last heard
	askedAt  unit.Millis // last canvass or campaign
	fetchAt  unit.Millis
	tokens   uint64
	firm     unit.Slot // decided, and every entry up to it is surely on the disk
	marked   unit.Slot // the decided mark that is on the disk
	firming  []mark
	unsure   int // snapshots installed that are not on the disk yet
	waits    []wait
	eff      Effects
	voices   map[unit.Num]bool // favours or promises so far
	offered  []Entry           // what promises told
	last     unit.Slot         // highest instance to repropose
	next     unit.Slot         // leader: next free instance
	lanes    [2]lane           // what waits: in common, and ahead of it
	behind   map[string]int    // urgent requests of an origin that wait in common
	repeats  []Entry           // leader: instances to propose again, in order
	taken    map[ID]bool       // leader: requests submitted here and not decided yet
	beatAt   unit.Millis
	toldAt   unit.Slot // commit last told to the others
	heir     unit.Node // who is to lead next
	cededAt  unit.Millis
	yielding bool // the window is being finished before a hand-over
	draining bool // this replica leaves: it leads no more
	seen     map[unit.Num]unit.Millis
	fed      map[unit.Node]sent // what a replica that lags was last given
	seatNext []Member
	courses  map[unit.Num]*course     // leader: what each replica has yet to answer
	nudgedAt unit.Millis              // follower: when it last asked on the second path
	levels   map[unit.Num]unit.Slot   // leader: what each member said it holds
	sounded  map[unit.Num]unit.Millis // leader: when each was last asked how far it is
	seating  unit.Slot                // leader: the last instance that holds a membership
	lag      unit.Millis              // leader: a batch's usual time from its opening to its decision, in eighths
	now      unit.Millis              // as of the last tick
	seated   unit.Slot                // the newest membership came into force here
	told     unit.Slot                // decided, by the leader's last word
	clock    unit.Millis              // the highest decided time
	ledAt    unit.Millis              // when this leader's duty began, by its own steady clock
	ledClock unit.Millis              // the decided time it began at
	born     unit.Millis              // when this life began, by its own steady clock
	contact  contact
	seatWant []Member  // leader: a membership asked for, until enough of it hold seatGoal
	seatGoal unit.Slot // what was decided when it was first asked for
}

// New starts a replica from what its disk holds.
func New(conf Conf, boot Boot, now unit.Millis) *Core {
	c := &Core{conf: conf, promised: boot.Promised, log: map[unit.Slot]*slot{}, commit: boot.Base, base: boot.Base, firm: boot.Commit, marked: boot.Commit, clock: boot.Clock,
		eras: append([]Era(nil), boot.Eras...), heardAt: now, seen: map[unit.Num]unit.Millis{}, fed: map[unit.Node]sent{}}
	for _, e := range boot.Entries {
		if e.Slot <= boot.Base {
			continue
		}
		c.log[e.Slot] = &slot{bal: e.Ballot, val: e.Val, chosen: e.Slot <= boot.Commit}
		if e.Ballot > c.promised {
			c.promised = e.Ballot
		}
	}
	// nobody was heard in this life: if all of them begin, there is no leader to
	// wait for; if one lives, its members will not favour this replica
	c.heardAt = now - max(0, conf.Patience-3*conf.Impatience)
	c.born, c.contact.at = now, never
	c.advance(now)
	return c
}

func (c *Core) Role() Role             { return c.role }
func (c *Core) Commit() unit.Slot      { return c.commit }
func (c *Core) Base() unit.Slot        { return c.base }
func (c *Core) Promised() unit.Ballot  { return c.promised }
func (c *Core) Eras() []Era            { return c.eras }
func (c *Core) Self() Member           { return c.conf.Self }
func (c *Core) SetLearners(l []Member) { c.learners = l }

// Lead tells the acting leader and its epoch, as far as this replica knows.
func (c *Core) Lead() (unit.Ballot, unit.Node) {
	if c.role == Leader {
		return c.leader, c.conf.Self.Node
	}
	return c.leader, c.leadNode
}

func (c *Core) seatsAt(s unit.Slot) []Member {
	var out []Member
	for _, e := range c.eras {
		if e.From <= s {
			out = e.Seats
		}
	}
	return out
}

// Seats are the voters of the next instance.
func (c *Core) Seats() []Member { return c.seatsAt(c.commit + 1) }

func has(ms []Member, n unit.Num) bool {
	for _, m := range ms {
		if m.Num == n {
			return true
		}
	}
	return false
}

// Same tells whether two memberships are the same, in the same order.
func Same(a, b []Member) bool { return slices.Equal(a, b) }

// Holds tells whether a node is among the members.
func Holds(ms []Member, n unit.Node) bool {
	for _, m := range ms {
		if m.Node == n {
			return true
		}
	}
	return false
}

func (c *Core) voter() bool { return has(c.Seats(), c.conf.Self.Num) }

// peers are all replicas but this one: voters of any era at hand, and learners.
func (c *Core) peers(voters, learners bool) []Member {
	var out []Member
	add := func(ms []Member) {
		for _, m := range ms {
			if m.Node != c.conf.Self.Node && !Holds(out, m.Node) {
				out = append(out, m)
			}
		}
	}
	if voters {
		add(c.Seats())
		for _, e := range c.eras {
			if e.From > c.commit+1 {
				add(e.Seats)
			}
		}
	}
	if learners {
		add(c.learners)
	}
	return out
}

func (c *Core) send(to unit.Node, m Msg) {
	m.Group, m.From = c.conf.Group, c.conf.Self.Num
	c.eff.Sends = append(c.eff.Sends, Envelope{To: to, Msg: m})
}

func (c *Core) envelope(to unit.Node, m Msg) Envelope {
	m.Group, m.From = c.conf.Group, c.conf.Self.Num
	return Envelope{To: to, Msg: m}
}

func (c *Core) save(r Record, w wait) {
	r.Commit, r.Promised = c.firm, c.promised
	w.at, w.mark = c.now, c.firm
	c.eff.Saves = append(c.eff.Saves, r)
	c.waits = append(c.waits, w)
}

// Drain hands over the effects gathered so far.
func (c *Core) Drain() Effects {
	if len(c.eff.Saves) > 0 {
		c.tokens++
		c.eff.Token = c.tokens
		for i := range c.waits {
			if c.waits[i].token == 0 {
				c.waits[i].token = c.tokens
			}
		}
		if c.unsure == 0 {
			c.firming = append(c.firming, mark{c.tokens, c.commit})
		}
	}
	e := c.eff
	c.eff = Effects{}
	return e
}

// Synced tells that everything saved up to token is on the disk: answers held
// back until then go out now.
func (c *Core) Synced(now unit.Millis, token uint64) {
	c.resign(now)
	for len(c.firming) > 0 && c.firming[0].token <= token {
		c.firm = c.firming[0].commit
		c.firming = c.firming[1:]
	}
	n := 0
	for _, w := range c.waits {
		if w.token == 0 || w.token > token {
			c.waits[n] = w
			n++
			continue
		}
		c.marked = w.mark
		c.eff.Sends = append(c.eff.Sends, w.msgs...)
		if w.vow && c.role == Candidate && w.bal == c.promised {
			c.promise(now, Msg{Kind: Promise, From: c.conf.Self.Num, Ballot: w.bal, Commit: c.commit, Entries: c.tail(c.commit + 1)})
		}
		if c.role == Leader && w.bal == c.leader {
			for _, s := range w.self {
				c.vote(now, s, c.conf.Self.Num)
			}
		}
	}
	c.waits = c.waits[:n]
	c.pump(now)
}

// Tick lets time pass.
func (c *Core) Tick(now unit.Millis) {
	c.now = now
	c.resign(now)
	switch c.role {
	case Leader:
		c.relent(now)
		for i := range c.lanes {
			if q := &c.lanes[i]; len(q.open) > 0 && now-q.openAt >= c.conf.Delta {
				q.shut()
			}
		}
		for s := c.commit + 1; s < c.next; s++ {
			if e := c.log[s]; e != nil && e.pending && now-e.sentAt >= 2*c.conf.Beat {
				e.sentAt = now
				for _, m := range c.peers(true, false) {
					if !e.acks[m.Num] {
						c.send(m.Node, Msg{Kind: Accept, Ballot: c.leader, Slot: s, Commit: c.commit, Val: e.val})
					}
				}
			}
		}
		c.pump(now)
		c.nudge(now)
		if now-c.beatAt >= c.conf.Beat {
			c.beat(now)
		}
	default:
		c.ask(now)
		if now >= c.askAt() {
			c.canvass(now)
		}
	}
}

// NextWake is when Tick is next needed.
func (c *Core) NextWake() unit.Millis {
	if c.role == Leader {
		w := c.beatAt + c.conf.Beat
		for i := range c.lanes {
			if q := &c.lanes[i]; len(q.open) > 0 {
				w = min(w, q.openAt+c.conf.Delta)
			}
		}
		for _, k := range c.courses {
			for _, o := range k.open {
				if !o.nudged {
					w = min(w, o.at+k.patience(c.conf.Nudge))
					break
				}
			}
		}
		return w
	}
	w := c.askAt()
	if c.held(c.commit+1) && c.leadNode != "" {
		w = min(w, max(c.log[c.commit+1].since, c.nudgedAt)+c.conf.Nudge)
	}
	return w
}

// Take handles a message from another replica.
func (c *Core) Take(now unit.Millis, from unit.Node, m Msg) {
	c.resign(now)
	c.seen[m.From] = now
	switch m.Kind {
	case Canvass:
		if c.stranger(m.From, m.Commit) {
			return
		}
		ok := m.Ballot >= c.promised && c.role != Leader && now >= c.heardAt+c.conf.Patience-c.conf.Impatience
		if m.Ballot < c.promised {
			c.send(from, Msg{Kind: Nack, Ballot: c.promised, Commit: c.commit})
			return
		}
		c.send(from, Msg{Kind: Favor, Ballot: m.Ballot, Yes: ok, Commit: c.commit})
	case Favor:
		if c.role == Canvasser && m.Yes && m.Ballot == c.promised {
			c.voices[m.From] = true
			if c.carried(c.voices) {
				c.campaign(now)
			}
		}
	case Prepare:
		c.prepare(now, from, m)
	case Promise:
		c.promise(now, m)
	case Accept:
		c.accept(now, from, m)
	case Accepted:
		if c.role == Leader && m.Ballot == c.leader {
			c.answered(now, m.From, m.Slot)
			c.vote(now, m.Slot, m.From)
			c.pump(now)
		}
	case Beat:
		if m.Ballot < c.promised {
			c.send(from, Msg{Kind: Nack, Ballot: c.promised, Commit: c.commit})
			return
		}
		c.follow(now, from, m.Ballot)
		c.assured(now, m)
		c.learn(now, from, m.Ballot, m.Commit)
		if m.Yes {
			c.level(now, from, m)
		}
	case Level:
		if c.role == Leader && m.Ballot == c.leader {
			c.levels[m.From] = max(c.levels[m.From], m.Firm)
			c.echoed(from, m)
			if from == c.heir && !c.yielding && now-c.cededAt < c.conf.Beat && m.Commit+2 >= c.commit {
				c.shut()
				c.yielding = true
				c.pump(now)
				return
			}
			if m.Yes && m.Commit < c.commit {
				e := c.envelope(from, Msg{Kind: Beat, Ballot: c.leader, Commit: c.commit})
				e.Spare = true
				c.eff.Sends = append(c.eff.Sends, e)
			}
		}
	case Nack:
		if m.Ballot > c.promised {
			c.promised = m.Ballot
			heard, led := c.heardAt, c.role == Leader
			c.stepDown(now)
			if !led {
				c.heardAt = heard // still in doubt: ask again soon, above that epoch
			}
			c.save(Record{}, wait{})
		}
	case Fetch:
		c.feed(now, from, m.Slot)
	case Feed:
		c.take(now, from, m)
	case Yield:
		if m.Ballot >= c.promised && c.voter() && c.role != Leader && !c.draining {
			c.campaign(now)
		}
	}
}

// SetSelf gives this replica the number its (new) disk votes under.
func (c *Core) SetSelf(n unit.Num) { c.conf.Self.Num = n }

// Mark puts the decided prefix on record, for a process that ends in order.
func (c *Core) Mark() {
	c.firm = c.kept()
	c.save(Record{}, wait{})
}
