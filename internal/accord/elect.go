package accord

import (
	"oxbowdeck/internal/unit"
)

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

// memberships are those that undecided values held here, or offered by others,
// would bring into force. A lower epoch may have decided one of them and gone on
// under it, so a candidate needs a majority of each as well.
func (c *Core) memberships() (out [][]Member) {
	for _, e := range append(append([]Entry(nil), c.offered...), c.tail(c.commit+1)...) {
		if e.Slot <= c.commit {
			continue
		}
		if v, err := decode(e.Val); err == nil && len(v.Seats) > 0 {
			out = append(out, v.Seats)
		}
	}
	return out
}

// stranger tells whether a replica that asks to lead has no part in any
// membership known here, and knows less than this replica does: it was replaced.
func (c *Core) stranger(n unit.Num, commit unit.Slot) bool {
	if commit >= c.commit {
		return false
	}
	for _, e := range c.eras {
		if has(e.Seats, n) {
			return false
		}
	}
	return true
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
	if c.role == Leader {
		c.beatAt = now - c.conf.Beat // be heard again at once: a reset is no death
		return
	}
	if node == c.leadNode {
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
	to := c.peers(true, false)
	for _, seats := range c.memberships() {
		for _, m := range seats {
			if m.Node != c.conf.Self.Node && !Holds(to, m.Node) {
				to = append(to, m)
			}
		}
	}
	for _, m := range to {
		ms = append(ms, c.envelope(m.Node, Msg{Kind: Prepare, Ballot: c.promised, Slot: c.commit + 1}))
	}
	c.save(Record{}, wait{msgs: ms, bal: c.promised, vow: true})
}

func (c *Core) stepDown(now unit.Millis) {
	if c.role == Leader {
		c.lanes, c.behind, c.repeats = [2]lane{}, nil, nil
		c.taken = nil
		for _, e := range c.log {
			e.pending = false
		}
		c.leadNode = ""
		c.seatWant = nil
	}
	if c.role != Follower {
		c.heardAt = now
	}
	c.role = Follower
	c.yielding, c.heir = false, ""
	c.voices, c.offered = nil, nil
}

func (c *Core) prepare(now unit.Millis, from unit.Node, m Msg) {
	if c.stranger(m.From, m.Slot-1) {
		return
	}
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
	if !c.voter() {
		c.stepDown(now) // replaced meanwhile: it leads no more
		return
	}
	if !c.carried(c.voices) {
		return
	}
	for _, seats := range c.memberships() {
		if majority(seats, c.voices) {
			continue
		}
		for _, x := range seats {
			if !c.voices[x.Num] && x.Node != c.conf.Self.Node {
				c.send(x.Node, Msg{Kind: Prepare, Ballot: c.promised, Slot: c.commit + 1})
			}
		}
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
	c.oneSeating(best)
	c.role = Leader
	c.ledAt, c.ledClock = now, c.clock
	c.taken = map[ID]bool{}
	c.lag = 0
	c.levels = map[unit.Num]unit.Slot{}
	c.sounded = map[unit.Num]unit.Millis{}
	c.courses = map[unit.Num]*course{}
	c.seated = c.commit + 1 // what others hold is not known to a new leader
	c.seatWant = nil
	c.contact.lead(top)
	c.leader, c.leadNode = c.promised, c.conf.Self.Node
	c.next = c.commit + 1
	c.repeats = nil
	c.seatNext, c.seating = nil, 0 // what an earlier duty was asked for is void
	for s := c.commit + 1; s <= top; s++ {
		c.repeats = append(c.repeats, Entry{Slot: s, Val: best[s].Val})
		if v, err := decode(best[s].Val); err == nil && len(v.Seats) > 0 {
			c.seating = s
		}
	}
	c.lanes, c.behind = [2]lane{}, map[string]int{}
	c.yielding = false
	c.voices, c.offered = nil, nil
	c.pump(now)
	c.beat(now)
}

// oneSeating leaves one membership in each window of what is to be repeated: the
// one of the highest epoch. A leader proposes a membership only when Phase 1 showed
// it none undecided and the one before is in force, a window later. So when two are
// closer, who proposed the newer one had a majority's promises and did not see the
// other, which therefore was not chosen and never can be: a no-op takes its place.
// Both together could leave what is decided between them with members of neither.
func (c *Core) oneSeating(best map[unit.Slot]Entry) {
	seatings := map[unit.Slot]Entry{}
	for s, e := range best {
		if v, err := decode(e.Val); err == nil && len(v.Seats) > 0 {
			seatings[s] = e
		}
	}
	for s, e := range seatings {
		for o, x := range seatings {
			near := max(s, o)-min(s, o) <= unit.Slot(c.conf.Wnd)
			if s != o && near && !e.Decided && (x.Decided || x.Ballot > e.Ballot) {
				best[s] = Entry{Slot: s}
			}
		}
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

// Cede hands the duty to the first replica in the agreed order, if another
// leads: it is asked how far it is, and takes over once it is level. A replica
// that answers much later than the others is left alone.
func (c *Core) Cede(now unit.Millis) {
	first := c.Seats()[0]
	if c.role != Leader || c.yielding || c.draining || first.Num == c.conf.Self.Num || now-c.ledAt < 10*c.conf.Patience {
		return
	}
	least := never
	for _, m := range c.Seats() {
		if k := c.courses[m.Num]; k != nil {
			least = min(least, k.took)
		}
	}
	if k := c.courses[first.Num]; k == nil || len(k.open) > c.conf.Wnd || k.took > 3*least+40 {
		return
	}
	c.heir, c.cededAt = first.Node, now
	c.send(first.Node, Msg{Kind: Beat, Ballot: c.leader, Commit: c.commit, Yes: true})
}

// relent gives the duty to the member that answers soonest, when this leader is
// itself what is slow: its batches take long though a majority is there, or its
// disk has not synced for long. Not before it has led for a while, so that a
// group that is pressed as a whole does not change leaders all the time.
func (c *Core) relent(now unit.Millis) {
	if c.conf.Slow == 0 || c.yielding || c.draining || now-c.ledAt < 10*c.conf.Patience {
		return
	}
	hung := len(c.waits) > 0 && now-c.waits[0].at > 3*c.conf.Slow
	if e := c.log[c.commit+1]; e != nil && e.pending && now-e.began > 2*c.conf.Slow && c.Fresh(now) {
		hung = true // a majority was heard meanwhile
	}
	if c.lag/8 < c.conf.Slow && !hung {
		return
	}
	least := never
	for _, m := range c.Seats() {
		k := c.courses[m.Num]
		if m.Num != c.conf.Self.Num && k != nil && c.Heard(now, m.Num, 2*c.conf.Patience) && k.took < least && len(k.open) <= 2*c.conf.Wnd {
			least, c.heir = k.took, m.Node
		}
	}
	if c.heir == "" {
		return
	}
	c.lag = 0
	c.shut()
	c.yielding = true
	c.pump(now)
}

func (c *Core) handOver(now unit.Millis) {
	heir := c.heir
	best := unit.Millis(-1)
	for _, m := range c.Seats() {
		if heir != "" {
			break
		}
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
	c.heardAt = now
	c.send(heir, Msg{Kind: Yield, Ballot: b, Commit: c.commit})
}
