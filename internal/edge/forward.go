package edge

import (
	"sort"

	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/shardapi"
)

// queue puts a call into its group's outbox.
func (d *Daemon) queue(x *call) {
	if !x.queued {
		x.queued = true
		d.outbox[x.group] = append(d.outbox[x.group], x)
	}
}

// lane tells calls apart that go to a leader in frames of their own.
type lane struct {
	group      ids.Group
	secondPath bool
	urgent     bool
}

// forward sends what is queued to the leaders, in the order it came, and what got no
// outcome soon once more on the second path.
func (d *Daemon) forward(now ids.Millis) {
	out := map[lane][]*call{}
	for _, x := range d.calls {
		if x.forwards > 0 && !x.retransmitted && !x.queued && now-x.sentAt >= d.bounds.retransmit {
			x.retransmitted = true
			to := lane{x.group, true, x.urgent}
			out[to] = append(out[to], x)
		}
	}
	for g, q := range d.outbox {
		if _, ok := d.leaders[g]; !ok {
			continue
		}
		for _, x := range q {
			x.queued = false
			if d.calls[x.request.ID] == x {
				x.sentAt = now
				x.forwards++
				if x.firstSentAt == 0 {
					x.firstSentAt = now
				}
				to := lane{g, false, x.urgent}
				out[to] = append(out[to], x)
			}
		}
		d.outbox[g] = q[:0]
	}
	for to, q := range out {
		d.sendCalls(to, q)
	}
}

// sendCalls sends calls to the leader of a group.
func (d *Daemon) sendCalls(to lane, q []*call) {
	sort.Slice(q, func(i, j int) bool { return q[i].order < q[j].order })
	p := shardapi.Propose{Group: to.group, Urgent: to.urgent, Again: to.secondPath}
	for _, x := range q {
		p.Reqs = append(p.Reqs, x.request)
		p.Again = p.Again || x.forwards > 1
	}
	link := d.core.Hub.To(d.leaders[to.group].Node)
	if to.secondPath {
		link = d.core.Hub.RetransmitLink(d.leaders[to.group].Node)
	}
	if !d.bounds.keys.Quotas {
		link.Send(shardapi.KindPropose, p)
		return
	}
	counted := shardapi.TenantPropose{Propose: p}
	for _, x := range q {
		counted.Tenants = append(counted.Tenants, x.tenant)
	}
	link.Send(shardapi.KindTenantPropose, counted)
}

// forwardAgain forwards every open call of a group once more, in the old order: the
// leader that held them may be gone. The ids make a second run harmless.
func (d *Daemon) forwardAgain(g ids.Group) {
	for _, x := range d.calls {
		if x.group == g && x.forwards > 0 {
			d.queue(x)
		}
	}
}

// leaderChanged takes a store's word on who leads a group.
func (d *Daemon) leaderChanged(x shardapi.Lead) {
	if old := d.leaders[x.Group]; x.Epoch <= old.Epoch {
		return // updates of leaders never go back
	}
	d.leaders[x.Group] = x
	d.forwardAgain(x.Group)
}

// giveUp answers the calls whose time is over, and those nothing can be done for
// now: no replica of their shard is heard. It forwards anew what got no outcome.
func (d *Daemon) giveUp(now ids.Millis) {
	for _, x := range d.calls {
		unreachable := x.conn != nil && now-x.since > d.bounds.unreachable/6 && d.unreachable(now, d.feeds[x.group])
		switch {
		case unreachable || now >= x.deadline:
			delete(d.calls, x.request.ID)
			cause := causeUnknown
			if x.forwards == 0 && !unreachable && d.neverForwarded(x.since, x.conn, x.request.ID) {
				cause = causeRetry
			}
			d.markUncertain(now, x)
			reason := "not decided in time"
			if unreachable {
				reason = "no replica of the shard is heard"
			}
			d.record(now, x, cause, reason)
			if x.conn == nil {
				continue
			}
			x.conn.answered(x)
			d.rejectPublish(x.conn, x.topic, x.seq, cause)
		case x.forwards > 0 && !x.queued && now-x.sentAt >= d.bounds.resend:
			d.queue(x)
		}
	}
}
