package accord

import (
	"slices"

	"oxbowdeck/internal/unit"
)

// contact is how recently this replica was in touch with a majority, as a quorum
// read would establish it, by stamps that come back:
//
// A leader's beat bears the leader's stamp; who answers it under the same epoch
// had promised no higher one when the beat arrived, so at the time of the stamp
// that a majority has echoed nobody else led, and all that had been decided by
// then the leader knows (once it has decided again what it found undecided). An
// answer bears the follower's own stamp; the next beat echoes it, with the age of
// the leader's contact. A follower that has applied what that beat says is
// decided stands where the group stood then. Stamps are compared only with the
// clock they were taken from, so clocks need not agree, and a process that stood
// still finds its contact old when it wakes.
type contact struct {
	at    unit.Millis               // follower: in touch then, by its own steady clock; never: not yet
	claim unit.Millis               // follower: in touch then, once slot is decided here; 0: none
	slot  unit.Slot                 // what claim waits for
	echo  map[unit.Num]unit.Millis  // leader: the newest of its stamps that a member gave back
	met   map[unit.Node]unit.Millis // leader: the newest stamp of each replica
	top   unit.Slot                 // leader: what it found undecided when it began
}

func (t *contact) lead(top unit.Slot) {
	*t = contact{at: t.at, echo: map[unit.Num]unit.Millis{}, met: map[unit.Node]unit.Millis{}, top: top}
}

// stamp is this replica's clock as others are shown it, never 0.
func (c *Core) stamp(now unit.Millis) unit.Millis { return now - c.born + c.conf.Salt + 1 }

// unstamp gives the time of an own stamp; false for one of another life.
func (c *Core) unstamp(now, s unit.Millis) (unit.Millis, bool) {
	at := s - 1 - c.conf.Salt + c.born
	return at, s != 0 && at >= c.born && at <= now
}

// assure puts stamps on a beat that asks for an answer.
func (c *Core) assure(now unit.Millis, to unit.Node, b *Msg) {
	b.At, b.Echo = c.stamp(now), c.contact.met[to]
	if q := c.quorumAt(now); q != never && c.commit >= c.contact.top {
		b.Age = now - q + 1
	}
}

// assured takes a leader's word on when a majority was in touch with it.
func (c *Core) assured(now unit.Millis, m Msg) {
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

// echoed takes a replica's answer to a beat of this leader's epoch.
func (c *Core) echoed(from unit.Node, m Msg) {
	if m.Echo == 0 {
		return // no answer to a beat
	}
	c.contact.echo[m.From] = max(c.contact.echo[m.From], m.Echo)
	c.contact.met[from] = m.At
}

// quorumAt is when a majority of the members was last in touch with this leader,
// by its own clock; never if that was not yet.
func (c *Core) quorumAt(now unit.Millis) unit.Millis {
	seats := c.Seats()
	var at []unit.Millis
	for _, m := range seats {
		if m.Num == c.conf.Self.Num {
			at = append(at, now)
		} else if t, ok := c.unstamp(now, c.contact.echo[m.Num]); ok {
			at = append(at, t)
		}
	}
	need := len(seats)/2 + 1
	if len(at) < need {
		return never
	}
	slices.Sort(at)
	return at[len(at)-need]
}

// resign ends the duty of a leader that no majority was in touch with for too
// long: it may have been replaced without knowing. Whatever it is called for, it
// looks first, so one that stood still does nothing more as leader when it wakes.
func (c *Core) resign(now unit.Millis) {
	if c.role != Leader || c.conf.Quorum == 0 || now-c.ledAt <= c.conf.Quorum {
		return
	}
	if at := c.quorumAt(now); at == never || now-at > c.conf.Quorum {
		c.stepDown(now)
	}
}

// Contact tells how long ago it is certain that this replica's state was the
// newest there is; false when it never was in this life, or cannot be told.
func (c *Core) Contact(now unit.Millis) (unit.Millis, bool) {
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
