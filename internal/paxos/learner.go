package paxos

import (
	"bytes"

	"oxbowdeck/internal/errs"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/invariant"
)

// followerState is of one that follows a leader.
type followerState struct {
	heardAt         ids.Millis // the leader was last heard
	fetchAt         ids.Millis // what is missing was last asked for
	retransmittedAt ids.Millis // it last asked on the second path
	leaderCommit    ids.Slot   // decided, by the leader's last word
}

// undecided tells whether this replica accepted an instance and does not know it decided.
func (c *Core) undecided(s ids.Slot) bool { e := c.log[s]; return e != nil && !e.chosen }

// askIfDecided is the follower's side: what it accepted should be decided by now.
func (c *Core) askIfDecided(now ids.Millis) {
	if c.leaderNode == "" || !c.undecided(c.commit+1) || now-c.following.heardAt > c.conf.ElectionTimeout {
		return
	}
	if now-max(c.log[c.commit+1].since, c.following.retransmittedAt) >= c.conf.RetransmitTimeout {
		c.following.retransmittedAt = now
		c.eff.Sends = append(c.eff.Sends, Envelope{To: c.leaderNode, SecondPath: true,
			Msg: Msg{Kind: CaughtUp, Group: c.conf.Group, From: c.conf.Self.ID, Ballot: c.leader, Commit: c.commit, Yes: true}})
	}
}

// entriesFrom is everything this replica holds from s on.
func (c *Core) entriesFrom(s ids.Slot) []Entry {
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

// follow takes a replica for the leader of a ballot.
func (c *Core) follow(now ids.Millis, from ids.Node, b ids.Ballot) {
	if c.role != Follower && b != c.leader || c.role == Candidate || c.role == PreCandidate {
		c.stepDown(now)
	}
	if b > c.promised {
		c.promised = b // made durable with the next record; a heartbeat alone binds nothing
	}
	c.leader, c.leaderNode = b, from
	c.following.heardAt = now
}

func (c *Core) saveEntry(s ids.Slot, w wait) {
	e := c.log[s]
	c.save(Record{Entry: &Entry{Slot: s, Ballot: e.bal, Val: e.val}}, w)
}

// heartbeatOf takes a leader's word that it lives, and how much is decided.
func (c *Core) heartbeatOf(now ids.Millis, from ids.Node, m Msg) {
	if m.Ballot < c.promised {
		c.send(from, Msg{Kind: Nack, Ballot: c.promised, Commit: c.commit})
		return
	}
	c.follow(now, from, m.Ballot)
	c.hearTime(now, m)
	c.assured(now, m)
	c.learn(now, from, m.Ballot, m.Commit)
	if m.Yes {
		c.answerProbe(now, from, m)
	}
}

// accept takes a leader's proposal.
func (c *Core) accept(now ids.Millis, from ids.Node, m Msg) {
	if m.Ballot < c.promised {
		c.send(from, Msg{Kind: Nack, Ballot: c.promised, Commit: c.commit})
		return
	}
	c.follow(now, from, m.Ballot)
	c.hearTime(now, m)
	yes := c.envelope(from, Msg{Kind: Accepted, Ballot: m.Ballot, Slot: m.Slot})
	if e := c.log[m.Slot]; m.Slot <= c.commit || e != nil && e.chosen {
		c.checkDecidedOnce(m.Slot, m.Val)
		c.eff.Sends = append(c.eff.Sends, yes)
	} else if e != nil && e.bal == m.Ballot {
		// a repeat of what is held already: the answer may still wait for the disk
		if !c.waiting(m.Slot) {
			c.eff.Sends = append(c.eff.Sends, yes)
		}
	} else {
		c.log[m.Slot] = &slot{bal: m.Ballot, val: m.Val, since: now}
		// one without a vote answers too: the leader learns that it got there
		c.saveEntry(m.Slot, wait{self: []ids.Slot{m.Slot}, bal: m.Ballot, msgs: []Envelope{yes}})
	}
	c.learn(now, from, m.Ballot, m.Commit)
}

func (c *Core) waiting(s ids.Slot) bool {
	for _, w := range c.disk.waits {
		for _, n := range w.self {
			if n == s {
				return true
			}
		}
	}
	return false
}

// learn takes the leader's word that everything up to commit is decided. An
// entry of the leader's own ballot is that decision; anything else is fetched.
func (c *Core) learn(now ids.Millis, from ids.Node, b ids.Ballot, commit ids.Slot) {
	c.following.leaderCommit = commit
	missing := ids.Slot(0)
	for s := c.commit + 1; s <= commit; s++ {
		e := c.log[s]
		if e != nil && (e.chosen || e.bal == b) {
			e.chosen = true
		} else if missing == 0 {
			missing = s
		}
	}
	c.advance(now)
	if missing != 0 && now-c.following.fetchAt >= c.conf.HeartbeatInterval/2 {
		c.following.fetchAt = now
		c.send(from, Msg{Kind: Fetch, Slot: missing, Commit: c.commit})
	}
}

// advance moves the decided prefix on, and hands what it passes to be applied.
func (c *Core) advance(now ids.Millis) {
	defer c.settleClaim()
	for {
		e := c.log[c.commit+1]
		if e == nil || !e.chosen {
			return
		}
		c.commit++
		v, err := decode(e.val)
		if err != nil {
			// what a majority accepted was encoded by a leader of this group
			panic(errs.Errorf("decode decided value", "", "group %d slot %d: %v", c.conf.Group, c.commit, err))
		}
		c.clock = max(c.clock, v.Stamp)
		if c.role == Leader {
			c.raiseTime(now)
			for _, r := range v.Reqs {
				delete(c.leading.submitted, r.ID)
			}
		}
		if len(v.Members) > 0 {
			c.memberships = append(c.memberships, Membership{From: c.commit + ids.Slot(c.conf.Window), Members: v.Members})
		}
		for len(c.memberships) > 1 && c.memberships[1].From <= c.commit {
			c.memberships = c.memberships[1:]
			c.membershipSince = c.memberships[0].From
		}
		c.eff.Decided = append(c.eff.Decided, Decided{c.commit, v, e.val, e.timing})
	}
}

// feed sends decided instances to a replica that lags, or has a snapshot sent.
func (c *Core) feed(now ids.Millis, to ids.Node, from ids.Slot) {
	if from <= c.base {
		c.eff.SnapshotPeers = append(c.eff.SnapshotPeers, to)
		return
	}
	if f := c.fed[to]; f.slot == from && now-f.at < c.conf.HeartbeatInterval {
		return // it is on its way
	}
	c.fed[to] = sent{slot: from, at: now}
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

// takeFeed takes decided instances that a peer sent on request.
func (c *Core) takeFeed(now ids.Millis, from ids.Node, m Msg) {
	for _, e := range m.Entries {
		if s := c.log[e.Slot]; e.Slot <= c.commit || s != nil && s.chosen {
			c.checkDecidedOnce(e.Slot, e.Val)
			continue
		}
		// decided, so no ballot at or above the feeder's can propose otherwise
		c.log[e.Slot] = &slot{bal: max(m.Ballot, c.entryBal(e.Slot)), val: e.Val, chosen: true}
		c.saveEntry(e.Slot, wait{})
	}
	c.advance(now)
	if c.commit < m.Commit && len(m.Entries) > 0 {
		c.following.fetchAt = now
		c.send(from, Msg{Kind: Fetch, Slot: c.commit + 1, Commit: c.commit})
	}
}

// checkDecidedOnce compares what a peer has of a decided instance with what is here.
func (c *Core) checkDecidedOnce(s ids.Slot, val []byte) {
	if e := c.log[s]; e != nil && e.chosen && !bytes.Equal(e.val, val) {
		invariant.Violated(invariant.DecidedOnce,
			"group", c.conf.Group, "slot", s, "epoch", e.bal, "bytes", len(e.val), "other_bytes", len(val))
	}
}

func (c *Core) entryBal(s ids.Slot) ids.Ballot {
	if e := c.log[s]; e != nil {
		return e.bal
	}
	return 0
}

// Install replaces the state up to slot with a snapshot's; false if it is old.
func (c *Core) Install(now ids.Millis, at ids.Slot, memberships []Membership, clock ids.Millis) bool {
	c.resign(now)
	if at <= c.commit {
		return false
	}
	c.commit, c.base = at, at
	c.disk.unsyncedSnapshots++
	c.clock = max(c.clock, clock)
	c.memberships = append([]Membership(nil), memberships...)
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
func (c *Core) Trim(s ids.Slot) {
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

// UpToDate tells whether this replica has all that its leader said is decided, and
// heard that lately; a leader, whether it hears a majority.
func (c *Core) UpToDate(now ids.Millis) bool {
	if c.role == Leader {
		heard := map[ids.ReplicaID]bool{c.conf.Self.ID: true}
		for _, m := range c.Voters() {
			if c.SilentFor(now, m.ID) < 3*c.conf.ElectionTimeout {
				heard[m.ID] = true
			}
		}
		return majority(c.Voters(), heard)
	}
	recently := now-c.following.heardAt < c.conf.ElectionTimeout+2*c.conf.HeartbeatInterval
	return c.leaderNode != "" && recently && c.commit >= c.following.leaderCommit
}

// answerProbe answers a leader's heartbeat: how far this replica is, and how far its disk is:
// holds everything and says that it is decided. Those who decided it may be let go
// for that word, and then nobody else could say so after a loss of power. What the
// disk does not say yet is written, and told again once it is there.
func (c *Core) answerProbe(now ids.Millis, to ids.Node, heartbeat Msg) {
	m := Msg{Kind: CaughtUp, Ballot: heartbeat.Ballot, Commit: c.commit, Durable: c.disk.recordedCommit}
	if c.disk.durable = c.kept(); c.disk.recordedCommit != c.disk.durable {
		later := m
		later.Durable = c.disk.durable
		c.save(Record{}, wait{msgs: []Envelope{c.envelope(to, later)}})
	}
	m.At, m.Echo = c.stamp(now), heartbeat.At
	c.send(to, m)
}
