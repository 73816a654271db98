package paxos

import (
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/invariant"
)

// majority tells whether more than half of some members are in a set.
func majority(members []Member, yes map[ids.ReplicaID]bool) bool {
	n := 0
	for _, m := range members {
		if yes[m.ID] {
			n++
		}
	}
	return n*2 > len(members)
}

// CopiesNeeded is how many disks must hold an instance before a group of so many
// voters decides it: a majority, and as many as are asked for where there are so
// many voters. Agreement rests on the majority alone. The further copies are for
// groups with fewer voters than 2f+1, in which a majority may be less than f+1.
func CopiesNeeded(voters, durableCopies int) int {
	return max(voters/2+1, min(voters, durableCopies))
}

func (c *Core) copiesNeeded(members []Member) int {
	return CopiesNeeded(len(members), c.conf.DurableCopies)
}

// vote notes that a replica has an instance of this leader on its disk. The instance
// is agreed on once a majority of its voters has it, and decided once enough machines
// hold it besides; a machine that follows without a vote counts as a holder.
func (c *Core) vote(now ids.Millis, s ids.Slot, voter ids.ReplicaID, holder ids.Node) {
	e := c.log[s]
	if e == nil || !e.pending || e.chosen {
		return
	}
	e.acks[voter], e.holders[holder] = true, true
	if voter == c.conf.Self.ID {
		e.timing.Synced = now
	}
	members := c.membersAt(s)
	if !e.agreed && majority(members, e.acks) {
		e.agreed = true
		e.timing.Agreed = now
		c.leading.usualLatency += now - e.timing.Opened - c.leading.usualLatency/8
	}
	if e.agreed && len(e.holders) >= c.copiesNeeded(members) {
		if e.bal != c.leader || !majority(members, e.acks) {
			invariant.Violated(invariant.DecidedByMajority,
				"group", c.conf.Group, "slot", s, "epoch", e.bal, "leader", c.leader, "accepted", len(e.acks))
		}
		e.chosen, e.pending = true, false
		c.advance(now)
	}
}
