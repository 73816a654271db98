package edge

import (
	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/shardapi"
	"oxbowdeck/internal/topic"
)

// followedTopic is a topic that some client here has subscribed to.
type followedTopic struct {
	name          ids.Topic
	last          ids.Position // everything up to here was handed to the active subscriptions
	subscribers   map[*conn]*subscription
	flowing       bool   // the replica followed flows it
	resuming      bool   // pieces of what was missed are to come: what flows is among them
	resumeRequest uint64 // asked for when it was last taken up at another replica
	recent        recentMessages
}

// reached takes it that a subscription was handed everything up to a place, unless it is behind.
// A replica may lag: then the topic's place is that of the lowest of its subscriptions, from which
// it is taken up at another replica, and the others pass over what they had.
func (t *followedTopic) reached(end ids.Position, behind bool) {
	if !behind && !t.resuming {
		t.last = end
	}
}

// retained tells whether a subscription is to a space that keeps its messages.
func (t *followedTopic) retained() bool {
	for _, s := range t.subscribers {
		if s.retained {
			return true
		}
	}
	return false
}

// subscription is one client's to a topic.
type subscription struct {
	conn     *conn
	topic    *followedTopic
	request  uint64       // under which the replica followed was asked
	active   bool         // the replica answered
	behind   bool         // more was missed than there was room for; nothing is handed to it meanwhile
	last     ids.Position // everything up to here was handed to the client
	sent     ids.Position // the last message that was handed to it
	from     ids.Position // where the client takes it up, if hasFrom
	hasFrom  bool
	cursor   string // the same, as the client wrote it
	since    ids.Millis
	retained bool   // the space keeps its messages
	number   uint64 // of its change in the decided order
}

// subscribe begins a client's subscription, or repeats the answer to it.
func (d *Daemon) subscribe(now ids.Millis, c *conn, w request, sp *controlapi.Space) {
	t := d.topics[w.topic]
	if t != nil && t.subscribers[c] != nil {
		s := t.subscribers[c]
		if s.active {
			c.sendSubscribed(t.name, ids.Cursor(d.groupOf(t.name), s.last))
		}
		return
	}
	if limit := d.core.Updates.View().Config.Limits.Subscriptions; limit > 0 && len(c.subscriptions) >= limit {
		d.rejectIfCurrent(now, c, w, causeTooLarge)
		return
	}
	if len(d.update().Shards) == 0 {
		c.reject(verbSubscribe, w.topic, 0, causeRetry)
		return
	}
	s := &subscription{conn: c, since: now, cursor: w.arg, retained: sp.Retained()}
	if w.arg != "" {
		g, p, ok := ids.ParseCursor(w.arg)
		switch {
		case ok && g == d.groupOf(w.topic):
			s.from, s.hasFrom = p, true
		case s.retained:
			d.rejectIfCurrent(now, c, w, causeExpired) // by the shards there are and the space's class
			return
		default:
			s.cursor = "" // a live space holds nothing to take up: from now on
		}
	}
	if t == nil {
		t = &followedTopic{name: w.topic, subscribers: map[*conn]*subscription{}}
		d.topics[w.topic] = t
	}
	d.addSubscription(t, s)
	d.metrics.Subscribed()
	d.requestJoin(s)
}

// addSubscription takes a client's subscription to a topic into the tables.
func (d *Daemon) addSubscription(t *followedTopic, s *subscription) {
	s.topic = t
	t.subscribers[s.conn] = s
	if s.conn.subscriptions == nil {
		s.conn.subscriptions = map[ids.Topic]*subscription{}
	}
	s.conn.subscriptions[t.name] = s
}

// groupOf gives the shard of a topic.
func (d *Daemon) groupOf(t ids.Topic) ids.Group {
	return ids.GroupOf(t, max(1, len(d.update().Shards)))
}

// requestJoin puts a waiting subscription to the replica followed.
func (d *Daemon) requestJoin(s *subscription) {
	l := d.followedLink(s.topic.name)
	if l == nil {
		return // asked when one is followed
	}
	delete(d.joins, s.request)
	d.lastRequest++
	s.request = d.lastRequest
	d.joins[s.request] = s
	s.topic.flowing = true
	watch := shardapi.Watch{
		Req: s.request, Topic: s.topic.name, From: s.from, Has: s.hasFrom, Keeps: s.retained,
	}
	if s.behind {
		watch.From, watch.Has = s.last, true
	}
	l.Send(shardapi.KindWatch, watch)
}

// unsubscribe ends a subscription.
func (d *Daemon) unsubscribe(s *subscription) {
	t := s.topic
	delete(t.subscribers, s.conn)
	delete(s.conn.behind, s)
	delete(d.joins, s.request)
	delete(s.conn.subscriptions, t.name)
	d.metrics.Unsubscribed()
	if s.active {
		d.submitSeat(ids.MonotonicNow(), s, topic.Unsubscribe)
	}
	if len(t.subscribers) == 0 {
		delete(d.topics, t.name)
		if l := d.followedLink(t.name); t.flowing && l != nil {
			l.Send(shardapi.KindUnwatch, shardapi.Unwatch{Topic: t.name})
		}
	}
}

// joined takes the replica's answer to a Watch.
func (d *Daemon) joined(j shardapi.Joined) {
	if x := d.feedOf(j.Topic); x != nil && j.Piece {
		x.pieceAt = ids.MonotonicNow()
	}
	s := d.joins[j.Req]
	if s == nil { // whoever asked is gone, unless a topic was taken up at another replica
		if t := d.topics[j.Topic]; t != nil && t.resumeRequest == j.Req {
			d.resume(t, j)
		}
		return
	}
	delete(d.joins, j.Req)
	if s.behind {
		d.joinedBehind(s, j)
		return
	}
	if j.Expired {
		d.rejectIfCurrent(ids.MonotonicNow(), s.conn, request{verb: verbSubscribe, topic: j.Topic}, causeExpired)
		d.unsubscribe(s)
		return
	}
	s.active = true
	d.lastSubscription++
	s.number = d.lastSubscription
	cursor := s.cursor
	if s.hasFrom {
		s.last = s.from
	} else {
		s.last = j.End
		cursor = ids.Cursor(d.groupOf(j.Topic), j.End)
	}
	s.conn.sendSubscribed(j.Topic, cursor)
	d.catchUp(s, j)
	s.topic.reached(j.End, s.behind)
	d.submitSeat(ids.MonotonicNow(), s, topic.Subscribe)
}
