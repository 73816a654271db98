package paxos

import (
	"oxbowdeck/internal/ids"
)

// leaderState is of one that leads.
type leaderState struct {
	since           ids.Millis // it leads since, by its own steady clock
	timeOf          ids.Ballot // of the leader whose time it goes on with; 0: none
	nextSlot        ids.Slot   // the next free instance
	queues          [2]requestQueue
	urgentWaiting   map[string]int // urgent requests of an origin that wait in the common queue
	repropose       []Entry        // instances to propose again, in order
	submitted       map[ID]bool    // requests submitted here and not decided yet
	heartbeatAt     ids.Millis
	announcedCommit ids.Slot   // commit last told to the others
	usualLatency    ids.Millis // a batch's usual time from its opening to its decision, in eighths

	unanswered map[ids.ReplicaID]*unansweredAccepts
	caughtUpTo map[ids.ReplicaID]ids.Slot   // what each member said it holds
	probedAt   map[ids.ReplicaID]ids.Millis // when each was last asked how far it is

	membershipSlot ids.Slot // the last instance that holds a membership
	nextMembers    []Member // a membership to be proposed next
	wantedMembers  []Member // a membership asked for, until enough of it hold wantedGoal
	wantedGoal     ids.Slot // what was decided when it was first asked for

	successor     ids.Node // who is to lead next
	transferredAt ids.Millis
	transferring  bool // the window is being finished before a hand-over
}

// caughtUp takes a replica's word on how far it is: one that is to lead next and is
// level takes over; one that asks is told what is decided.
func (c *Core) caughtUp(now ids.Millis, from ids.Node, m Msg) {
	if c.role != Leader || m.Ballot != c.leader {
		return
	}
	c.leading.caughtUpTo[m.From] = max(c.leading.caughtUpTo[m.From], m.Durable)
	c.echoed(from, m)
	recent := now-c.leading.transferredAt < c.conf.HeartbeatInterval
	if from == c.leading.successor && !c.leading.transferring && recent && m.Commit+2 >= c.commit {
		c.closeBatches(now)
		c.leading.transferring = true
		c.propose(now)
		return
	}
	if m.Yes && m.Commit < c.commit {
		e := c.envelope(from, c.asLeader(now, Msg{Kind: Heartbeat}))
		e.SecondPath = true
		c.eff.Sends = append(c.eff.Sends, e)
	}
}

// Submit puts a request into an open batch. An urgent one does not wait behind
// batches that the window holds up: it gathers in a request queue of its own, unless an
// earlier one of its origin is still in the common request queue, so no request passes
// another of its origin.
func (c *Core) Submit(now ids.Millis, r Request, urgent bool) error {
	c.resign(now)
	if c.role != Leader || c.leading.transferring {
		return ErrNotLeader
	}
	if c.leading.submitted[r.ID] {
		return nil // forwarded again while it waits: once is enough
	}
	size := len(r.Data) + len(r.ID.Origin) + 12
	if _, waits := c.Pending(); waits+size > c.conf.OpenBytes {
		return ErrFull
	}
	q := &c.leading.queues[commonQueue]
	if urgent && c.leading.urgentWaiting[r.ID.Origin] == 0 && (len(q.closed) > 0 || c.leading.queues[urgentQueue].busy()) {
		q = &c.leading.queues[urgentQueue]
	}
	if q.size > 0 && q.size+size > c.conf.BatchBytes {
		q.shut(now)
	}
	if len(q.open) == 0 {
		q.openAt = now // Δ_B runs from the first request of a batch
		q.time = c.Time(now)
	}
	c.leading.submitted[r.ID] = true
	q.open = append(q.open, r)
	q.size += size
	if urgent && q == &c.leading.queues[commonQueue] {
		c.leading.urgentWaiting[r.ID.Origin]++
		q.urgent = append(q.urgent, r.ID.Origin)
	}
	if q.size >= c.conf.BatchBytes {
		q.shut(now)
	}
	c.propose(now)
	return nil
}

// Leads tells whether requests are taken here.
func (c *Core) Leads() bool { return c.role == Leader && !c.leading.transferring }

// Submitted tells whether a request waits here for its decision.
func (c *Core) Submitted(id ID) bool { return c.role == Leader && c.leading.submitted[id] }

// ChangeMembership asks for a new membership, effective Wnd instances after its decision.
// It is proposed once a majority of it, and whoever is new in it, is known to
// have all on disk that was decided when it was first asked for (ErrBehind until
// then: ask again). What is decided afterwards is accepted by a majority of the
// membership still in force. So no change leaves what was decided on fewer disks
// than a majority of the new members.
func (c *Core) ChangeMembership(now ids.Millis, members []Member) error {
	c.resign(now)
	if c.role != Leader || c.leading.transferring {
		return ErrNotLeader
	}
	if len(c.memberships) > 1 || c.leading.nextMembers != nil || c.leading.membershipSlot > c.commit {
		return ErrFull // one change at a time
	}
	asked := SameMembers(c.leading.wantedMembers, members)
	if !asked {
		c.leading.wantedMembers, c.leading.wantedGoal = append([]Member(nil), members...), c.commit
	}
	if !c.holding(members, c.leading.wantedGoal) {
		if !asked { // each is asked at once how far it is
			clear(c.leading.probedAt)
			c.heartbeat(now)
		}
		return ErrBehind
	}
	c.leading.nextMembers, c.leading.wantedMembers = members, nil
	c.propose(now)
	return nil
}

// holding tells whether as many of some members as an instance needs, and each of
// them that has no vote yet, said that it has everything up to one on its disk.
func (c *Core) holding(members []Member, goal ids.Slot) bool {
	copies := 0
	for _, m := range members {
		at := c.leading.caughtUpTo[m.ID]
		if m.ID == c.conf.Self.ID {
			at = c.kept()
		}
		if at >= goal {
			copies++
		} else if !has(c.Voters(), m.ID) {
			return false
		}
	}
	return copies >= c.copiesNeeded(members)
}

// propose proposes what is next while the window has room.
func (c *Core) propose(now ids.Millis) {
	if c.role != Leader {
		return
	}
	for c.leading.nextSlot <= c.commit+ids.Slot(c.conf.Window) {
		val, timing, ok := c.nextValue(now)
		if !ok {
			if c.finished() {
				c.handOver(now)
				return
			}
			break
		}
		s := c.leading.nextSlot
		c.leading.nextSlot++
		if e := c.log[s]; e == nil || !e.chosen {
			c.proposeAt(now, s, val, timing)
		}
	}
	c.announceCommit(now)
}

// nextValue takes the value of the next instance off what waits, and when its batch
// was opened and closed: what an earlier leader left, a membership, a closed batch that the
// window in bytes has room for, or a no-op that carries a membership into force.
func (c *Core) nextValue(now ids.Millis) (val []byte, timing Timing, ok bool) {
	unbatched := Timing{Opened: now, Closed: now}
	d := &c.leading
	switch q := c.readyQueue(); {
	case len(d.repropose) > 0:
		val = d.repropose[0].Val
		d.repropose = d.repropose[1:]
		return val, unbatched, true
	case d.nextMembers != nil:
		val = encode(Value{Members: d.nextMembers})
		d.nextMembers, d.membershipSlot = nil, d.nextSlot
		return val, unbatched, true
	case q != nil:
		val = q.closed[0].val
		if f := c.flight(); f > 0 && f+len(val) > c.conf.WindowBytes {
			return nil, unbatched, false
		}
		return val, c.takeBatch(q), true
	}
	pending := len(c.memberships) > 1 && d.nextSlot <= c.memberships[len(c.memberships)-1].From
	return nil, unbatched, pending
}

// finished tells a leader that hands over that nothing is left to decide.
func (c *Core) finished() bool {
	d := &c.leading
	return d.transferring && c.commit+1 == d.nextSlot && !d.queues[commonQueue].busy() && !d.queues[urgentQueue].busy()
}

// proposeAt sends a value to all replicas as the proposal for an instance.
func (c *Core) proposeAt(now ids.Millis, s ids.Slot, val []byte, timing Timing) {
	timing.Proposed = now
	c.log[s] = &slot{
		bal:     c.leader,
		val:     val,
		pending: true,
		sentAt:  now,
		timing:  timing,
		acks:    map[ids.ReplicaID]bool{},
		holders: map[ids.Node]bool{},
	}
	for _, m := range c.peers(true, true) {
		c.send(m.Node, c.asLeader(now, Msg{Kind: Accept, Slot: s, Val: val}))
		k := c.leading.unanswered[m.ID]
		if k == nil {
			k = &unansweredAccepts{}
			c.leading.unanswered[m.ID] = k
		}
		if len(k.accepts) < maxUnanswered*c.conf.Window {
			k.accepts = append(k.accepts, sent{slot: s, at: now})
		}
	}
	c.leading.announcedCommit, c.leading.heartbeatAt = c.commit, now
	c.saveEntry(s, wait{self: []ids.Slot{s}, bal: c.leader})
}

// flight is the bytes of this leader's undecided instances.
func (c *Core) flight() int {
	n := 0
	for s := c.commit + 1; s < c.leading.nextSlot; s++ {
		if e := c.log[s]; e != nil && e.pending {
			n += len(e.val)
		}
	}
	return n
}

// announceCommit lets the others know of new decisions when no proposal carried them.
func (c *Core) announceCommit(now ids.Millis) {
	if c.leading.announcedCommit < c.commit {
		c.heartbeat(now)
	}
}

func (c *Core) heartbeat(now ids.Millis) {
	c.leading.heartbeatAt, c.leading.announcedCommit = now, c.commit
	every := defaultProbeEvery
	if c.conf.ProbeEvery > 0 {
		every = c.conf.ProbeEvery
	}
	for _, m := range c.peers(true, true) {
		b := c.asLeader(now, Msg{Kind: Heartbeat})
		at, probed := c.leading.probedAt[m.ID]
		due := now-at >= ids.Millis(every)*c.conf.HeartbeatInterval
		if !probed || due || !c.MembershipRecorded() {
			c.leading.probedAt[m.ID] = now
			b.Yes = true
			c.assure(now, m.Node, &b)
		}
		c.send(m.Node, b)
	}
}

// defaultProbeEvery so many heartbeats a leader asks each replica how far it is, so that it
// knows who is there and who is level, unless Conf.Sound says otherwise.
const defaultProbeEvery = 4

// SilentFor is how long this leader has not heard a replica, counted from the
// beginning of its leadership at the most.
func (c *Core) SilentFor(now ids.Millis, n ids.ReplicaID) ids.Millis {
	if c.role != Leader || n == c.conf.Self.ID {
		return 0
	}
	return now - max(c.seen[n], c.leading.since)
}

// HeardWithin tells whether a replica answered this leader within a while.
func (c *Core) HeardWithin(now ids.Millis, n ids.ReplicaID, within ids.Millis) bool {
	at, ok := c.seen[n]
	return ok && now-at <= within
}

// CaughtUp tells whether a replica holds nearly all that is decided: so much that
// the log in memory brings it the rest.
func (c *Core) CaughtUp(n ids.ReplicaID) bool {
	at, told := c.leading.caughtUpTo[n]
	return c.role == Leader && told && at+ids.Slot(64*c.conf.Window) >= c.commit
}

// Progress is how far a replica is, as its leader knows.
type Progress struct {
	Member
	Voter bool
	Firm  ids.Slot   // it has all up to here on its disk
	Heard ids.Millis // so long ago
}

// Progress tells of each replica but this one.
func (c *Core) Progress(now ids.Millis) (out []Progress) {
	for _, m := range c.peers(true, true) {
		out = append(out, Progress{
			Member: m,
			Voter:  has(c.Voters(), m.ID),
			Firm:   c.leading.caughtUpTo[m.ID],
			Heard:  c.SilentFor(now, m.ID),
		})
	}
	return out
}

// Pending is how many instances are undecided at this leader, and the closed
// and open bytes that wait.
func (c *Core) Pending() (instances, bytes int) {
	if c.role != Leader {
		return 0, 0
	}
	for i := range c.leading.queues {
		bytes += c.leading.queues[i].size + c.leading.queues[i].bytes
	}
	return int(c.leading.nextSlot - 1 - c.commit), bytes
}

// MembershipRecorded tells a leader that one membership is in force and each of its
// members holds everything that was decided before it was.
func (c *Core) MembershipRecorded() bool {
	if c.role != Leader || len(c.memberships) != 1 || c.leading.nextMembers != nil || c.commit < c.membershipSince-1 {
		return false
	}
	for _, m := range c.memberships[0].Members {
		if m.ID != c.conf.Self.ID && c.leading.caughtUpTo[m.ID] < c.membershipSince-1 {
			return false
		}
	}
	return true
}
