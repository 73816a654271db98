package httpedge

import (
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/shardapi"
	"oxbowdeck/internal/transport"
)

// leader is who is believed to lead a group.
type leader struct {
	node             ids.Node   // empty: not known
	askedAt          ids.Millis // when it was last asked for
	nextVoter        int        // who is asked next
	heardAt          ids.Millis // when it last answered
	oldestUnanswered ids.Millis // when what it has not answered for longest was sent; 0: nothing
	fullUntil        ids.Millis // the group is passed by until then: its store had no room
}

// fullPause is how long a group whose store had no room is passed by. Stores look
// after their room once a second.
const fullPause = ids.Millis(500)

// overdue tells whether a leader has kept messages waiting for longer than usual
// without a word: those that any group may take go to another.
func (x *leader) overdue(now, than ids.Millis) bool {
	return x.oldestUnanswered != 0 && now-x.oldestUnanswered > than && now-x.heardAt > than
}

// waitsSince notes that a message which was sent then has no answer yet.
func (x *leader) waitsSince(sentAt ids.Millis) {
	if x.oldestUnanswered == 0 || sentAt < x.oldestUnanswered {
		x.oldestUnanswered = sentAt
	}
}

const (
	// leaderAskInterval is how often a group's voters are asked who leads it.
	leaderAskInterval = ids.Millis(60)
	// leaderAskWidth is how many are asked at a time: one may be gone.
	leaderAskWidth = 2
)

// findLeaders asks who leads the groups of which that is not known, one voter after the
// other.
func (d *Daemon) findLeaders(now ids.Millis) {
	for g := 0; g < d.core.Shards(); g++ {
		x := d.leaders[ids.Group(g)]
		if x == nil {
			x = &leader{}
			d.leaders[ids.Group(g)] = x
		}
		if x.node != "" || now-x.askedAt < leaderAskInterval {
			continue
		}
		x.askedAt = now
		voters := d.core.Control.Update.Shards[g].Voters
		for range min(leaderAskWidth, len(voters)) {
			x.nextVoter++
			voter := voters[x.nextVoter%len(voters)].Node
			d.core.Hub.To(voter).Send(shardapi.KindWho, shardapi.Who{Group: ids.Group(g)})
		}
	}
}

// forgetLeader forgets who leads a group: it does not answer, or does not lead.
func (d *Daemon) forgetLeader(g ids.Group, n ids.Node) {
	if x := d.leaders[g]; x != nil && x.node == n {
		x.node = ""
	}
}

// onLinkDown takes it that a link broke: who led over it is asked for anew. The end of
// one that nothing used says nothing of the leader.
func (d *Daemon) onLinkDown(now ids.Millis, l *transport.Link) {
	if l.Idle() {
		return
	}
	for g, x := range d.leaders {
		if x.node != l.Peer().Node {
			continue
		}
		x.node, x.askedAt = "", 0
		d.forwardAgain(g)
	}
	d.findLeaders(now)
}

// leaderChanged takes a store's word on who leads a group. The word of one that is not believed
// to lead may be old: it counts once the one that is believed to has not answered for a while.
func (d *Daemon) leaderChanged(now ids.Millis, from ids.Node, x shardapi.Lead) {
	l := d.leaders[x.Group]
	if l == nil || x.Node == "" || l.node == x.Node {
		return
	}
	if l.node != "" && l.node != from && now-l.heardAt < d.bounds.replicaQuiet {
		return
	}
	l.node = x.Node
	l.heardAt = now
	d.forwardAgain(x.Group)
	d.redirectInquiries(now, x.Group)
}
