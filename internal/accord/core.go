package accord

import (
	"errors"

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
)

type slot struct {
	bal     unit.Ballot
	val     []byte
	chosen  bool
	acks    map[unit.Num]bool
	sentAt  unit.Millis
	pending bool        // proposed by this leader, undecided
	since   unit.Millis // a follower holds it since
}

type wait struct {
	token uint64
	msgs  []Envelope
	self  []unit.Slot // own acceptances that become votes once synced
	bal   unit.Ballot
	vow   bool // own promise becomes a vote once synced
}

// mark is what was decided when a token was given out.
type mark struct {
	token  uint64
	commit unit.Slot
}

// course is what a leader sent to one replica and heard of it.
type course struct {
	open []sent
	took unit.Millis // an answer's usual time, in eighths
}

type sent struct {
	slot   unit.Slot
	at     unit.Millis
	nudged bool
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
	firming  []mark
	waits    []wait
	eff      Effects
	voices   map[unit.Num]bool // favours or promises so far
	offered  []Entry           // what promises told
	last     unit.Slot         // highest instance to repropose
	next     unit.Slot         // leader: next free instance
	backlog  [][]byte          // closed batches and repeats waiting for the window
	backSize int
	repeats  []Entry // leader: instances to propose again, in order
	open     []Request
	taken    map[ID]bool // leader: requests submitted here and not decided yet
	openSize int
	openAt   unit.Millis
	beatAt   unit.Millis
	toldAt   unit.Slot // commit last told to the others
	yielding bool      // the window is being finished before a hand-over
	draining bool      // this replica leaves: it leads no more
	seen     map[unit.Num]unit.Millis
	seatNext []Member
	courses  map[unit.Num]*course   // leader: what each replica has yet to answer
	nudgedAt unit.Millis            // follower: when it last asked on the second path
	levels   map[unit.Num]unit.Slot // leader: what each member said it holds
	seated   unit.Slot              // the newest membership came into force here
	told     unit.Slot              // decided, by the leader's last word
	clock    unit.Millis            // the highest decided time
	ledAt    unit.Millis            // when this leader's duty began, by its own steady clock
	ledClock unit.Millis            // the decided time it began at
	openTime unit.Millis            // decided time of the open batch
}

// New starts a replica from what its disk holds.
func New(conf Conf, boot Boot, now unit.Millis) *Core {
	c := &Core{conf: conf, promised: boot.Promised, log: map[unit.Slot]*slot{}, commit: boot.Base, base: boot.Base, firm: boot.Commit, clock: boot.Clock,
		eras: append([]Era(nil), boot.Eras...), heardAt: now, seen: map[unit.Num]unit.Millis{}}
	for _, e := range boot.Entries {
		if e.Slot <= boot.Base {
			continue
		}
		c.log[e.Slot] = &slot{bal: e.Ballot, val: e.Val, chosen: e.Slot <= boot.Commit}
		if e.Ballot > c.promised {
			c.promised = e.Ballot
		}
	}
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

func at(ms []Member, n unit.Node) bool {
	for _, m := range ms {
		if m.Node == n {
			return true
		}
	}
	return false
}

func majority(ms []Member, yes map[unit.Num]bool) bool {
	n := 0
	for _, m := range ms {
		if yes[m.Num] {
			n++
		}
	}
	return n*2 > len(ms)
}

// carried tells whether yes holds a majority of every membership that can
// apply to an undecided instance.
func (c *Core) carried(yes map[unit.Num]bool) bool {
	if !majority(c.seatsAt(c.commit+1), yes) {
		return false
	}
	for _, e := range c.eras {
		if e.From > c.commit+1 && !majority(e.Seats, yes) {
			return false
		}
	}
	return true
}

func (c *Core) voter() bool { return has(c.Seats(), c.conf.Self.Num) }

// peers are all replicas but this one: voters of any era at hand, and learners.
func (c *Core) peers(voters, learners bool) []Member {
	var out []Member
	add := func(ms []Member) {
		for _, m := range ms {
			if m.Node != c.conf.Self.Node && !at(out, m.Node) {
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
		c.firming = append(c.firming, mark{c.tokens, c.commit})
	}
	e := c.eff
	c.eff = Effects{}
	return e
}

// Synced tells that everything saved up to token is on the disk: answers held
// back until then go out now.
func (c *Core) Synced(now unit.Millis, token uint64) {
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
	switch c.role {
	case Leader:
		if len(c.open) > 0 && now-c.openAt >= c.conf.Delta {
			c.shut()
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
		if len(c.open) > 0 && c.openAt+c.conf.Delta < w {
			w = c.openAt + c.conf.Delta
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

func (c *Core) held(s unit.Slot) bool { e := c.log[s]; return e != nil && !e.chosen }

// patience is how long an answer may take before it is asked for again: more
// than usual for that replica, so that a slow one is not pressed.
func (k *course) patience(least unit.Millis) unit.Millis { return max(least, 3*k.took/8) }

// nudge sends what a replica has not answered once more, on the second path. A
// packet lost on the first holds up everything behind it; the engine needs no
// order, so what is late need not wait.
func (c *Core) nudge(now unit.Millis) {
	for _, m := range c.peers(true, true) {
		k := c.courses[m.Num]
		if k == nil {
			continue
		}
		n := 0
		for _, o := range k.open {
			if now-o.at > 4*c.conf.Patience {
				continue // it is gone, or will fetch
			}
			if !o.nudged && now-o.at >= k.patience(c.conf.Nudge) {
				o.nudged = true
				if e := c.log[o.slot]; e != nil && now-c.seen[m.Num] < 2*c.conf.Patience {
					c.eff.Sends = append(c.eff.Sends, Envelope{To: m.Node, Spare: true, Msg: Msg{Kind: Accept, Group: c.conf.Group,
						From: c.conf.Self.Num, Ballot: c.leader, Slot: o.slot, Commit: c.commit, Val: e.val}})
				}
			}
			k.open[n] = o
			n++
		}
		k.open = k.open[:n]
	}
}

// answered notes an answer, and how long it took.
func (c *Core) answered(now unit.Millis, num unit.Num, s unit.Slot) {
	k := c.courses[num]
	if k == nil {
		return
	}
	for i, o := range k.open {
		if o.slot == s {
			if !o.nudged {
				k.took += now - o.at - k.took/8
			}
			k.open = append(k.open[:i], k.open[i+1:]...)
			return
		}
	}
}

// ask is the follower's side: what it accepted should be decided by now.
func (c *Core) ask(now unit.Millis) {
	if c.leadNode == "" || !c.held(c.commit+1) || now-c.heardAt > c.conf.Patience {
		return
	}
	if now-max(c.log[c.commit+1].since, c.nudgedAt) >= c.conf.Nudge {
		c.nudgedAt = now
		c.eff.Sends = append(c.eff.Sends, Envelope{To: c.leadNode, Spare: true,
			Msg: Msg{Kind: Level, Group: c.conf.Group, From: c.conf.Self.Num, Ballot: c.leader, Commit: c.commit, Yes: true}})
	}
}

const never = unit.Millis(1) << 60

// askAt is when a replica that hears no leader next tries to become it.
func (c *Core) askAt() unit.Millis {
	if c.draining || !c.voter() {
		return never
	}
	pause := c.conf.Impatience
	if c.role == Candidate {
		pause = c.conf.Patience // promises wait for disks: give them time
	}
	return max(c.doubtAt(), c.askedAt+pause)
}

// doubtAt is when this replica gives the leader up: the earlier in the agreed
// order, the sooner, so the first live one takes the duty.
func (c *Core) doubtAt() unit.Millis {
	rank := 0
	for _, m := range c.Seats() {
		if m.Num == c.conf.Self.Num {
			break
		}
		if m.Num != c.leader.Num() {
			rank++
		}
	}
	return c.heardAt + c.conf.Patience + unit.Millis(rank)*c.conf.Stagger
}

// Down tells that the connection to a peer broke: the leader has only a little
// patience left to be heard again.
func (c *Core) Down(now unit.Millis, node unit.Node) {
	if c.role != Leader && node == c.leadNode {
		if h := now - c.conf.Patience + c.conf.Impatience; h < c.heardAt {
			c.heardAt = h
		}
	}
}

func (c *Core) canvass(now unit.Millis) {
	c.role = Canvasser
	c.askedAt = now
	c.voices = map[unit.Num]bool{c.conf.Self.Num: true}
	for _, m := range c.peers(true, false) {
		c.send(m.Node, Msg{Kind: Canvass, Ballot: c.promised, Commit: c.commit})
	}
	if c.carried(c.voices) {
		c.campaign(now)
	}
}

func (c *Core) campaign(now unit.Millis) {
	c.role = Candidate
	c.askedAt = now
	c.voices = map[unit.Num]bool{}
	c.offered = nil
	c.last = c.commit
	c.promised = unit.MakeBallot(c.promised.Round()+1, c.conf.Self.Num)
	var ms []Envelope
	for _, m := range c.peers(true, false) {
		ms = append(ms, c.envelope(m.Node, Msg{Kind: Prepare, Ballot: c.promised, Slot: c.commit + 1}))
	}
	c.save(Record{}, wait{msgs: ms, bal: c.promised, vow: true})
}

// tail is everything this replica holds from s on.
func (c *Core) tail(s unit.Slot) []Entry {
	var out []Entry
	top := c.commit
	for n := range c.log {
		if n > top {
			top = n
		}
	}
	for ; s <= top; s++ {
		if e := c.log[s]; e != nil {
			out = append(out, Entry{Slot: s, Ballot: e.bal, Val: e.val, Decided: s <= c.commit || e.chosen})
		}
	}
	return out
}

// Take handles a message from another replica.
func (c *Core) Take(now unit.Millis, from unit.Node, m Msg) {
	c.seen[m.From] = now
	switch m.Kind {
	case Canvass:
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
		c.learn(now, from, m.Ballot, m.Commit)
		if m.Yes {
			c.send(from, Msg{Kind: Level, Ballot: m.Ballot, Commit: c.commit})
		}
	case Level:
		if c.role == Leader && m.Ballot == c.leader {
			c.levels[m.From] = max(c.levels[m.From], m.Commit)
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
		c.feed(from, m.Slot)
	case Feed:
		c.fed(now, from, m)
	case Yield:
		if m.Ballot >= c.promised && c.voter() && c.role != Leader && !c.draining {
			c.campaign(now)
		}
	}
}

func (c *Core) stepDown(now unit.Millis) {
	if c.role == Leader {
		c.open, c.openSize, c.backlog, c.backSize, c.repeats = nil, 0, nil, 0, nil
		c.taken = nil
		for _, e := range c.log {
			e.pending = false
		}
		c.leadNode = ""
	}
	if c.role != Follower {
		c.heardAt = now
	}
	c.role = Follower
	c.yielding = false
	c.voices, c.offered = nil, nil
}

func (c *Core) follow(now unit.Millis, from unit.Node, b unit.Ballot) {
	if c.role != Follower && b != c.leader || c.role == Candidate || c.role == Canvasser {
		c.stepDown(now)
	}
	if b > c.promised {
		c.promised = b // made durable with the next record; a beat alone binds nothing
	}
	c.leader, c.leadNode = b, from
	c.heardAt = now
}

func (c *Core) prepare(now unit.Millis, from unit.Node, m Msg) {
	if m.Ballot <= c.promised {
		c.send(from, Msg{Kind: Nack, Ballot: c.promised, Commit: c.commit})
		return
	}
	c.promised = m.Ballot
	c.stepDown(now)
	c.heardAt = now
	if m.Slot <= c.base {
		// the candidate lacks what this replica no longer has in its log
		c.eff.Snaps = append(c.eff.Snaps, from)
		c.save(Record{}, wait{})
		return
	}
	r := Msg{Kind: Promise, Ballot: m.Ballot, Commit: c.commit, Entries: c.tail(m.Slot)}
	c.save(Record{}, wait{msgs: []Envelope{c.envelope(from, r)}})
}

func (c *Core) promise(now unit.Millis, m Msg) {
	if c.role != Candidate || m.Ballot != c.promised {
		return
	}
	for _, e := range m.Entries {
		if e.Decided && e.Slot > c.commit {
			s := c.log[e.Slot]
			if s == nil || !s.chosen {
				c.log[e.Slot] = &slot{bal: m.Ballot, val: e.Val, chosen: true}
				c.saveEntry(e.Slot, wait{})
			}
		}
	}
	c.advance(now)
	c.offered = append(c.offered, m.Entries...)
	c.voices[m.From] = true
	if !c.carried(c.voices) {
		return
	}
	// Phase 1 is over: repeat every undecided instance under the new epoch,
	// the value of the highest epoch for each, and no-ops where there is none.
	best := map[unit.Slot]Entry{}
	top := c.commit
	for _, e := range append(c.offered, c.tail(c.commit+1)...) {
		if e.Slot <= c.commit {
			continue
		}
		if b, ok := best[e.Slot]; !ok || e.Decided && !b.Decided || !b.Decided && e.Ballot > b.Ballot {
			best[e.Slot] = e
		}
		if e.Slot > top {
			top = e.Slot
		}
	}
	c.role = Leader
	c.ledAt, c.ledClock = now, c.clock
	c.taken = map[ID]bool{}
	c.levels = map[unit.Num]unit.Slot{}
	c.courses = map[unit.Num]*course{}
	c.seated = c.commit + 1 // what others hold is not known to a new leader
	c.leader, c.leadNode = c.promised, c.conf.Self.Node
	c.next = c.commit + 1
	c.repeats = nil
	for s := c.commit + 1; s <= top; s++ {
		c.repeats = append(c.repeats, Entry{Slot: s, Val: best[s].Val})
	}
	c.open, c.openSize, c.backlog, c.backSize = nil, 0, nil, 0
	c.yielding = false
	c.voices, c.offered = nil, nil
	c.pump(now)
	c.beat(now)
}

func (c *Core) saveEntry(s unit.Slot, w wait) {
	e := c.log[s]
	c.save(Record{Entry: &Entry{Slot: s, Ballot: e.bal, Val: e.val}}, w)
}

func (c *Core) accept(now unit.Millis, from unit.Node, m Msg) {
	if m.Ballot < c.promised {
		c.send(from, Msg{Kind: Nack, Ballot: c.promised, Commit: c.commit})
		return
	}
	c.follow(now, from, m.Ballot)
	yes := c.envelope(from, Msg{Kind: Accepted, Ballot: m.Ballot, Slot: m.Slot})
	if e := c.log[m.Slot]; m.Slot <= c.commit || e != nil && e.chosen {
		c.eff.Sends = append(c.eff.Sends, yes)
	} else if e != nil && e.bal == m.Ballot {
		// a repeat of what is held already: the answer may still wait for the disk
		if !c.waiting(m.Slot) {
			c.eff.Sends = append(c.eff.Sends, yes)
		}
	} else {
		c.log[m.Slot] = &slot{bal: m.Ballot, val: m.Val, since: now}
		// one without a vote answers too: the leader learns that it got there
		c.saveEntry(m.Slot, wait{self: []unit.Slot{m.Slot}, bal: m.Ballot, msgs: []Envelope{yes}})
	}
	c.learn(now, from, m.Ballot, m.Commit)
}

func (c *Core) waiting(s unit.Slot) bool {
	for _, w := range c.waits {
		for _, n := range w.self {
			if n == s {
				return true
			}
		}
	}
	return false
}

// learn takes the leader's word that everything up to commit is decided. An
// entry of the leader's own epoch is that decision; anything else is fetched.
func (c *Core) learn(now unit.Millis, from unit.Node, b unit.Ballot, commit unit.Slot) {
	c.told = commit
	missing := unit.Slot(0)
	for s := c.commit + 1; s <= commit; s++ {
		e := c.log[s]
		if e != nil && (e.chosen || e.bal == b) {
			e.chosen = true
		} else if missing == 0 {
			missing = s
		}
	}
	c.advance(now)
	if missing != 0 && now-c.fetchAt >= c.conf.Beat/2 {
		c.fetchAt = now
		c.send(from, Msg{Kind: Fetch, Slot: missing, Commit: c.commit})
	}
}

// advance moves the decided prefix on, and hands what it passes to be applied.
func (c *Core) advance(now unit.Millis) {
	for {
		e := c.log[c.commit+1]
		if e == nil || !e.chosen {
			return
		}
		c.commit++
		v, err := decode(e.val)
		if err != nil {
			// what a majority accepted was encoded by a leader of this group
			panic(unit.Errf("decode decided value", "", "group %d slot %d: %v", c.conf.Group, c.commit, err))
		}
		c.clock = max(c.clock, v.Stamp)
		if c.role == Leader {
			for _, r := range v.Reqs {
				delete(c.taken, r.ID)
			}
		}
		if len(v.Seats) > 0 {
			c.eras = append(c.eras, Era{From: c.commit + unit.Slot(c.conf.Wnd), Seats: v.Seats})
		}
		for len(c.eras) > 1 && c.eras[1].From <= c.commit {
			c.eras = c.eras[1:]
			c.seated = c.eras[0].From
		}
		c.eff.Decided = append(c.eff.Decided, Decided{c.commit, v, e.val})
	}
}

func (c *Core) vote(now unit.Millis, s unit.Slot, n unit.Num) {
	e := c.log[s]
	if e == nil || !e.pending || e.chosen {
		return
	}
	e.acks[n] = true
	if majority(c.seatsAt(s), e.acks) {
		e.chosen, e.pending = true, false
		c.advance(now)
	}
}

// Submit puts a request into the open batch.
func (c *Core) Submit(now unit.Millis, r Request) error {
	if c.role != Leader || c.yielding {
		return ErrNotLeader
	}
	if c.taken[r.ID] {
		return nil // forwarded again while it waits: once is enough
	}
	size := len(r.Data) + len(r.ID.Origin) + 12
	if c.openSize+c.backSize+size > c.conf.OpenBytes {
		return ErrFull
	}
	if c.openSize > 0 && c.openSize+size > c.conf.Bsz {
		c.shut()
	}
	if len(c.open) == 0 {
		c.openAt = now // Δ_B runs from the first request of a batch
		// Decided time is what leaders' steady clocks measured while they led,
		// one after the other: it can lag true time, never run ahead of it, and no
		// stepped clock can make history look old.
		c.openTime = c.ledClock + now - c.ledAt
	}
	c.taken[r.ID] = true
	c.open = append(c.open, r)
	c.openSize += size
	if c.openSize >= c.conf.Bsz {
		c.shut()
	}
	c.pump(now)
	return nil
}

// Reseat asks for a new membership, effective Wnd instances after its decision.
func (c *Core) Reseat(now unit.Millis, seats []Member) error {
	if c.role != Leader || c.yielding {
		return ErrNotLeader
	}
	if len(c.eras) > 1 || c.seatNext != nil {
		return ErrFull // one change at a time
	}
	c.seatNext = seats
	c.pump(now)
	return nil
}

func (c *Core) shut() {
	if len(c.open) == 0 {
		return
	}
	b := encode(Value{Stamp: c.openTime, Reqs: c.open})
	c.backlog = append(c.backlog, b)
	c.backSize += len(b)
	c.open, c.openSize = nil, 0
}

// pump proposes closed batches while the window has room.
func (c *Core) pump(now unit.Millis) {
	if c.role != Leader {
		return
	}
	for c.next <= c.commit+unit.Slot(c.conf.Wnd) {
		var v []byte
		switch {
		case len(c.repeats) > 0:
			v = c.repeats[0].Val
			c.repeats = c.repeats[1:]
		case c.seatNext != nil:
			v = encode(Value{Seats: c.seatNext})
			c.seatNext = nil
		case len(c.backlog) > 0:
			v = c.backlog[0]
			if f := c.flight(); f > 0 && f+len(v) > c.conf.WndBytes {
				c.tell(now)
				return
			}
			c.backlog = c.backlog[1:]
			c.backSize -= len(v)
		case len(c.eras) > 1 && c.next <= c.eras[len(c.eras)-1].From:
			v = nil // no-ops carry a membership change into force
		default:
			if c.yielding && c.commit+1 == c.next && len(c.open) == 0 {
				c.handOver(now)
				return
			}
			c.tell(now)
			return
		}
		s := c.next
		c.next++
		if e := c.log[s]; e != nil && e.chosen {
			continue
		}
		c.log[s] = &slot{bal: c.leader, val: v, pending: true, acks: map[unit.Num]bool{}, sentAt: now}
		for _, m := range c.peers(true, true) {
			c.send(m.Node, Msg{Kind: Accept, Ballot: c.leader, Slot: s, Commit: c.commit, Val: v})
			k := c.courses[m.Num]
			if k == nil {
				k = &course{}
				c.courses[m.Num] = k
			}
			if len(k.open) < 8*c.conf.Wnd {
				k.open = append(k.open, sent{slot: s, at: now})
			}
		}
		c.toldAt, c.beatAt = c.commit, now
		c.saveEntry(s, wait{self: []unit.Slot{s}, bal: c.leader})
	}
	c.tell(now)
}

// flight is the bytes of this leader's undecided instances.
func (c *Core) flight() int {
	n := 0
	for s := c.commit + 1; s < c.next; s++ {
		if e := c.log[s]; e != nil && e.pending {
			n += len(e.val)
		}
	}
	return n
}

// tell lets the others know of new decisions when no proposal carried them.
func (c *Core) tell(now unit.Millis) {
	if c.toldAt < c.commit {
		c.beat(now)
	}
}

func (c *Core) beat(now unit.Millis) {
	c.beatAt, c.toldAt = now, c.commit
	for _, m := range c.peers(true, true) {
		c.send(m.Node, Msg{Kind: Beat, Ballot: c.leader, Commit: c.commit, Yes: !c.Settled()})
	}
}

// Yield makes a draining leader finish its window and hand the duty over. It
// takes no new requests from now on.
func (c *Core) Yield(now unit.Millis) {
	c.draining = true
	if c.role != Leader || c.yielding {
		return
	}
	c.shut()
	c.yielding = true
	c.pump(now)
}

func (c *Core) handOver(now unit.Millis) {
	var heir unit.Node
	best := unit.Millis(-1)
	for _, m := range c.Seats() {
		if m.Num == c.conf.Self.Num {
			continue
		}
		at, ok := c.seen[m.Num]
		if ok && now-at < 4*c.conf.Patience {
			heir = m.Node
			break
		}
		if ok && at > best {
			heir, best = m.Node, at
		}
	}
	c.beat(now)
	if heir == "" {
		c.yielding, c.draining = false, false // nobody is there: go on
		return
	}
	b := c.leader
	c.stepDown(now)
	c.send(heir, Msg{Kind: Yield, Ballot: b, Commit: c.commit})
}

func (c *Core) feed(to unit.Node, from unit.Slot) {
	if from <= c.base {
		c.eff.Snaps = append(c.eff.Snaps, to)
		return
	}
	m := Msg{Kind: Feed, Ballot: c.promised, Commit: c.commit}
	size := 0
	for s := from; s <= c.commit && size < c.conf.FeedBytes; s++ {
		e := c.log[s]
		m.Entries = append(m.Entries, Entry{Slot: s, Ballot: c.promised, Val: e.val, Decided: true})
		size += len(e.val) + 16
	}
	if len(m.Entries) > 0 {
		c.send(to, m)
	}
}

func (c *Core) fed(now unit.Millis, from unit.Node, m Msg) {
	for _, e := range m.Entries {
		if e.Slot <= c.commit {
			continue
		}
		if s := c.log[e.Slot]; s != nil && s.chosen {
			continue
		}
		// decided, so no epoch at or above the feeder's can propose otherwise
		c.log[e.Slot] = &slot{bal: max(m.Ballot, c.entryBal(e.Slot)), val: e.Val, chosen: true}
		c.saveEntry(e.Slot, wait{})
	}
	c.advance(now)
	if c.commit < m.Commit && len(m.Entries) > 0 {
		c.fetchAt = now
		c.send(from, Msg{Kind: Fetch, Slot: c.commit + 1, Commit: c.commit})
	}
}

func (c *Core) entryBal(s unit.Slot) unit.Ballot {
	if e := c.log[s]; e != nil {
		return e.bal
	}
	return 0
}

// Install replaces the state up to slot with a snapshot's; false if it is old.
func (c *Core) Install(now unit.Millis, at unit.Slot, eras []Era, clock unit.Millis) bool {
	if at <= c.commit {
		return false
	}
	c.commit, c.base = at, at
	c.clock = max(c.clock, clock)
	c.eras = append([]Era(nil), eras...)
	for s := range c.log {
		if s <= at {
			delete(c.log, s)
		}
	}
	if c.role != Leader {
		c.stepDown(now)
	}
	c.advance(now)
	return true
}

// Trim forgets decided instances up to s: a snapshot covers them.
func (c *Core) Trim(s unit.Slot) {
	if s > c.commit {
		s = c.commit
	}
	for n := c.base + 1; n <= s; n++ {
		delete(c.log, n)
	}
	if s > c.base {
		c.base = s
	}
}

// Pending is how many instances are undecided at this leader, and the closed
// and open bytes that wait.
func (c *Core) Pending() (instances, bytes int) {
	if c.role != Leader {
		return 0, 0
	}
	return int(c.next - 1 - c.commit), c.openSize + c.backSize
}

// SetSelf gives this replica the number its (new) disk votes under.
func (c *Core) SetSelf(n unit.Num) { c.conf.Self.Num = n }

// Fresh tells whether this replica has all that its leader said is decided, and
// heard that lately.
func (c *Core) Fresh(now unit.Millis) bool {
	if c.role == Leader {
		return true
	}
	return c.leadNode != "" && now-c.heardAt < c.conf.Patience+2*c.conf.Beat && c.commit >= c.told
}

// Settled tells a leader that one membership is in force and each of its
// members holds everything that was decided before it was.
func (c *Core) Settled() bool {
	if c.role != Leader || len(c.eras) != 1 || c.seatNext != nil || c.commit < c.seated-1 {
		return false
	}
	for _, m := range c.eras[0].Seats {
		if m.Num != c.conf.Self.Num && c.levels[m.Num] < c.seated-1 {
			return false
		}
	}
	return true
}

// Mark puts the decided prefix on record, for a process that ends in order.
func (c *Core) Mark() {
	if len(c.waits) == 0 {
		c.firm = c.commit
	}
	c.save(Record{}, wait{})
}
