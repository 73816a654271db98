package control

import (
	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/heartbeat"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
	"oxbowdeck/internal/transport"
)

// incarnation is one run of a process.
type incarnation struct {
	addr        ids.Node
	incarnation ids.Incarnation
}

// shardReport is what a shard's leader last reported, and since when each of its
// members is silent and each of its learners not caught up.
type shardReport struct {
	controlapi.MemberLost
	at          ids.Millis
	silentSince map[ids.ReplicaID]ids.Millis
	behindSince map[ids.ReplicaID]ids.Millis
}

// releasedReport is what a shard's leader last said of learners to be let go.
type releasedReport struct {
	controlapi.Released
	at ids.Millis
}

// maxSuspected bounds the incarnations that are remembered as missed.
const maxSuspected = 1024

// leave puts the end of an incarnation to the group; who tells of it tells it again
// until the update shows it.
func (c *Control) leave(x controlapi.Leave) {
	n := c.state.find(x.Addr)
	if n == nil || n.Incarnation != x.Incarnation || n.Gone {
		return
	}
	gone := controlapi.Node{Addr: x.Addr, Incarnation: x.Incarnation}
	c.Ask(Command{Verb: Leave, Node: gone}, leaveWait, ignoreResult)
}

// forward gives a report to the control process that leads; false when that is
// this one. Without a leader it is lost, and will be told again.
func (c *Control) forward(k transport.Kind, v any) bool {
	_, leader := c.core.Leader()
	if leader == c.conf.Self.Addr {
		return false
	}
	if leader != "" {
		c.out.Send(leader, k, v)
	}
	return true
}

// Missing takes a watcher's report that a node fell silent. More than half of its
// watchers, within a while, are enough for a leader that is sure to lead; one that
// is cut off would take all others for lost.
func (c *Control) Missing(now ids.Millis, x controlapi.Leave) {
	c.now = now
	if c.forward(controlapi.KindMissing, x) || !c.current() {
		return
	}
	n := c.state.find(x.Addr)
	if n == nil || n.Gone || n.Incarnation != x.Incarnation {
		return
	}
	key := incarnation{x.Addr, x.Incarnation}
	reports := c.missed[key]
	if reports == nil {
		if len(c.missed) > maxSuspected {
			clear(c.missed) // of incarnations long ended; who still misses one tells it again
		}
		reports = map[ids.Node]ids.Millis{}
		c.missed[key] = reports
	}
	if reports[x.By] == 0 {
		c.out.Log("heartbeats-missing", "peer", x.Addr, "by", x.By)
	}
	reports[x.By] = now
	fresh := 0
	for _, at := range reports {
		if now-at < 2*c.conf.Heartbeat {
			fresh++
		}
	}
	if 2*fresh > len(heartbeat.Watchers(c.state.Nodes, x.Addr, heartbeat.WatchersPerNode)) {
		delete(c.missed, key)
		c.out.Log("process-lost", "peer", x.Addr, "reports", fresh)
		c.askAsLeader(Command{Verb: Leave, Node: controlapi.Node{Addr: x.Addr, Incarnation: x.Incarnation}})
	}
}

// memberLost takes a shard leader's report on its replicas.
func (c *Control) memberLost(x controlapi.MemberLost) {
	if !c.forward(controlapi.KindMemberLost, x) {
		c.takeShardReport(x)
	}
}

func (c *Control) takeShardReport(x controlapi.MemberLost) {
	last := c.shardReports[x.Group]
	if last == nil {
		last = &shardReport{}
	}
	if last.Epoch > x.Epoch {
		return
	}
	var behind []paxos.Member
	if int(x.Group) < len(c.state.Shards) {
		for _, m := range c.state.Shards[x.Group].Learners {
			if index(x.Ready, m) < 0 {
				behind = append(behind, m)
			}
		}
	}
	c.shardReports[x.Group] = &shardReport{
		MemberLost:  x,
		at:          c.now,
		silentSince: c.since(last.silentSince, x.Silent),
		behindSince: c.since(last.behindSince, behind),
	}
}

// since gives when each of some replicas was first reported so, without a pause.
func (c *Control) since(before map[ids.ReplicaID]ids.Millis, replicas []paxos.Member) map[ids.ReplicaID]ids.Millis {
	out := map[ids.ReplicaID]ids.Millis{}
	for _, m := range replicas {
		out[m.ID] = c.now
		if at, ok := before[m.ID]; ok {
			out[m.ID] = at
		}
	}
	return out
}

// released takes a shard leader's report on the learners that may be let go.
func (c *Control) released(x controlapi.Released) {
	if c.forward(controlapi.KindReleased, x) || int(x.Group) >= len(c.state.Shards) {
		return
	}
	if c.releasedReports[x.Group].Epoch <= x.Epoch {
		c.releasedReports[x.Group] = releasedReport{Released: x, at: c.now}
	}
}

// releasedLearners gives the learners that a shard's leader, which made another report in
// that epoch, released of the placement as it is now.
func (c *Control) releasedLearners(group ids.Group, epoch ids.Ballot) []paxos.Member {
	r, found := c.releasedReports[group]
	if !found || int(group) >= len(c.state.Shards) || c.now-r.at > shardReportAge {
		return nil
	}
	if r.Epoch != epoch || r.At != c.state.Shards[group].At {
		return nil
	}
	return r.Learners
}
