package paxos

import (
	"slices"

	"oxbowdeck/internal/ids"
)

// contact is how recently this replica was in touch with a majority, as a quorum
// read would establish it, by stamps that come back:
//
// A leader's heartbeat bears the leader's stamp; who answers it under the same ballot
// had promised no higher one when the heartbeat arrived, so at the time of the stamp
// that a majority has echoed nobody else led, and all that had been decided by
// then the leader knows (once it has decided again what it found undecided). An
// answer bears the follower's own stamp; the next heartbeat echoes it, with the age of
// the leader's contact. A follower that has applied what that heartbeat says is
// decided stands where the group stood then. Stamps are compared only with the
// clock they were taken from, so clocks need not agree, and a process that stood
// still finds its contact old when it wakes.
type contact struct {
	at    ids.Millis                   // follower: in touch then, by its own steady clock; never: not yet
	claim ids.Millis                   // follower: in touch then, once slot is decided here; 0: none
	slot  ids.Slot                     // what claim waits for
	echo  map[ids.ReplicaID]ids.Millis // leader: the newest of its stamps that a member gave back
	met   map[ids.Node]ids.Millis      // leader: the newest stamp of each replica
	top   ids.Slot                     // leader: what it found undecided when it began
}

func (t *contact) lead(top ids.Slot) {
	*t = contact{at: t.at, echo: map[ids.ReplicaID]ids.Millis{}, met: map[ids.Node]ids.Millis{}, top: top}
}

// stamp is this replica's clock as others are shown it, never 0.
func (c *Core) stamp(now ids.Millis) ids.Millis { return now - c.born + c.conf.Salt + 1 }

// unstamp gives the time of an own stamp; false for one of another incarnation.
func (c *Core) unstamp(now, s ids.Millis) (ids.Millis, bool) {
	at := s - 1 - c.conf.Salt + c.born
	return at, s != 0 && at >= c.born && at <= now
}

// assure puts stamps on a heartbeat that asks for an answer.
func (c *Core) assure(now ids.Millis, to ids.Node, b *Msg) {
	b.At, b.Echo = c.stamp(now), c.contact.met[to]
	if q := c.quorumAt(now); q != never && c.commit >= c.contact.top {
		b.Age = now - q + 1
	}
}

// assured takes a leader's word on when a majority was in touch with it.
func (c *Core) assured(now ids.Millis, m Msg) {
	at, mine := c.unstamp(now, m.Echo)
	if !mine || m.Age == 0 || c.contact.claim != 0 && c.contact.slot > c.commit {
		return
	}
	c.contact.claim, c.contact.slot = at-(m.Age-1), m.Commit
}

// settleClaim makes a claim good once what it waits for is decided here.
func (c *Core) settleClaim() {
	t := &c.contact
	if t.claim == 0 || c.commit < t.slot {
		return
	}
	if t.at == never || t.claim > t.at {
		t.at = t.claim
	}
	t.claim = 0
}

// echoed takes a replica's answer to a heartbeat of this leader's ballot.
func (c *Core) echoed(from ids.Node, m Msg) {
	if m.Echo == 0 {
		return // no answer to a heartbeat
	}
	c.contact.echo[m.From] = max(c.contact.echo[m.From], m.Echo)
	c.contact.met[from] = m.At
}

// quorumAt is when a majority of the members was last in touch with this leader,
// by its own clock; never if that was not yet.
func (c *Core) quorumAt(now ids.Millis) ids.Millis {
	members := c.Voters()
	var at []ids.Millis
	for _, m := range members {
		if m.ID == c.conf.Self.ID {
			at = append(at, now)
		} else if t, ok := c.unstamp(now, c.contact.echo[m.ID]); ok {
			at = append(at, t)
		}
	}
	need := len(members)/2 + 1
	if len(at) < need {
		return never
	}
	slices.Sort(at)
	return at[len(at)-need]
}

// resign ends the leadership of one that no majority was in touch with for too
// long: it may have been replaced without knowing. Whatever it is called for, it
// looks first, so one that stood still does nothing more as leader when it wakes.
func (c *Core) resign(now ids.Millis) {
	if c.role != Leader || c.conf.QuorumTimeout == 0 || now-c.leading.since <= c.conf.QuorumTimeout {
		return
	}
	if at := c.quorumAt(now); at == never || now-at > c.conf.QuorumTimeout {
		c.stepDown(now)
	}
}

// Contact tells how long ago it is certain that this replica's state was the
// newest there is; false when it never was in this incarnation, or cannot be told.
func (c *Core) Contact(now ids.Millis) (ids.Millis, bool) {
	at := c.contact.at
	if c.role == Leader {
		if at = c.quorumAt(now); c.commit < c.contact.top {
			at = never
		}
	}
	if at == never {
		return 0, false
	}
	return now - at, true
}
