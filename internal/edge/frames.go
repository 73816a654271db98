package edge

import (
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/shardapi"
	"oxbowdeck/internal/transport"
)

// onFrame takes a frame of another process, on its link's goroutine.
func (d *Daemon) onFrame(l *transport.Link, k transport.Kind, b []byte) {
	if k == shardapi.KindFlow { // the bulk of what comes: decoded beside the actor
		if x, ok := transport.Get[shardapi.Flow](b); ok {
			d.core.Actor.Do(func() { d.flow(l, x) })
		}
		return
	}
	d.core.Actor.Do(func() {
		now := ids.MonotonicNow()
		if !d.core.Frame(now, l, k, b) {
			d.handleStoreFrame(now, l, k, b)
		}
	})
}

// handleStoreFrame takes a store's frame.
func (d *Daemon) handleStoreFrame(now ids.Millis, l *transport.Link, k transport.Kind, b []byte) {
	switch k {
	case shardapi.KindFollowed:
		if x, ok := transport.Get[shardapi.Followed](b); ok {
			d.followed(now, l, x)
		}
	case shardapi.KindHeartbeat:
		if x, ok := transport.Get[shardapi.Heartbeat](b); ok {
			d.heartbeat(l, x)
		}
	case shardapi.KindLead:
		if x, ok := transport.Get[shardapi.Lead](b); ok {
			d.leaderChanged(x)
		}
	case shardapi.KindPong:
		if x, ok := transport.Get[shardapi.Ping](b); ok {
			d.pong(now, l, x)
		}
	case shardapi.KindTimes:
		if x, ok := transport.Get[shardapi.Times](b); ok {
			d.hearTimes(now, x)
		}
	case shardapi.KindJoined, shardapi.KindPiece:
		if x, ok := transport.Get[shardapi.Joined](b); ok && l == d.followedLink(x.Topic) {
			x.Piece = k == shardapi.KindPiece
			d.joined(x)
		}
	case shardapi.KindCounted:
		if x, ok := transport.Get[shardapi.Counted](b); ok {
			d.counted(x)
		}
	case shardapi.KindKnown:
		if x, ok := transport.Get[shardapi.Flow](b); ok {
			for _, o := range x.Outcomes {
				d.outcome(o)
			}
		}
	case shardapi.KindDeny:
		if x, ok := transport.Get[shardapi.Deny](b); ok {
			d.denied(x)
		}
	case shardapi.KindQuotaDenied:
		if x, ok := transport.Get[shardapi.QuotaDenied](b); ok {
			d.overQuota(x)
		}
	case shardapi.KindBye:
		if x, ok := transport.Get[shardapi.Bye](b); ok {
			d.followingEnded(now, l, x.Groups)
		}
	}
}
