package httpedge

import (
	"oxbowdeck/internal/codec"
	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/dispatch"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
	"oxbowdeck/internal/queue"
	"oxbowdeck/internal/shardapi"
)

// verdict on a message that was handed in.
type verdict uint8

const (
	verdictUnknown   verdict = iota // it may have been taken
	verdictDecided                  // it lasts
	verdictNever                    // it was not taken, and never will be
	verdictOverQuota                // likewise, because its tenant is at its limit
)

// outcome is what became of a message that was handed in.
type outcome struct {
	verdict verdict
	group   ids.Group
	reason  string // unless it was decided
}

// call is a message on its way through the decided order.
type call struct {
	request         paxos.Request
	group           ids.Group
	tenant          ids.Tenant // whose limit it counts against, if any
	anyGroup        bool       // any group will do, as long as it was given to none
	deadline        ids.Millis
	since           ids.Millis
	sentAt          ids.Millis // when it was last forwarded
	firstSentAt     ids.Millis // when it was first forwarded; 0: not yet
	sentTo          ids.Node
	forwards        int
	forwardedBefore bool // before this call: it may be taken whatever becomes of this one
	queued          bool // in the outbox
	waiters         []chan outcome
}

// maxWaiters bounds who waits for one message.
const maxWaiters = 4

// propose has a message decided, and waits for that.
func (d *Daemon) propose(route *controlapi.Space, m *queue.Message, wait ids.Millis) outcome {
	b, err := codec.Marshal(queue.Command{Verb: queue.Accept, Msg: m})
	if err != nil {
		return outcome{verdict: verdictNever, reason: "the message can't be encoded"}
	}
	got := make(chan outcome, 1)
	c := &call{request: paxos.Request{ID: paxos.ID{Origin: m.Name()}, Data: b}, waiters: []chan outcome{got}}
	if d.bounds.keys.Quotas {
		c.tenant = m.Tenant
	}
	d.core.Actor.Do(func() {
		c.since = ids.MonotonicNow()
		c.deadline = c.since + max(wait-answerMargin, wait/2)
		d.admit(route, m.Key, c)
	})
	return <-got
}

// answerMargin is how long before a client stops waiting its answer is to leave.
const answerMargin = ids.Millis(30)

// admit takes up a message. One that is under way here already has one more that
// waits for it.
func (d *Daemon) admit(route *controlapi.Space, key string, c *call) {
	if old := d.calls[c.request.ID]; old != nil {
		if len(old.waiters) >= maxWaiters {
			c.forwardedBefore = true
			d.answer(c, outcome{reason: "a message of this id is under way here"})
			return
		}
		old.waiters = append(old.waiters, c.waiters...)
		return
	}
	c.group, c.anyGroup = dispatch.ShardOf(d.core.Updates.View().Config, route, key, d.core.Shards())
	g, forwarded := d.routed.group(c.request.ID)
	if c.forwardedBefore = forwarded; c.anyGroup && forwarded {
		c.group, c.anyGroup = g, false
	}
	switch {
	case d.core.Shards() == 0 || len(d.calls) >= d.bounds.maxCalls || d.bytesHeld() > d.bounds.maxBytes:
		d.answer(c, outcome{reason: "too much is under way here"})
	default:
		if c.anyGroup {
			d.chooseGroup(c) // with no leader known it waits for one, as the others do
		}
		d.calls[c.request.ID] = c
		d.queue(c)
	}
}

// bytesHeld is the bytes of the messages under way.
func (d *Daemon) bytesHeld() (n int) {
	for _, c := range d.calls {
		n += len(c.request.Data)
	}
	return n
}

// answer ends a message's wait. One that was given to nobody, now or before, will
// never run.
func (d *Daemon) answer(c *call, a outcome) {
	if d.calls[c.request.ID] == c {
		delete(d.calls, c.request.ID)
	}
	if a.verdict == verdictUnknown && c.forwards == 0 && !c.forwardedBefore {
		a.verdict = verdictNever
	}
	a.group = c.group
	d.record(ids.MonotonicNow(), c, a)
	for _, got := range c.waiters {
		got <- a
	}
}

// decided takes a store's word that a message was decided.
func (d *Daemon) decided(now ids.Millis, id paxos.ID) {
	if c := d.calls[id]; c != nil {
		if x := d.leaders[c.group]; x != nil {
			x.heardAt = now
		}
		d.answer(c, outcome{verdict: verdictDecided})
	}
}

// deniedPause is how soon a message goes again that a store did not take.
const deniedPause = ids.Millis(30)

// passBy notes that a message's group has no room, and tells whether the message
// may go to another one that has, as far as is known here.
func (d *Daemon) passBy(now ids.Millis, c *call) bool {
	if x := d.leaders[c.group]; x != nil {
		x.fullUntil = now + fullPause
	}
	if !c.anyGroup || !d.chooseGroup(c) {
		return false
	}
	return now >= d.leaders[c.group].fullUntil
}

// overQuota takes a store's word that it did not take messages because of their tenants'
// limits. If that was the one copy there is, it never runs; of another copy the outcome may
// yet come.
func (d *Daemon) overQuota(now ids.Millis, from ids.Node, x shardapi.QuotaDenied) {
	for _, id := range x.IDs {
		c := d.calls[id]
		if c == nil || c.group != x.Group || c.sentTo != from {
			continue
		}
		if l := d.leaders[c.group]; l != nil {
			l.heardAt = now
		}
		if c.forwards == 1 && !c.forwardedBefore {
			d.answer(c, outcome{verdict: verdictOverQuota, reason: "the tenant is at its limit"})
		}
	}
}

// denied takes a store's word that it did not take messages. If that was the one
// copy there is, it never runs.
func (d *Daemon) denied(now ids.Millis, from ids.Node, x shardapi.Deny) {
	if !x.Full {
		d.forgetLeader(x.Group, from)
	}
	for _, id := range x.IDs {
		c := d.calls[id]
		if c == nil || c.group != x.Group || c.sentTo != from {
			continue
		}
		if c.forwards == 1 {
			c.forwards = 0 // as if it had never been sent
			if x.Full && !d.passBy(now, c) {
				d.answer(c, outcome{reason: "too much waits at the shard"})
				continue
			}
		}
		if c.forwards == 0 && c.anyGroup {
			c.queued = false
			if d.chooseGroup(c) {
				d.queue(c)
				continue
			}
		}
		c.sentAt = now - d.bounds.resend + deniedPause
		if c.forwards == 0 {
			c.queued = false
			d.queue(c)
		}
	}
	d.findLeaders(now)
}
