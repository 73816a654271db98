package control

import (
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
)

// Times of what the leader does of itself.
const (
	leaderTasksEvery   = ids.Millis(250)
	expireWorkersEvery = ids.Millis(400)
	shardReportAge     = ids.Millis(3000) // an older report of a shard's leader is not acted on
	movePause          = ids.Millis(500)  // lets a move come into force, and be told
	foundingPause      = ids.Millis(1000) // no store joined for so long: the shards are placed
	foundFewerAfter    = ids.Millis(5000) // the same, on fewer stores than the losses to be borne ask for
	memberHeardWithin  = ids.Millis(1000)
	learnerStuckAfter  = ids.Millis(30_000) // a snapshot of a full disk travels for 20 s
)

// leaderTasks are done by the group's leader alone, while it is sure to lead, under
// its term: what is decided of them after another's term began changes nothing.
func (c *Control) leaderTasks() {
	c.logShortfall()
	term, _ := c.core.Leader()
	if c.core.Role() != paxos.Leader || !c.current() {
		c.counted, c.foundAt = 0, c.now
		return
	}
	if c.state.Term != term {
		c.askAsLeader(Command{Verb: BeginTerm})
		return
	}
	c.members()
	if len(c.state.Shards) == 0 {
		c.found()
		return
	}
	if c.now >= c.moveAt {
		c.moveShards()
	}
}

// moveShards makes the next changes of the shards' placement.
func (c *Control) moveShards() {
	moves := c.state.Moves(c.freshReports())
	for _, m := range moves {
		c.out.Log("move", "do", m.Verb.String(), "group", m.Group, "from", m.From.Node, "to", m.To.Node)
		c.askAsLeader(m)
	}
	if len(moves) > 0 {
		c.moveAt = c.now + movePause
	}
}

// freshReports gives what the shards' leaders reported lately.
func (c *Control) freshReports() map[ids.Group]Report {
	reports := map[ids.Group]Report{}
	for group, last := range c.shardReports {
		if c.now-last.at > shardReportAge {
			continue
		}
		r := Report{
			MemberLost: last.MemberLost,
			Long:       map[ids.ReplicaID]bool{},
			Stuck:      map[ids.ReplicaID]bool{},
			Released:   c.releasedLearners(group, last.Epoch),
		}
		for replica, at := range last.silentSince {
			r.Long[replica] = c.now-at >= c.conf.Replace
		}
		for replica, at := range last.behindSince {
			r.Stuck[replica] = c.now-at >= learnerStuckAfter
		}
		reports[group] = r
	}
	return reports
}

// found places the shards once the stores that are there no longer become more.
func (c *Control) found() {
	stores := c.state.usableStores()
	if stores != c.counted {
		c.counted, c.foundAt = stores, c.now
		return
	}
	pause, fewer := foundingPause, stores < 2*c.conf.Losses+1
	if fewer {
		pause = foundFewerAfter
	}
	if stores == 0 || c.now-c.foundAt < pause {
		return
	}
	shards := c.conf.Shards
	if shards == 0 {
		shards = c.state.shards(c.conf.Queue, stores)
	}
	c.askAsLeader(Command{Verb: Found, Shards: shards, Losses: c.conf.Losses, Fewer: fewer})
}

// members sees to the group's own membership.
func (c *Control) members() {
	core, now := c.core, c.now
	if core.MembershipRecorded() && !paxos.SameMembers(c.state.Recorded, core.Voters()) {
		c.askAsLeader(Command{Verb: RecordMembership, Members: core.Voters()})
	}
	view := GroupView{
		Self:     c.conf.Self.Num,
		Recorded: core.MembershipRecorded(),
		Heard:    func(n ids.ReplicaID) bool { return core.HeardWithin(now, n, memberHeardWithin) },
		Silent:   func(n ids.ReplicaID) bool { return core.SilentFor(now, n) >= c.conf.ControlReplace },
		CaughtUp: core.CaughtUp,
	}
	next, why, who := c.state.Members(core.Voters(), c.conf.Losses, view)
	if next != nil && core.ChangeMembership(now, next) == nil {
		c.out.Log("control-membership-change", "members", len(next), "why", why, "node", who)
	}
}
