package httpedge

import (
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/shardapi"
)

// queue puts a message into its group's outbox.
func (d *Daemon) queue(c *call) {
	if !c.queued {
		c.queued = true
		d.outbox[c.group] = append(d.outbox[c.group], c)
	}
}

// forwardAgain queues once more what was forwarded to a group and has no outcome.
func (d *Daemon) forwardAgain(g ids.Group) {
	for _, c := range d.calls {
		if c.group == g && c.forwards > 0 {
			d.queue(c)
		}
	}
}

// forward gives what is queued to the leaders.
func (d *Daemon) forward(now ids.Millis) {
	for g, q := range d.outbox {
		if x := d.leaders[g]; len(q) > 0 && x != nil && x.node != "" {
			d.sendCalls(now, g, x.node, q)
			d.outbox[g] = q[:0]
		}
	}
}

// sendCalls gives messages to a group's leader, those that may be there already apart.
func (d *Daemon) sendCalls(now ids.Millis, g ids.Group, leader ids.Node, q []*call) {
	first := shardapi.TenantPropose{Propose: shardapi.Propose{Group: g}}
	again := shardapi.TenantPropose{Propose: shardapi.Propose{Group: g, Again: true}}
	for _, c := range q {
		if c.group != g || !c.queued {
			continue // it went to another group, which alone may have it
		}
		c.queued = false
		if d.calls[c.request.ID] != c {
			continue
		}
		c.sentAt, c.sentTo = now, leader
		if c.firstSentAt == 0 {
			c.firstSentAt = now
		}
		d.routed.note(now, c.request.ID, g)
		to := &first
		if c.forwards++; c.forwards > 1 || c.forwardedBefore {
			to = &again
		}
		to.Propose.Reqs = append(to.Propose.Reqs, c.request)
		if d.bounds.keys.Quotas {
			to.Tenants = append(to.Tenants, c.tenant)
		}
	}
	d.sendProposal(leader, first)
	d.sendProposal(leader, again)
}

// sendProposal gives a leader messages, with whose limits they count against where there
// are limits.
func (d *Daemon) sendProposal(leader ids.Node, p shardapi.TenantPropose) {
	switch {
	case len(p.Propose.Reqs) == 0:
	case d.bounds.keys.Quotas:
		d.core.Hub.To(leader).Send(shardapi.KindTenantPropose, p)
	default:
		d.core.Hub.To(leader).Send(shardapi.KindPropose, p.Propose)
	}
}

// leaderGrace is how long a message waits for its group to have a leader before it is
// given to another group.
const leaderGrace = ids.Millis(40)

// giveUp answers the messages whose time is over, turns from a leader that does
// not answer, and moves those that were given to nobody from a group without one.
func (d *Daemon) giveUp(now ids.Millis) {
	for _, x := range d.leaders {
		x.oldestUnanswered = 0
	}
	for _, c := range d.calls {
		x := d.leaders[c.group]
		if c.forwards > 0 && x != nil && c.sentTo == x.node {
			x.waitsSince(c.sentAt)
		}
		switch {
		case now >= c.deadline:
			d.answer(c, outcome{reason: "not decided in time"})
		case c.forwards == 0 && (x == nil || x.node == "") && now-c.since > leaderGrace:
			if c.anyGroup && d.chooseGroup(c) {
				c.queued = false
				d.queue(c)
			} else if now-c.since > max(d.bounds.replicaQuiet, (c.deadline-c.since)/2) {
				d.answer(c, outcome{reason: "the shard has no leader now"})
			}
		case c.forwards > 0 && !c.queued && now-c.sentAt >= d.bounds.resend:
			if x != nil && x.node == c.sentTo && now-x.heardAt >= d.bounds.resend {
				d.forgetLeader(c.group, c.sentTo)
			}
			d.queue(c)
		}
	}
	for k, a := range d.inquiries {
		d.pursue(now, k, a)
	}
}
