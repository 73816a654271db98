package paxos

import (
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/invariant"
)

// diskState is what the disk holds, and what waits for it.
type diskState struct {
	tokens            uint64
	durable           ids.Slot // decided, and every entry up to it is surely on the disk
	recordedCommit    ids.Slot // the decided mark that is on the disk
	commitMarks       []commitMark
	unsyncedSnapshots int // snapshots installed that are not on the disk yet
	waits             []wait
}

// wait is what goes on once a record is on the disk.
type wait struct {
	token uint64
	msgs  []Envelope
	self  []ids.Slot // own acceptances that become votes once synced
	bal   ids.Ballot
	vow   bool // own promise becomes a vote once synced
	at    ids.Millis
	mark  ids.Slot // the decided mark of its record
}

// commitMark is what was decided when a token was given out.
type commitMark struct {
	token  uint64
	commit ids.Slot
}

// save has a record written, and what waits for it done once it is synced.
func (c *Core) save(r Record, w wait) {
	r.Commit, r.Promised = c.disk.durable, c.promised
	w.at, w.mark = c.now, c.disk.durable
	c.eff.Saves = append(c.eff.Saves, r)
	c.disk.waits = append(c.disk.waits, w)
}

// Drain hands over the effects gathered so far.
func (c *Core) Drain() Effects {
	if c.promised < c.promisedBefore {
		invariant.Violated(invariant.EpochNeverFalls,
			"group", c.conf.Group, "promised", c.promised, "before", c.promisedBefore)
	}
	c.promisedBefore = c.promised
	if len(c.eff.Saves) > 0 {
		c.disk.tokens++
		c.eff.Token = c.disk.tokens
		for i := range c.disk.waits {
			if c.disk.waits[i].token == 0 {
				c.disk.waits[i].token = c.disk.tokens
			}
		}
		if c.disk.unsyncedSnapshots == 0 {
			c.disk.commitMarks = append(c.disk.commitMarks, commitMark{c.disk.tokens, c.commit})
		}
	}
	e := c.eff
	c.eff = Effects{}
	return e
}

// Synced tells that everything saved up to token is on the disk: answers held
// back until then go out now.
func (c *Core) Synced(now ids.Millis, token uint64) {
	c.resign(now)
	for len(c.disk.commitMarks) > 0 && c.disk.commitMarks[0].token <= token {
		c.disk.durable = c.disk.commitMarks[0].commit
		c.disk.commitMarks = c.disk.commitMarks[1:]
	}
	// Taken out first: the only voter of a group leads, and saves more, once its own
	// promise counts.
	var done []wait
	n := 0
	for _, w := range c.disk.waits {
		if w.token == 0 || w.token > token {
			c.disk.waits[n] = w
			n++
		} else {
			done = append(done, w)
		}
	}
	c.disk.waits = c.disk.waits[:n]
	for _, w := range done {
		c.disk.recordedCommit = w.mark
		c.eff.Sends = append(c.eff.Sends, w.msgs...)
		if w.vow && c.role == Candidate && w.bal == c.promised {
			own := Msg{Kind: Promise, From: c.conf.Self.ID, Ballot: w.bal, Commit: c.commit}
			own.Entries = c.entriesFrom(c.commit + 1)
			c.promiseTime(now, &own)
			c.promise(now, own)
		}
		if c.role == Leader && w.bal == c.leader {
			for _, s := range w.self {
				c.vote(now, s, c.conf.Self.ID, c.conf.Self.Node)
			}
		}
	}
	c.propose(now)
}

// RecordCommit puts the decided prefix on record, for a process that ends in order.
func (c *Core) RecordCommit() {
	c.disk.durable = c.kept()
	c.save(Record{}, wait{})
}

// kept is the decided prefix that is surely on this replica's disk.
func (c *Core) kept() ids.Slot {
	if len(c.disk.waits) == 0 && c.disk.unsyncedSnapshots == 0 {
		return c.commit
	}
	return c.disk.durable
}

// SnapshotRecorded tells that an installed snapshot is on the disk: until then no decided
// mark may count on it.
func (c *Core) SnapshotRecorded() { c.disk.unsyncedSnapshots-- }
