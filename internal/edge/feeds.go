package edge

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"sort"

	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/shardapi"
	"oxbowdeck/internal/transport"
)

// shardFeed is how one shard's decided order reaches this edge.
type shardFeed struct {
	group           ids.Group
	link            *transport.Link         // the replica followed
	candidate       *transport.Link         // the one being asked
	askedAt         ids.Millis              // when it was
	followedAt      ids.Millis              // the replica is followed since
	lostAt          ids.Millis              // when there last was no replica any more
	staleHeartbeats int                     // heartbeats in a row that called it stale
	latePongs       int                     // pings in a row that came back late
	nextReview      ids.Millis              // when a better replica is looked for
	avoid           map[ids.Node]ids.Millis // stores not to be asked, until when
	times           decidedTimes
	pieceAt         ids.Millis // when a piece of a large answer last came
}

// How long a store is not asked again to be followed.
const (
	avoidUnreached = ids.Millis(500)  // the link to it broke
	avoidUnready   = ids.Millis(250)  // it said that its replica is not up to date
	avoidMute      = ids.Millis(1000) // it did not answer
	avoidLeaving   = ids.Millis(1500) // it ended the following
	avoidSilent    = ids.Millis(2000) // it fell silent while followed
	avoidSlow      = ids.Millis(3000) // it answered pings late
)

const (
	askTimeout     = ids.Millis(500)  // for the answer to a Follow
	reviewInterval = ids.Millis(1000) // between looks for a better replica
	staleLimit     = 2                // heartbeats in a row that call a replica stale
	lateLimit      = 2                // late pongs in a row
)

// silence is how long the replica followed was not heard.
func (x *shardFeed) silence(now ids.Millis) ids.Millis {
	return now - max(x.followedAt, x.link.Heard())
}

// addFeeds makes a feed for each shard of the update.
func (d *Daemon) addFeeds(now ids.Millis) {
	for g := len(d.feeds); g < len(d.update().Shards); g++ {
		feed := &shardFeed{group: ids.Group(g), lostAt: now, avoid: map[ids.Node]ids.Millis{}}
		d.feeds = append(d.feeds, feed)
	}
}

// feedOf gives the feed of a topic's shard; nil before there are shards.
func (d *Daemon) feedOf(t ids.Topic) *shardFeed {
	if len(d.feeds) == 0 {
		return nil
	}
	return d.feeds[d.groupOf(t)]
}

// followedLink gives the link over which a topic's shard is followed.
func (d *Daemon) followedLink(t ids.Topic) *transport.Link {
	if x := d.feedOf(t); x != nil {
		return x.link
	}
	return nil
}

// topicsOf lists a shard's topics here.
func (d *Daemon) topicsOf(g ids.Group) (out []*followedTopic) {
	for _, t := range d.topics {
		if d.groupOf(t.name) == g {
			out = append(out, t)
		}
	}
	return out
}

// onLinkDown takes it that a link broke.
func (d *Daemon) onLinkDown(now ids.Millis, l *transport.Link) {
	for _, x := range d.feeds {
		if l == x.candidate {
			x.candidate = nil
			x.avoid[l.Peer().Node] = now + avoidUnreached
			if x.link == nil {
				d.askReplica(now, x)
			}
		}
		if l == x.link {
			d.abandon(now, x) // its own zone's replica is asked first again: a reset is no death
		}
	}
}

// abandon turns from the replica followed to another.
func (d *Daemon) abandon(now ids.Millis, x *shardFeed) {
	slog.Warn("replica-lost", "group", x.group, "peer", x.link.Peer().Node)
	x.link, x.lostAt = nil, now
	for _, t := range d.topicsOf(x.group) {
		t.flowing, t.resuming = false, false
	}
	x.askedAt = 0
	d.askReplica(now, x)
}

// replicas lists the stores that carry a shard: the own zone's first, and those
// of a zone in any order, so that edges spread. A store that is to be emptied and has
// no vote any more is about to be taken away.
func (d *Daemon) replicas(g ids.Group) []controlapi.Node {
	n := d.update()
	if int(g) >= len(n.Shards) {
		return nil
	}
	var out []controlapi.Node
	for _, m := range n.Shards[g].Voters {
		if x := n.Find(m.Node); x != nil && !x.Gone {
			out = append(out, *x)
		}
	}
	for _, m := range n.Shards[g].Learners {
		if x := n.Find(m.Node); x != nil && !x.Gone && !x.Empty {
			out = append(out, *x)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	zone := d.core.Self.Zone
	sort.SliceStable(out, func(i, j int) bool { return out[i].Zone == zone && out[j].Zone != zone })
	return out
}

// carries tells whether a link's peer is still placed to carry the shard.
func (d *Daemon) carries(x *shardFeed, l *transport.Link) bool {
	for _, r := range d.replicas(x.group) {
		if r.Addr == l.Peer().Node {
			return true
		}
	}
	return false
}

// watchFeeds turns from replicas that fell silent or stale, and back to the own
// zone's when it can be followed.
func (d *Daemon) watchFeeds(now ids.Millis) {
	if now >= d.nextPing {
		d.nextPing = now + d.bounds.replicaQuiet
		d.pingReplicas(now)
	}
	for _, x := range d.feeds {
		switch {
		case x.link != nil && x.silence(now) > d.bounds.replicaQuiet:
			x.avoid[x.link.Peer().Node] = now + avoidSilent
			x.link.Drop() // onLinkDown turns to another, for all shards followed there
		case x.link == nil || x.staleHeartbeats >= staleLimit:
			d.askReplica(now, x)
		case now >= x.nextReview:
			x.nextReview = now + reviewInterval
			if d.betterReplica(now, x) {
				d.askReplica(now, x)
			}
		}
	}
}

// pingReplicas pings each replica followed.
func (d *Daemon) pingReplicas(now ids.Millis) {
	pinged := map[*transport.Link]bool{}
	for _, x := range d.feeds {
		if x.link != nil && !pinged[x.link] {
			pinged[x.link] = true
			x.link.Send(shardapi.KindPing, shardapi.Ping{At: now})
		}
	}
}

// betterReplica tells whether to look for another replica than the one followed: that
// is in another zone, and no replica of this zone is avoided.
func (d *Daemon) betterReplica(now ids.Millis, x *shardFeed) bool {
	replicas := d.replicas(x.group)
	for _, r := range replicas {
		if r.Zone == d.core.Self.Zone && (r.Addr == x.link.Peer().Node || x.avoid[r.Addr] > now) {
			return false
		}
	}
	return len(replicas) > 0
}

// askReplica asks the best replica not just found wanting whether it can be followed;
// with none followed, at last one that is avoided.
func (d *Daemon) askReplica(now ids.Millis, x *shardFeed) {
	if x.candidate != nil {
		if now-x.askedAt < askTimeout {
			return
		}
		x.avoid[x.candidate.Peer().Node] = now + avoidMute
		if !d.follows(x.candidate) {
			x.candidate.Drop()
		}
		x.candidate = nil
	}
	self := d.core.Self
	follow := shardapi.Follow{Group: x.group, Edge: self.Addr, Incarnation: self.Incarnation}
	for _, r := range d.candidates(now, x) {
		l := d.core.Hub.To(r.Addr)
		if l.Send(shardapi.KindFollow, follow) {
			l.Send(shardapi.KindTakesPieces, struct{}{})
			x.candidate, x.askedAt = l, now
			return
		} // else it could not be reached a moment ago
	}
}

// candidates lists the replicas that are worth asking, the best first. With none
// followed, those that are avoided come last, the one first that is avoided the
// shortest: so none is asked twice before each other was.
func (d *Daemon) candidates(now ids.Millis, x *shardFeed) []controlapi.Node {
	var good, avoided []controlapi.Node
	for _, r := range d.replicas(x.group) {
		switch {
		case !d.worthAsking(x, r):
		case x.avoid[r.Addr] <= now:
			good = append(good, r)
		default:
			avoided = append(avoided, r)
		}
	}
	if x.link != nil {
		return good
	}
	sort.SliceStable(avoided, func(i, j int) bool { return x.avoid[avoided[i].Addr] < x.avoid[avoided[j].Addr] })
	return append(good, avoided...)
}

// worthAsking tells whether a replica may be better than the one followed, if any.
func (d *Daemon) worthAsking(x *shardFeed, r controlapi.Node) bool {
	switch {
	case x.link == nil:
		return true
	case r.Addr == x.link.Peer().Node:
		return false
	}
	return r.Zone == d.core.Self.Zone || x.staleHeartbeats >= staleLimit || !d.carries(x, x.link)
}

// follows tells whether any shard is followed over a link.
func (d *Daemon) follows(l *transport.Link) bool {
	for _, x := range d.feeds {
		if x.link == l {
			return true
		}
	}
	return false
}

// followed takes a replica's answer to whether it can be followed.
func (d *Daemon) followed(now ids.Millis, l *transport.Link, f shardapi.Followed) {
	if int(f.Group) >= len(d.feeds) {
		return
	}
	x := d.feeds[f.Group]
	if !f.Ready && l == x.link { // it was asked twice, and its second answer ends what the first began
		x.avoid[l.Peer().Node] = now + avoidUnready
		d.abandon(now, x)
		return
	}
	if l != x.candidate {
		return
	}
	x.candidate = nil
	if !f.Ready {
		x.avoid[l.Peer().Node] = now + avoidUnready
		return
	}
	if x.link != nil && x.link != l {
		x.link.Send(shardapi.KindBye, shardapi.Bye{Groups: []ids.Group{x.group}})
	}
	x.link, x.followedAt, x.staleHeartbeats, x.latePongs = l, now, 0, 0
	slog.Info("following", "group", x.group, "peer", l.Peer().Node)
	d.resumeAt(x)
}

// followingEnded takes a replica's word that it ends a following.
func (d *Daemon) followingEnded(now ids.Millis, l *transport.Link, groups []ids.Group) {
	for _, g := range groups {
		if int(g) < len(d.feeds) && d.feeds[g].link == l {
			d.feeds[g].avoid[l.Peer().Node] = now + avoidLeaving
			d.abandon(now, d.feeds[g])
		}
	}
}

// heartbeat takes a replica's heartbeat, which names the groups it is stale in.
func (d *Daemon) heartbeat(l *transport.Link, p shardapi.Heartbeat) {
	for _, x := range d.feeds {
		if x.link != l {
			continue
		}
		if slices.Contains(p.Stale, x.group) {
			x.staleHeartbeats++
		} else {
			x.staleHeartbeats = 0
		}
	}
}

// pong takes a replica's answer: one that answers late time and again works
// through its queue too slowly to be followed while another can be.
func (d *Daemon) pong(now ids.Millis, l *transport.Link, p shardapi.Ping) {
	for _, x := range d.feeds {
		if x.link != l {
			continue
		}
		if now-p.At < d.bounds.replicaLate || d.tookPiece(l, p.At) {
			x.latePongs = 0
			continue
		}
		if x.latePongs++; x.latePongs >= lateLimit {
			x.staleHeartbeats = staleLimit
			x.avoid[l.Peer().Node] = now + avoidSlow
		}
	}
}

// tookPiece tells whether a piece of a large answer came over a link since a time: other frames
// waited behind it.
func (d *Daemon) tookPiece(l *transport.Link, since ids.Millis) bool {
	for _, x := range d.feeds {
		if x.link == l && x.pieceAt >= since {
			return true
		}
	}
	return false
}

// pieceAt is when a piece of a large answer last came of a topic's shard: other answers wait behind it.
func (d *Daemon) pieceAt(t ids.Topic) ids.Millis {
	if x := d.feedOf(t); x != nil {
		return x.pieceAt
	}
	return 0
}

// unreachable tells whether a shard can be reached neither for a call nor for its
// outcome, and has not been for a while: then calls are answered at once.
func (d *Daemon) unreachable(now ids.Millis, x *shardFeed) bool {
	if x.link != nil {
		return x.silence(now) > d.bounds.unreachable
	}
	return now-x.lostAt > d.bounds.unreachable/2
}
