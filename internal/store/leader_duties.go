package store

import (
	"log/slog"
	"slices"

	"oxbowdeck/internal/codec"
	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/dispatch"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
	"oxbowdeck/internal/replication"
	"oxbowdeck/internal/settings"
	"oxbowdeck/internal/topic"
)

const (
	// memberHeardWithin is how lately a member must have been heard to count as live.
	memberHeardWithin = ids.Millis(1000)
	// unknownEdgeDelay is how long subscriptions of an edge's incarnation that no
	// control update names are kept: perhaps it began just now.
	unknownEdgeDelay = ids.Millis(3000)
	// unknownEdgesLimit bounds the table of such incarnations.
	unknownEdgesLimit = 4096
)

// leaderDuties does what a group's leader owes its group, under its epoch: it
// reports to control, changes the membership as control wants it, and ends the
// subscriptions of edges that are gone. It owns the table of unknown edges.
type leaderDuties struct {
	self        ids.Node
	silentAfter ids.Millis // a member that is not heard for so long is reported
	replicas    *replication.Manager
	control     *controlapi.Client
	shards      *topicShards
	queue       *dispatch.Host // of a deployment that takes in messages, else nil
	// unknownSince is when an edge's incarnation was first missing in the updates.
	unknownSince map[topic.EdgeIncarnation]ids.Millis
}

func newLeaderDuties(
	set *settings.Settings,
	self ids.Node,
	replicas *replication.Manager,
	control *controlapi.Client,
	shards *topicShards,
) *leaderDuties {
	return &leaderDuties{
		self:         self,
		silentAfter:  ids.Millis(set.Int("silent_ms", 1500)),
		replicas:     replicas,
		control:      control,
		shards:       shards,
		unknownSince: map[topic.EdgeIncarnation]ids.Millis{},
	}
}

// run does the duties of all groups that are led here.
func (l *leaderDuties) run(now ids.Millis, update *controlapi.Update) {
	for group, replica := range l.replicas.Replicas {
		if replica.Core.Role() != paxos.Leader || int(group) >= len(update.Shards) {
			continue
		}
		shard := &update.Shards[group]
		l.endSubscriptions(now, group, update)
		l.reportMembers(now, replica.Core, shard)
		l.reportReleased(now, replica.Core, shard)
		l.reportMembership(replica.Core, shard)
		l.changeMembership(now, replica.Core, shard)
	}
}

// changeMembership hands the leadership to a member that should have it, or takes
// the next step from the membership in force to the one that control wants.
func (l *leaderDuties) changeMembership(now ids.Millis, core *paxos.Core, shard *controlapi.Shard) {
	if core.MembershipRecorded() {
		if !paxos.ContainsNode(core.Voters(), l.self) {
			core.TransferLeadership(now) // this store was removed: a member leads
			return
		}
		core.TransferToPreferred(now)
	}
	if !l.control.Told(now) {
		return // an old placement must not bring a member back that was removed since
	}
	live := func(member ids.ReplicaID) bool { return core.HeardWithin(now, member, memberHeardWithin) }
	next := paxos.NextMembership(core.Voters(), shard.Voters, live)
	if next != nil && core.ChangeMembership(now, next) == nil {
		slog.Info("membership-change", "group", shard.Group, "members", len(next))
	}
}

// endSubscriptions ends those of incarnations of edges that ended: those that the
// update calls gone, and those that updates have not named for a while.
func (l *leaderDuties) endSubscriptions(now ids.Millis, group ids.Group, update *controlapi.Update) {
	shard := l.shards.find(group)
	if shard == nil {
		return // no topics, no subscriptions
	}
	for _, edge := range shard.state.Edges() {
		if l.ended(now, edge, update) {
			l.submitEdgeGone(group, edge)
		}
	}
	if len(l.unknownSince) > unknownEdgesLimit {
		clear(l.unknownSince)
	}
}

// ended tells whether an incarnation of an edge has ended.
func (l *leaderDuties) ended(now ids.Millis, edge topic.EdgeIncarnation, update *controlapi.Update) bool {
	node := update.Find(edge.Edge)
	if node != nil && node.Incarnation == edge.Incarnation {
		if !node.Gone {
			delete(l.unknownSince, edge)
		}
		return node.Gone
	}
	if l.unknownSince[edge] == 0 {
		l.unknownSince[edge] = now
	}
	return now-l.unknownSince[edge] >= unknownEdgeDelay
}

// submitEdgeGone has the end of an edge's incarnation decided.
func (l *leaderDuties) submitEdgeGone(group ids.Group, edge topic.EdgeIncarnation) {
	command := topic.Command{Verb: topic.EdgeGone, Edge: edge.Edge, Incarnation: edge.Incarnation}
	data, err := codec.Marshal(command)
	if err != nil {
		return
	}
	id := paxos.ID{Origin: "gone/" + string(edge.Edge), Seq: uint64(edge.Incarnation)}
	l.replicas.Submit(group, paxos.Request{ID: id, Data: data}, false)
}

// reportMembers tells control, again and again, which members of a group are silent
// and which learners have caught up.
func (l *leaderDuties) reportMembers(now ids.Millis, core *paxos.Core, shard *controlapi.Shard) {
	epoch, _ := core.Leader()
	report := controlapi.MemberLost{Group: shard.Group, Epoch: epoch}
	for _, member := range shard.Voters {
		if core.SilentFor(now, member.ID) >= l.silentAfter {
			report.Silent = append(report.Silent, member)
		}
	}
	for _, member := range shard.Learners {
		if core.CaughtUp(member.ID) && core.HeardWithin(now, member.ID, memberHeardWithin) {
			report.Ready = append(report.Ready, member)
		}
	}
	l.control.Tell(controlapi.KindMemberLost, report)
}

// reportMembership tells control the membership in force, until control shows it.
func (l *leaderDuties) reportMembership(core *paxos.Core, shard *controlapi.Shard) {
	if !core.MembershipRecorded() || paxos.SameMembers(shard.Members, core.Voters()) {
		return
	}
	epoch, _ := core.Leader()
	l.control.Tell(controlapi.KindMembership, controlapi.MembershipReport{
		Group:   shard.Group,
		Epoch:   epoch,
		Members: slices.Clone(core.Voters()),
	})
}
