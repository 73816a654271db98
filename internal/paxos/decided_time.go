package paxos

import "oxbowdeck/internal/ids"

// timeline is decided time as the leader of a ballot measures it, followed by this replica's
// steady clock. It can lag the leader's, by the way of a message, and never runs ahead of it.
//
// A new leader goes on with the timeline of the newest leader that may have had anything
// decided, so its time is not ahead of that leader's either: whoever accepted an instance heard
// the time of the leader that proposed it, and one of these is in each quorum of promises. A
// replica that began after it accepted does not know the time any more. It tells the ballot that
// it had promised, and a timeline of a lower one is not used.
type timeline struct {
	ballot ids.Ballot // of the leader; where the time is not known, the highest it may be of
	known  bool
	time   ids.Millis // decided time
	at     ids.Millis // when it was that, by this replica's steady clock
}

// now is decided time on a timeline that is known.
func (t timeline) now(now ids.Millis) ids.Millis { return t.time + now - t.at }

// Time is the decided time that a batch opened now would carry, of a leader. It is what leaders'
// steady clocks measured one after the other: it can lag true time, never run ahead of it, and
// no stepped clock can make history look old.
func (c *Core) Time(now ids.Millis) ids.Millis {
	if !c.timeline.known {
		return c.clock
	}
	return c.timeline.now(now)
}

// asLeader makes a message of this leader: each tells its ballot, what is decided, and its time.
func (c *Core) asLeader(now ids.Millis, m Msg) Msg {
	m.Ballot = c.leader
	m.Commit = c.commit
	m.Time = c.Time(now) + 1
	return m
}

// hearTime takes the time that the leader of a message tells. One of a version that tells none
// leaves it unknown.
func (c *Core) hearTime(now ids.Millis, m Msg) {
	heard := timeline{ballot: m.Ballot, known: m.Time > 0, time: m.Time - 1, at: now}
	older := m.Ballot == c.timeline.ballot && c.timeline.known && (!heard.known || heard.time <= c.timeline.now(now))
	if m.Ballot >= c.timeline.ballot && !older {
		c.timeline = heard
	}
}

// raiseTime has a leader's time not be behind what is decided: an instance that it found
// undecided may bear a later time than it began with.
func (c *Core) raiseTime(now ids.Millis) {
	if c.clock > c.timeline.now(now) {
		c.timeline.time, c.timeline.at = c.clock, now
	}
}

// promiseTime puts on a promise what this replica knows of the newest leader's time.
func (c *Core) promiseTime(now ids.Millis, m *Msg) {
	m.TimeBallot = c.timeline.ballot + 1
	if c.timeline.known {
		m.Time = c.Time(now) + 1
	}
}

// promisedTimes is what the promises of a quorum tell of the newest leader's time.
type promisedTimes struct {
	newest ids.Ballot // that any of them may have accepted under
	best   timeline   // the newest that is known
	silent bool       // one is of a version that tells nothing
}

// add takes one replica's timeline.
func (p *promisedTimes) add(now ids.Millis, t timeline) {
	p.newest = max(p.newest, t.ballot)
	switch {
	case !t.known:
	case !p.best.known, t.ballot > p.best.ballot, t.ballot == p.best.ballot && t.now(now) > p.best.now(now):
		p.best = t
	}
}

// addPromise takes what a promise tells.
func (p *promisedTimes) addPromise(now ids.Millis, m Msg) {
	if m.TimeBallot == 0 {
		p.silent = true
		return
	}
	p.add(now, timeline{ballot: m.TimeBallot - 1, known: m.Time > 0, time: m.Time - 1, at: now})
}

// startTime begins a leader's time: where that of the newest leader before it is known it goes
// on with that, and else with the last decided instance.
func (c *Core) startTime(now ids.Millis) {
	told := c.election.times
	c.timeline = timeline{ballot: c.promised, known: true, time: c.clock, at: now}
	c.leading.timeOf = 0
	if told.silent || !told.best.known || told.best.ballot < told.newest {
		return
	}
	c.timeline.time = max(c.clock, told.best.now(now))
	c.leading.timeOf = told.best.ballot
}

// TimeOf is the ballot of the leader whose time this leader goes on with; 0: it began with the
// last decided instance.
func (c *Core) TimeOf() ids.Ballot { return c.leading.timeOf }
