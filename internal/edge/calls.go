package edge

import (
	"strconv"

	"oxbowdeck/internal/codec"
	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/invariant"
	"oxbowdeck/internal/paxos"
	"oxbowdeck/internal/shardapi"
	"oxbowdeck/internal/topic"
)

// call is a request on its way through the decided order.
type call struct {
	request       paxos.Request
	group         ids.Group
	order         uint64 // in which calls came
	topic         ids.Topic
	tenant        ids.Tenant // whose limit it counts against, if any
	seq           ids.Seq
	conn          *conn // nil: nobody waits for the answer
	since         ids.Millis
	deadline      ids.Millis
	sentAt        ids.Millis // when it was last forwarded
	firstSentAt   ids.Millis // when it was first forwarded; 0: not yet
	release       int64      // of the configuration that it was taken under
	forwards      int        // on the first path
	queued        bool       // in the outbox
	urgent        bool       // of a space above the lowest level
	retransmitted bool       // forwarded once more on the second path
}

// copies counts the copies of a call that were sent to leaders. Only when the
// one copy there is was turned away is it sure that the call never runs.
func (c *call) copies() int {
	if c.retransmitted {
		return c.forwards + 1
	}
	return c.forwards
}

// publishID is the number of a client's publish in the decided order.
func publishID(c *conn, seq ids.Seq) paxos.ID {
	return paxos.ID{Origin: string(c.client), Seq: uint64(seq)}
}

// publish has a client's message decided.
func (d *Daemon) publish(now ids.Millis, c *conn, w request, sp *controlapi.Space) {
	id := publishID(c, w.seq)
	if old := d.calls[id]; old != nil {
		d.publishAgain(old, c, w)
		return
	}
	if len(d.calls) >= d.bounds.maxCalls || len(c.calls) >= d.bounds.callsPerClient || len(d.update().Shards) == 0 {
		cause := causeUnknown
		if d.neverForwarded(now, c, id) {
			cause = causeRetry // never forwarded
		}
		d.recordUntaken(c, w, cause, "too much is under way at the edge, or there are no shards yet")
		d.rejectPublish(c, w.topic, w.seq, cause)
		return
	}
	d.refused.sentAgain(id)
	keep := ids.Millis(0)
	if sp.Retained() {
		keep = ids.Millis(sp.KeepS * 1000)
	}
	guard := ids.Millis(sp.GuardMs)
	x := &call{
		conn: c, topic: w.topic, seq: w.seq, tenant: d.countedTenant(c), urgent: d.core.Updates.View().Config.Urgent(sp),
		deadline: now + max(guard-d.bounds.giveUpMargin, guard/2),
	}
	d.submit(now, x, id, topic.Command{
		Verb: topic.Publish, Topic: w.topic, Client: c.client, Seq: w.seq, Body: w.body,
		Edge: d.core.Self.Addr, Keep: keep, AsOf: d.asOf(now, c, w.topic),
	})
}

// publishAgain takes a number that is under way: the same call again, perhaps from a
// newer connection, or another that uses its number.
func (d *Daemon) publishAgain(old *call, c *conn, w request) {
	if old.topic != w.topic {
		c.reject(verbPublish, w.topic, w.seq, causeRetry)
		return
	}
	if old.conn != nil {
		old.conn.answered(old)
	}
	c.await(old)
}

// submit puts a command on its way to its group's leader.
func (d *Daemon) submit(now ids.Millis, x *call, id paxos.ID, cmd topic.Command) {
	b, err := codec.Marshal(cmd)
	if err != nil {
		return
	}
	d.lastOrder++
	x.since, x.release = now, d.core.Updates.View().Config.Release
	x.request, x.order = paxos.Request{ID: id, Data: b}, d.lastOrder
	x.group = ids.GroupOf(cmd.Topic, len(d.update().Shards))
	d.addCall(x)
	d.queue(x)
}

// addCall takes a call into the tables.
func (d *Daemon) addCall(x *call) {
	d.calls[x.request.ID] = x
	if x.conn != nil {
		x.conn.await(x)
	}
}

// submitSeat tells the shard who sits where; the count of subscribers reads it.
func (d *Daemon) submitSeat(now ids.Millis, s *subscription, v topic.Verb) {
	if len(d.update().Shards) == 0 {
		return
	}
	c, t, self := s.conn, s.topic.name, d.core.Self
	c.lastSeatCall++
	incarnation, conn := strconv.FormatUint(uint64(self.Incarnation), 36), strconv.FormatUint(c.id, 36)
	id := paxos.ID{Origin: string(self.Addr) + "#" + incarnation + "." + conn, Seq: c.lastSeatCall}
	d.submit(now, &call{topic: t, deadline: now + subscriptionTimeout}, id, topic.Command{
		Verb: v, Topic: t, Client: c.client, Edge: self.Addr, Incarnation: self.Incarnation, Conn: s.number,
	})
}

// subscriptionTimeout is how long a subscription change is forwarded until it is given up.
const subscriptionTimeout = ids.Millis(10000)

// resubmitSubscriptions has every subscription here decided once more for a new
// incarnation: those of the old one are ended.
func (d *Daemon) resubmitSubscriptions(now ids.Millis) {
	for _, t := range d.topics {
		for _, s := range t.subscribers {
			if s.active {
				d.submitSeat(now, s, topic.Subscribe)
			}
		}
	}
}

// outcome takes what the decided order says of a call.
func (d *Daemon) outcome(o shardapi.Outcome) {
	d.refused.check(o.ID, o.Verdict)
	x := d.calls[o.ID]
	if x == nil {
		return
	}
	delete(d.calls, o.ID)
	if x.conn == nil {
		return
	}
	if publishID(x.conn, x.seq) != o.ID {
		invariant.Violated(invariant.AnswerBelongs,
			"origin", o.ID.Origin, "number", o.ID.Seq, "client", x.conn.client, "seq", x.seq)
	}
	x.conn.answered(x)
	d.answerDecided(ids.MonotonicNow(), x, o.Verdict)
}

// answerDecided answers a client whose publish was decided.
func (d *Daemon) answerDecided(now ids.Millis, x *call, verdict topic.Verdict) {
	switch verdict {
	case topic.Refused:
		d.record(now, x, causeRetry, "decided: a later number of the client was accepted on the topic")
		d.rejectPublish(x.conn, x.topic, x.seq, causeRetry)
	case topic.TooOld: // of this copy alone: another may have been accepted, or will be
		d.markUncertain(now, x)
		d.record(now, x, causeUnknown, "decided: its client was forgotten since it may have been written")
		d.rejectPublish(x.conn, x.topic, x.seq, causeUnknown)
	default:
		d.record(now, x, outcomeAccepted, "")
		d.metrics.Accepted()
		x.conn.send([]byte("ACK " + string(x.topic) + " " + strconv.FormatUint(uint64(x.seq), 10) + "\r\n"))
	}
}

// overQuota takes a store's word that calls were not taken because of their tenants'
// limits.
func (d *Daemon) overQuota(x shardapi.QuotaDenied) {
	now := ids.MonotonicNow()
	for _, id := range x.IDs {
		c := d.calls[id]
		if c == nil {
			continue
		}
		delete(d.calls, id)
		cause := causeUnknown
		if c.copies() == 1 && d.neverForwarded(c.since, c.conn, id) {
			cause = causeRetry // the only copy was turned away
		} else {
			d.markUncertain(now, c)
		}
		d.record(now, c, cause, "the tenant is at its limit")
		if c.conn != nil {
			c.conn.answered(c)
			d.metrics.OverQuota()
			if cause == causeRetry {
				d.refused.add(id)
			}
			c.conn.send(reject(nil, verbPublish, c.topic, c.seq, cause))
		}
	}
}

// deniedPause is how soon a call goes again that a store did not take: its group's
// leader is changing.
const deniedPause = ids.Millis(50)

// denied takes a store's word that it did not take calls.
func (d *Daemon) denied(x shardapi.Deny) {
	for _, id := range x.IDs {
		c := d.calls[id]
		if c == nil {
			continue
		}
		if x.Full && c.copies() == 1 && c.conn != nil && d.neverForwarded(c.since, c.conn, id) {
			// the only forward was turned away: it has not run and never will
			delete(d.calls, id)
			c.conn.answered(c)
			d.record(ids.MonotonicNow(), c, causeRetry, "the store is full")
			d.rejectPublish(c.conn, c.topic, c.seq, causeRetry)
			continue
		}
		c.sentAt = ids.MonotonicNow() - d.bounds.resend + deniedPause
	}
}
