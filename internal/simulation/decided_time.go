package simulation

import (
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
)

// leaderTimes is how far the decided time of each leader is ahead of true time, which is never
// more than 0, and which leaders had a batch of their own decided.
type leaderTimes struct {
	ahead   map[ids.Ballot]ids.Millis
	found   map[ids.Ballot]ids.Slot // instances above that are of the leader's own batches
	decided map[ids.Ballot]bool
}

func newLeaderTimes() leaderTimes {
	return leaderTimes{
		ahead:   map[ids.Ballot]ids.Millis{},
		found:   map[ids.Ballot]ids.Slot{},
		decided: map[ids.Ballot]bool{},
	}
}

// checkTime compares a leader's decided time with true time.
func (w *World) checkTime(n *node) {
	ballot, _ := n.core.Leader()
	ahead := n.core.Time(w.clock(n)) - w.now
	if ahead > 0 {
		w.fail("node %s leads %d ms ahead of true time", n.member.Node, ahead)
	}
	before, seen := w.times.ahead[ballot]
	if !seen {
		w.times.found[ballot] = w.highestAccepted() + ids.Slot(w.plan.Conf.Window)
	}
	if !seen || ahead > before {
		w.times.ahead[ballot] = ahead
		w.checkTimeOrder()
	}
}

// highestAccepted is the last instance that is on any disk.
func (w *World) highestAccepted() (last ids.Slot) {
	for _, n := range w.nodes {
		for s := range n.disk.entries {
			last = max(last, s)
		}
	}
	return last
}

// leaderDecided notes that a leader had a batch of its own decided. Before that it may be behind
// the stamps of what it found undecided.
func (w *World) leaderDecided(n *node, d paxos.Decided) {
	ballot, _ := n.core.Leader()
	found, leads := w.times.found[ballot]
	if n.core.Role() != paxos.Leader || !leads || d.Slot <= found || w.times.decided[ballot] {
		return
	}
	w.times.decided[ballot] = true
	w.checkTimeOrder()
}

// checkTimeOrder: no leader's time is ahead of that of an earlier one that had a batch decided.
func (w *World) checkTimeOrder() {
	for earlier := range w.times.decided {
		for later, ahead := range w.times.ahead {
			if before, known := w.times.ahead[earlier]; known && later > earlier && ahead > before {
				w.fail("leader of epoch %d is %d ms ahead of that of epoch %d", later.Round(), ahead-before, earlier.Round())
			}
		}
	}
}

// lag is how far decided time is behind true time at the newest leader.
func (w *World) lag() ids.Millis {
	newest := ids.Ballot(0)
	for ballot := range w.times.ahead {
		newest = max(newest, ballot)
	}
	return -w.times.ahead[newest]
}
