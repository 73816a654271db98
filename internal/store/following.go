package store

import (
	"maps"
	"slices"

	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/shardapi"
	"oxbowdeck/internal/transport"
)

// follow answers an edge that asks for the decided order of a group.
func (d *Daemon) follow(link *transport.Link, request shardapi.Follow) {
	if d.followers.stale(link, request.Edge) {
		return
	}
	ready := d.serves(ids.MonotonicNow(), request.Group)
	d.followers.follow(link, request, ready)
	if ready {
		d.sendTimes(link, request.Group)
	}
}

// pong answers an edge's ping, and tells how far decided time has come in what it follows.
func (d *Daemon) pong(link *transport.Link, ping shardapi.Ping) {
	link.Send(shardapi.KindPong, ping)
	if f := d.followers.find(link); f != nil {
		d.sendTimes(link, slices.Collect(maps.Keys(f.groups))...)
	}
}

// sendTimes tells an edge decided time in some groups.
func (d *Daemon) sendTimes(link *transport.Link, groups ...ids.Group) {
	var times shardapi.Times
	for _, group := range groups {
		if shard := d.shards.find(group); shard != nil {
			times.Groups = append(times.Groups, shardapi.GroupTime{Group: group, Time: shard.state.Clock()})
		}
	}
	if len(times.Groups) > 0 {
		link.Send(shardapi.KindTimes, times)
	}
}

// watch answers a follower that asks for a topic: with what it missed, and then
// with each message as it is decided.
func (d *Daemon) watch(f *follower, request shardapi.Watch) {
	shard := d.shards.find(d.groupOf(request.Topic))
	if shard == nil || !f.groups[shard.group] {
		return // a following that ended: the edge asks elsewhere
	}
	f.flush() // what was decided before this answer goes before it
	joined := shardapi.Joined{Req: request.Req, Topic: request.Topic, End: shard.state.End()}
	if request.Has {
		items, complete := shard.state.After(request.Topic, request.From)
		if !complete && request.Keeps {
			joined.Expired = true
		} else {
			joined.Items = items
		}
	}
	if f.pieces {
		shorten(&joined, d.pieceBytes)
	}
	if !joined.Expired && !joined.Piece {
		d.followers.watch(f, request.Topic)
	}
	kind := shardapi.KindJoined
	if joined.Piece {
		kind = shardapi.KindPiece
	}
	f.link.Send(kind, joined)
}

// shorten leaves the first piece of a large answer.
func shorten(joined *shardapi.Joined, pieceBytes int) {
	bytes := 0
	for i := range joined.Items {
		if bytes += len(joined.Items[i].Body); bytes >= pieceBytes && i+1 < len(joined.Items) {
			joined.Items = joined.Items[:i+1]
			joined.End = joined.Items[i].Pos
			joined.Piece = true
			return
		}
	}
}

// count answers how many clients are subscribed to a topic.
func (d *Daemon) count(f *follower, request shardapi.Count) {
	if shard := d.shards.find(d.groupOf(request.Topic)); shard != nil {
		counted := shardapi.Counted{Req: request.Req, N: shard.state.Count(request.Topic)}
		f.link.Send(shardapi.KindCounted, counted)
	}
}
