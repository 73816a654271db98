package accord

import (
	"oxbowdeck/internal/unit"
)

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

func (c *Core) vote(now unit.Millis, s unit.Slot, n unit.Num) {
	e := c.log[s]
	if e == nil || !e.pending || e.chosen {
		return
	}
	e.acks[n] = true
	if majority(c.seatsAt(s), e.acks) {
		e.chosen, e.pending = true, false
		c.lag += now - e.began - c.lag/8
		c.advance(now)
	}
}

// Submit puts a request into an open batch. An urgent one does not wait behind
// batches that the window holds up: it gathers in a lane of its own, unless an
// earlier one of its origin is still in the common lane, so no request passes
// another of its origin.
func (c *Core) Submit(now unit.Millis, r Request, urgent bool) error {
	c.resign(now)
	if c.role != Leader || c.yielding {
		return ErrNotLeader
	}
	if c.taken[r.ID] {
		return nil // forwarded again while it waits: once is enough
	}
	size := len(r.Data) + len(r.ID.Origin) + 12
	if _, waits := c.Pending(); waits+size > c.conf.OpenBytes {
		return ErrFull
	}
	q := &c.lanes[0]
	if urgent && c.behind[r.ID.Origin] == 0 && (len(q.closed) > 0 || c.lanes[1].busy()) {
		q = &c.lanes[1]
	}
	if q.size > 0 && q.size+size > c.conf.Bsz {
		q.shut()
	}
	if len(q.open) == 0 {
		q.openAt = now // Δ_B runs from the first request of a batch
		// Decided time is what leaders' steady clocks measured while they led,
		// one after the other: it can lag true time, never run ahead of it, and no
		// stepped clock can make history look old.
		q.time = c.ledClock + now - c.ledAt
	}
	c.taken[r.ID] = true
	q.open = append(q.open, r)
	q.size += size
	if urgent && q == &c.lanes[0] {
		c.behind[r.ID.Origin]++
		q.urgent = append(q.urgent, r.ID.Origin)
	}
	if q.size >= c.conf.Bsz {
		q.shut()
	}
	c.pump(now)
	return nil
}

// Reseat asks for a new membership, effective Wnd instances after its decision.
// It is proposed once a majority of it, and whoever is new in it, is known to
// have all on disk that was decided when it was first asked for (ErrBehind until
// then: ask again). What is decided afterwards is accepted by a majority of the
// membership still in force. So no change leaves what was decided on fewer disks
// than a majority of the new members.
func (c *Core) Reseat(now unit.Millis, seats []Member) error {
	c.resign(now)
	if c.role != Leader || c.yielding {
		return ErrNotLeader
	}
	if len(c.eras) > 1 || c.seatNext != nil || c.seating > c.commit {
		return ErrFull // one change at a time
	}
	asked := Same(c.seatWant, seats)
	if !asked {
		c.seatWant, c.seatGoal = append([]Member(nil), seats...), c.commit
	}
	if !c.holding(seats, c.seatGoal) {
		if !asked { // each is asked at once how far it is
			clear(c.sounded)
			c.beat(now)
		}
		return ErrBehind
	}
	c.seatNext, c.seatWant = seats, nil
	c.pump(now)
	return nil
}

// holding tells whether a majority of some members, and each of them that has no
// vote yet, said that it has everything up to an instance on its disk.
func (c *Core) holding(seats []Member, goal unit.Slot) bool {
	hold := map[unit.Num]bool{}
	for _, m := range seats {
		at := c.levels[m.Num]
		if m.Num == c.conf.Self.Num {
			at = c.kept()
		}
		if hold[m.Num] = at >= goal; !hold[m.Num] && !has(c.Seats(), m.Num) {
			return false
		}
	}
	return majority(seats, hold)
}

// shut closes every open batch: the leader hands over.
func (c *Core) shut() {
	for i := range c.lanes {
		c.lanes[i].shut()
	}
}

// ready gives the lane whose first closed batch is next.
func (c *Core) ready() *lane {
	for _, q := range []*lane{&c.lanes[1], &c.lanes[0]} {
		if len(q.closed) > 0 {
			return q
		}
	}
	return nil
}

// pump proposes closed batches while the window has room.
func (c *Core) pump(now unit.Millis) {
	if c.role != Leader {
		return
	}
	for c.next <= c.commit+unit.Slot(c.conf.Wnd) {
		var v []byte
		began := now
		switch {
		case len(c.repeats) > 0:
			v = c.repeats[0].Val
			c.repeats = c.repeats[1:]
		case c.seatNext != nil:
			v = encode(Value{Seats: c.seatNext})
			c.seatNext, c.seating = nil, c.next
		case c.ready() != nil:
			q := c.ready()
			v = q.closed[0].val
			if f := c.flight(); f > 0 && f+len(v) > c.conf.WndBytes {
				c.tell(now)
				return
			}
			for _, o := range q.closed[0].urgent {
				if c.behind[o]--; c.behind[o] == 0 {
					delete(c.behind, o)
				}
			}
			began = q.closed[0].openAt
			q.closed = q.closed[1:]
			q.bytes -= len(v)
		case len(c.eras) > 1 && c.next <= c.eras[len(c.eras)-1].From:
			v = nil // no-ops carry a membership change into force
		default:
			if c.yielding && c.commit+1 == c.next && !c.lanes[0].busy() && !c.lanes[1].busy() {
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
		c.log[s] = &slot{bal: c.leader, val: v, pending: true, acks: map[unit.Num]bool{}, sentAt: now, began: began}
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

// Time is the decided time a batch opened now would carry; only a leader knows.
func (c *Core) Time(now unit.Millis) unit.Millis { return c.ledClock + now - c.ledAt }

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
	every := soundEvery
	if c.conf.Sound > 0 {
		every = c.conf.Sound
	}
	for _, m := range c.peers(true, true) {
		b := Msg{Kind: Beat, Ballot: c.leader, Commit: c.commit}
		if at, ok := c.sounded[m.Num]; !ok || now-at >= unit.Millis(every)*c.conf.Beat || !c.Settled() {
			c.sounded[m.Num] = now
			b.Yes = true
			c.assure(now, m.Node, &b)
		}
		c.send(m.Node, b)
	}
}

// soundEvery so many beats a leader asks each replica how far it is, so that it
// knows who is there and who is level, unless Conf.Sound says otherwise.
const soundEvery = 4

// Silent is how long this leader has not heard a replica, counted from the
// beginning of its duty at the most.
func (c *Core) Silent(now unit.Millis, n unit.Num) unit.Millis {
	if c.role != Leader || n == c.conf.Self.Num {
		return 0
	}
	return now - max(c.seen[n], c.ledAt)
}

// Heard tells whether a replica answered this leader within a while.
func (c *Core) Heard(now unit.Millis, n unit.Num, within unit.Millis) bool {
	at, ok := c.seen[n]
	return ok && now-at <= within
}

// Level tells whether a replica holds nearly all that is decided: so much that
// the log in memory brings it the rest.
func (c *Core) Level(n unit.Num) bool {
	at, told := c.levels[n]
	return c.role == Leader && told && at+unit.Slot(64*c.conf.Wnd) >= c.commit
}

// Progress is how far a replica is, as its leader knows.
type Progress struct {
	Member
	Voter bool
	Firm  unit.Slot   // it has all up to here on its disk
	Heard unit.Millis // so long ago
}

// Progress tells of each replica but this one.
func (c *Core) Progress(now unit.Millis) (out []Progress) {
	for _, m := range c.peers(true, true) {
		out = append(out, Progress{Member: m, Voter: has(c.Seats(), m.Num), Firm: c.levels[m.Num], Heard: c.Silent(now, m.Num)})
	}
	return out
}

// Pending is how many instances are undecided at this leader, and the closed
// and open bytes that wait.
func (c *Core) Pending() (instances, bytes int) {
	if c.role != Leader {
		return 0, 0
	}
	for i := range c.lanes {
		bytes += c.lanes[i].size + c.lanes[i].bytes
	}
	return int(c.next - 1 - c.commit), bytes
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
