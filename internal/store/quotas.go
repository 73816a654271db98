package store

import (
	"log/slog"
	"strconv"

	"oxbowdeck/internal/admission"
	"oxbowdeck/internal/codec"
	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
	"oxbowdeck/internal/proposals"
	"oxbowdeck/internal/queue"
	"oxbowdeck/internal/quota"
	"oxbowdeck/internal/settings"
	"oxbowdeck/internal/shardapi"
	"oxbowdeck/internal/topic"
	"oxbowdeck/internal/transport"
)

// newAdmission makes the admission of a deployment that limits what tenants send; nil
// where nothing is limited.
func newAdmission(d *Daemon) *admission.Admission {
	if !d.settings.InForce(settings.ContractQuota) {
		return nil
	}
	policy := quota.Policy{
		Window: ids.Millis(d.settings.QuotaS * 1000),
		Excess: d.settings.QuotaExcess,
		Slack:  d.settings.QuotaSlack,
	}
	return admission.New(d.self.Addr, policy, waitLimit(d.settings), quotaCluster{d})
}

const (
	// forwardAgain is after how long an edge of messages hands one in again, unless the
	// settings say otherwise.
	forwardAgain = 250
	// waitPercent is the part of it for which a message may wait for tokens.
	waitPercent = 80
)

// waitLimit is how long messages wait for tokens at most. An edge of messages can promise
// that one which is refused never runs only while it has handed in no other copy.
func waitLimit(set *settings.Settings) ids.Millis {
	if set.Kind != settings.Queue {
		return quota.DefaultWaitLimit
	}
	again := ids.Millis(set.Int("forward_again_ms", forwardAgain))
	return min(quota.DefaultWaitLimit, again*waitPercent/100)
}

// configureQuotas takes up the limits of an update, if it brings another configuration.
// They are read beside the actor: with thousands of routes that takes a while. Only the
// newest configuration is read next, however many came meanwhile.
func (d *Daemon) configureQuotas(update *controlapi.Update) {
	if d.admission == nil || d.readingQuotas || update.Release == d.quotaRelease {
		return
	}
	d.readingQuotas = true
	go func() {
		tenants, err := controlapi.ReadTenants(update.Config)
		d.actor.Do(func() {
			d.readingQuotas = false
			d.quotaRelease = update.Release
			if err != nil {
				slog.Warn("config-unreadable", "release", update.Release, "err", err)
			} else {
				d.admission.Configure(tenants)
			}
			if newest := d.control.Update; newest != nil {
				d.configureQuotas(newest)
			}
		})
	}()
}

// reserved takes it that a reservation was applied to the state of a group here.
func (d *Daemon) reserved(group ids.Group, reserve *quota.Reserve, granted int) {
	if d.admission != nil {
		d.admission.Reserved(ids.MonotonicNow(), group, reserve, granted)
	}
}

// proposeCounted puts the requests of an edge to the leader of their group, those of
// tenants once they are counted.
func (d *Daemon) proposeCounted(link *transport.Link, proposal shardapi.TenantPropose) {
	tenants := map[paxos.ID]ids.Tenant{}
	for i, request := range proposal.Propose.Reqs {
		if tenant := proposal.TenantOf(i); tenant != "" {
			tenants[request.ID] = tenant
		}
	}
	head := proposal.Propose
	head.Reqs = nil
	counted := countedProposal{d: d, link: link, head: head}
	handler := counted.uncounted()
	submit := handler.Submit
	handler.Submit = func(request paxos.Request) error {
		tenant := tenants[request.ID]
		if tenant == "" || d.admission == nil {
			return submit(request)
		}
		return counted.submit(request, tenant)
	}
	d.answer(link, head.Group, proposals.Submit(proposal.Propose, handler))
}

// countedProposal is the requests of an edge that count against the limits of tenants.
type countedProposal struct {
	d    *Daemon
	link *transport.Link
	head shardapi.Propose // without the requests
}

// uncounted is how the requests are treated once they are counted.
func (p countedProposal) uncounted() proposals.Handler { return p.d.proposalHandler(p.link, p.head) }

// submit submits a tenant's request when it is counted. proposals.ErrPending tells that
// this takes a moment: the edge is told later what became of it.
func (p countedProposal) submit(request paxos.Request, tenant ids.Tenant) error {
	replica := p.d.replicas.Replicas[p.head.Group]
	switch {
	case replica == nil || !replica.Core.Leads():
		return paxos.ErrNotLeader // not counted in vain
	case replica.Core.Submitted(request.ID): // a copy: the first one was counted
		if p.d.queue != nil {
			p.d.queue.Notify(p.link, p.head.Group, request.ID)
		}
		return nil
	}
	handler := p.uncounted()
	if _, known := handler.Decided(request); known {
		return proposals.ErrDecided
	}
	if p.d.pressure.full {
		return paxos.ErrFull
	}
	decision := p.d.admission.Admit(ids.MonotonicNow(), tenant, request.ID, func(admitted bool) {
		p.admitted(request, admitted)
	})
	switch decision {
	case quota.Refused:
		return proposals.ErrOverQuota
	case quota.Waiting:
		return proposals.ErrPending
	}
	return handler.Submit(request)
}

// admitted submits a request that waited to be counted, or tells the edge that it was not.
func (p countedProposal) admitted(request paxos.Request, admitted bool) {
	err := error(proposals.ErrOverQuota)
	if admitted {
		err = p.uncounted().Submit(request)
	}
	p.d.answer(p.link, p.head.Group, proposals.Denied(p.head.Group, request.ID, err))
}

// quotaCluster is the process as admission sees it.
type quotaCluster struct{ d *Daemon }

// Send sends a message to another store.
func (c quotaCluster) Send(to ids.Node, kind transport.Kind, message any) {
	c.d.hub.To(to).Send(kind, message)
}

// Shards is how many shards the newest update has.
func (c quotaCluster) Shards() int {
	if c.d.control.Update == nil {
		return 0
	}
	return len(c.d.control.Update.Shards)
}

// Members gives the voters of a group by the newest update.
func (c quotaCluster) Members(group ids.Group) (nodes []ids.Node) {
	if int(group) >= c.Shards() {
		return nil
	}
	for _, member := range c.d.control.Update.Shards[group].Voters {
		nodes = append(nodes, member.Node)
	}
	return nodes
}

// Leader gives who leads a group that has a replica here.
func (c quotaCluster) Leader(group ids.Group) ids.Node {
	replica := c.d.replicas.Replicas[group]
	if replica == nil {
		return ""
	}
	_, node := replica.Core.Leader()
	return node
}

// Leads gives the leadership of a group that is led here.
func (c quotaCluster) Leads(now ids.Millis, group ids.Group) (admission.Leadership, bool) {
	replica := c.d.replicas.Replicas[group]
	if replica == nil || !replica.Core.Leads() {
		return admission.Leadership{}, false
	}
	ballot, _ := replica.Core.Leader()
	return admission.Leadership{Ballot: ballot, Decided: replica.Core.Time(now)}, true
}

// Reserve submits a reservation to a group that is led here.
func (c quotaCluster) Reserve(group ids.Group, reserve quota.Reserve) error {
	data, err := c.d.encodeReserve(&reserve)
	if err != nil {
		return err
	}
	id := paxos.ID{Origin: "quota/" + strconv.FormatUint(uint64(reserve.Ballot), 36), Seq: reserve.Number}
	return c.d.submit(group, paxos.Request{ID: id, Data: data}, true)
}

// encodeReserve encodes a reservation as a command of the state machine that runs here.
func (d *Daemon) encodeReserve(reserve *quota.Reserve) ([]byte, error) {
	if d.queue != nil {
		return codec.Marshal(queue.Command{Verb: queue.Reserve, Reserve: reserve})
	}
	return codec.Marshal(topic.Command{Verb: topic.Reserve, Reserve: reserve})
}
