package store

import (
	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
)

// releaseContact is how old a leader's contact with a majority may be to release learners.
const releaseContact = ids.Millis(1000)

// reportReleased tells control, again and again, which learners of a group may be let go. A
// store that led the group before follows it until then: it hears who leads and reports the
// ends of its attempts there.
func (l *leaderDuties) reportReleased(now ids.Millis, core *paxos.Core, shard *controlapi.Shard) {
	learners := l.releasable(now, core, shard)
	if len(learners) == 0 {
		return
	}
	epoch, _ := core.Leader()
	l.control.Tell(controlapi.KindReleased, controlapi.Released{
		Group:    shard.Group,
		Epoch:    epoch,
		At:       shard.At,
		Learners: learners,
	})
}

// releasable gives the learners of a group that is led here that may be let go. A leader
// without lately having been in touch with a majority can't tell: another may lead by now, and
// it may not know all that was begun before.
func (l *leaderDuties) releasable(now ids.Millis, core *paxos.Core, shard *controlapi.Shard) []paxos.Member {
	if age, certain := core.Contact(now); !certain || age > releaseContact {
		return nil
	}
	var released []paxos.Member
	for _, learner := range shard.Learners {
		if !isMember(core, learner.Node) && !l.awaits(shard.Group, learner.Node, now) {
			released = append(released, learner)
		}
	}
	return released
}

// isMember tells whether a store has a vote in a membership that is in force, or is to be.
func isMember(core *paxos.Core, node ids.Node) bool {
	for _, membership := range core.Memberships() {
		if paxos.ContainsNode(membership.Members, node) {
			return true
		}
	}
	return false
}

// awaits tells whether something that a process began as the group's leader may be under way.
func (l *leaderDuties) awaits(group ids.Group, node ids.Node, now ids.Millis) bool {
	if node == l.self {
		return true // it leads now
	}
	return l.queue != nil && l.queue.Awaits(group, node, now)
}
