package store

import (
	"log/slog"

	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/shardapi"
	"oxbowdeck/internal/transport"
)

// receive takes a frame from a link and has the actor handle it.
func (d *Daemon) receive(link *transport.Link, kind transport.Kind, body []byte) {
	from := link.Peer().Node
	d.actor.Do(func() {
		if d.replicas.Frame(from, kind, body) || d.control.Frame(from, kind, body, ids.MonotonicNow()) {
			return
		}
		if d.queue != nil && d.queue.Frame(link, kind, body) {
			return
		}
		if d.admission != nil && d.admission.Frame(ids.MonotonicNow(), from, kind, body) {
			return
		}
		if d.handleRequest(link, kind, body) {
			return
		}
		if f := d.followers.find(link); f != nil {
			d.handleFollower(f, kind, body)
		}
	})
}

// handleRequest handles what any edge may ask; it tells whether the frame was one.
func (d *Daemon) handleRequest(link *transport.Link, kind transport.Kind, body []byte) bool {
	switch kind {
	case shardapi.KindFollow:
		shardapi.Handle(body, func(x shardapi.Follow) { d.follow(link, x) })
	case shardapi.KindPropose:
		shardapi.Handle(body, func(x shardapi.Propose) { d.propose(link, x) })
	case shardapi.KindTenantPropose:
		shardapi.Handle(body, func(x shardapi.TenantPropose) { d.proposeCounted(link, x) })
	case shardapi.KindHear:
		shardapi.Handle(body, func(x shardapi.Hear) { d.hear(link, x) })
	case shardapi.KindPing:
		shardapi.Handle(body, func(x shardapi.Ping) { d.pong(link, x) })
	default:
		return false
	}
	return true
}

// handleFollower handles what an edge asks about the groups that it follows here.
func (d *Daemon) handleFollower(f *follower, kind transport.Kind, body []byte) {
	switch kind {
	case shardapi.KindBye:
		shardapi.Handle(body, func(x shardapi.Bye) { d.followers.unfollowAll(f, x.Groups) })
	case shardapi.KindWatch:
		shardapi.Handle(body, func(x shardapi.Watch) { d.watch(f, x) })
	case shardapi.KindTakesPieces:
		f.pieces = true
	case shardapi.KindUnwatch:
		shardapi.Handle(body, func(x shardapi.Unwatch) { d.followers.unwatch(f, x.Topic) })
	case shardapi.KindCount:
		shardapi.Handle(body, func(x shardapi.Count) { d.count(f, x) })
	}
}

// linkDown has the actor forget a link that broke.
func (d *Daemon) linkDown(link *transport.Link) {
	idle := link.Idle() // its end says nothing of the peer
	d.actor.Do(func() {
		d.homeEdges.remove(link)
		d.followers.linkDown(link)
		if !idle {
			d.replicas.Down(link.Peer().Node)
		}
	})
}

// onUpdate takes a control update.
func (d *Daemon) onUpdate(update *controlapi.Update) {
	now := ids.MonotonicNow()
	d.detector.Nodes(update.Nodes, now)
	d.nextDuties = min(d.nextDuties, now+updateReaction)
	slog.Info("update", "seq", update.Seq, "release", update.Release,
		"nodes", len(update.Nodes), "shards", len(update.Shards))
	if d.queue != nil {
		d.queue.Update(update, now)
	}
	d.configureQuotas(update)
	d.homeEdges.broadcast(update)
}

// onLead tells followers that a group's leader changed.
func (d *Daemon) onLead(group ids.Group, ballot ids.Ballot, node ids.Node) {
	slog.Info("leader", "group", group, "epoch", ballot.Round(), "node", node)
	if d.admission != nil {
		d.admission.LeaderChanged(ids.MonotonicNow(), group)
	}
	d.followers.leaderChanged(shardapi.Lead{Group: group, Epoch: ballot, Node: node})
}
