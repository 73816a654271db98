package edge

import (
	"strconv"

	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/invariant"
	"oxbowdeck/internal/shardapi"
)

// handle handles one request of a client.
func (d *Daemon) handle(c *conn, w request) {
	if d.conns[c.id] != c {
		return // it ended while this request waited
	}
	now := ids.MonotonicNow()
	if now-c.heardAt > d.bounds.clientSilence {
		c.end() // this edge or the link stood still: what comes may be as old
		return
	}
	c.heardAt = now
	if c.keyed && d.keysLapsed(now) {
		d.endLapsed(now)
		return
	}
	if !d.handleSession(now, c, w) {
		d.handleTopic(now, c, w)
	}
}

// handleSession handles a request that is about no topic's space; false if it is not one.
func (d *Daemon) handleSession(now ids.Millis, c *conn, w request) bool {
	if w.cause != "" {
		c.reject(w.verb, w.topic, w.seq, w.cause)
		if w.fatal {
			c.endAfterFlush()
		}
		return true
	}
	switch {
	case w.verb == verbKeepalive:
		c.send([]byte("ALIVE\r\n"))
	case w.verb == verbAttach:
		d.attach(now, c, w)
	case c.client == "":
		c.reject(w.verb, w.topic, w.seq, causeMalformed)
	case w.verb == verbUnsubscribe:
		if t := d.topics[w.topic]; t != nil && t.subscribers[c] != nil {
			d.unsubscribe(t.subscribers[c])
		}
		c.send([]byte("SUCCESS UNSUB " + string(w.topic) + "\r\n"))
	default:
		return false
	}
	return true
}

// handleTopic handles a request about a topic of some space.
func (d *Daemon) handleTopic(now ids.Millis, c *conn, w request) {
	config := d.core.Updates.View().Config
	sp := config.Space(w.topic)
	if sp == nil {
		d.rejectIfCurrent(now, c, w, causeNoSpace)
		return
	}
	if !d.allowed(config, c, sp) {
		d.rejectIfCurrent(now, c, w, causeNoAuth)
		return
	}
	switch w.verb {
	case verbSubscribe:
		d.subscribe(now, c, w, sp)
	case verbPublish:
		d.publish(now, c, w, sp)
	case verbCensus:
		d.countSubscribers(now, c, w.topic)
	}
}

// countSubscribers asks the replica followed for the count of a topic's subscribers.
func (d *Daemon) countSubscribers(now ids.Millis, c *conn, t ids.Topic) {
	if len(d.censuses) >= d.bounds.maxCalls {
		c.reject(verbCensus, t, 0, causeRetry)
		return
	}
	d.lastRequest++
	d.censuses[d.lastRequest] = &census{conn: c, topic: t, since: now}
	if l := d.followedLink(t); l != nil { // else asked when one is followed
		l.Send(shardapi.KindCount, shardapi.Count{Req: d.lastRequest, Topic: t})
	}
}

// rejectIfCurrent rejects what the configuration rules out. Unless that is known to be
// the newest one, the client is told to try again: a newer one may allow it.
func (d *Daemon) rejectIfCurrent(now ids.Millis, c *conn, w request, cause string) {
	if !d.core.Updates.View().Current(now) {
		cause = causeRetry
		id := publishID(c, w.seq)
		if w.verb == verbPublish && (d.calls[id] != nil || !d.neverForwarded(now, c, id)) {
			cause = causeUnknown // an earlier try of this number may run
		}
	}
	if cause == causeNoSpace || cause == causeNoAuth {
		d.checkCurrent(now, cause)
	}
	if w.verb == verbPublish {
		d.recordUntaken(c, w, cause, "the configuration does not allow it, or is not known to be the newest")
		d.rejectPublish(c, w.topic, w.seq, cause)
		return
	}
	c.reject(w.verb, w.topic, w.seq, cause)
}

// checkCurrent compares the age of the configuration with how long it counts as the newest,
// where a request is turned down for what it says.
func (d *Daemon) checkCurrent(now ids.Millis, cause string) {
	if view := d.core.Updates.View(); !view.Current(now) {
		invariant.Violated(invariant.AnsweredWithinLease,
			"answer", cause, "release", view.Config.Release, "age_ms", view.ConfirmedAge(now))
	}
}

// census is a question for the count of a topic's subscribers, under way.
type census struct {
	conn  *conn
	topic ids.Topic
	since ids.Millis
}

// counted takes a replica's count of a topic's subscribers.
func (d *Daemon) counted(x shardapi.Counted) {
	if q := d.censuses[x.Req]; q != nil {
		delete(d.censuses, x.Req)
		q.conn.send([]byte("TALLY " + string(q.topic) + " " + strconv.Itoa(x.N) + "\r\n"))
	}
}

// forget forgets a connection.
func (d *Daemon) forget(c *conn) {
	if d.conns[c.id] != c {
		return
	}
	delete(d.conns, c.id)
	d.metrics.Connections(len(d.conns))
	for _, s := range c.subscriptions {
		d.unsubscribe(s)
	}
	for _, x := range c.calls {
		x.conn = nil
	}
	c.calls = nil
	for k, x := range d.censuses {
		if x.conn == c {
			delete(d.censuses, k)
		}
	}
}

// sweep gives up what waited too long and drops clients that fell silent.
func (d *Daemon) sweep(now ids.Millis) {
	for _, t := range d.topics {
		for _, s := range t.subscribers {
			if !s.active && now-max(s.since, d.pieceAt(t.name)) > d.bounds.joinWait {
				s.conn.reject(verbSubscribe, t.name, 0, causeRetry)
				d.unsubscribe(s)
			}
		}
	}
	for k, x := range d.censuses {
		if now-x.since > 2*d.bounds.joinWait {
			delete(d.censuses, k)
			x.conn.reject(verbCensus, x.topic, 0, causeRetry)
		}
	}
	for id, at := range d.uncertain {
		if now-at > uncertainFor {
			delete(d.uncertain, id)
		}
	}
	for _, c := range d.conns {
		if now-c.heardAt > d.bounds.clientSilence {
			c.end()
		}
	}
}
