// Package admission keeps tenants under their limits at a store: it drives the parts of
// package quota with the process's messages, leaderships and time. Both kinds of
// deployment use it. What a message means, and what its sender is told, belongs to the
// callers.
package admission

import (
	"log/slog"
	"math/rand/v2"

	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
	"oxbowdeck/internal/quota"
	"oxbowdeck/internal/shardapi"
	"oxbowdeck/internal/transport"
)

const (
	// stepInterval is how often the parts are stepped while there is anything to count.
	stepInterval = ids.Millis(20)
	// idleInterval is the same while there is not.
	idleInterval = ids.Millis(500)
)

// Leadership is that of a group which is led here.
type Leadership struct {
	Ballot  ids.Ballot
	Decided ids.Millis // the decided time that a batch opened now would bear
}

// Cluster is what admission needs of its process.
type Cluster interface {
	// Send sends a message to another process.
	Send(to ids.Node, kind transport.Kind, message any)
	// Shards is how many shards there are; 0 before that is known.
	Shards() int
	// Members gives the voters of a group.
	Members(ids.Group) []ids.Node
	// Leader gives who leads a group, or nobody if that is not known here.
	Leader(ids.Group) ids.Node
	// Leads gives the leadership of a group, if it is led here.
	Leads(now ids.Millis, group ids.Group) (Leadership, bool)
	// Reserve submits a reservation to a group that is led here.
	Reserve(ids.Group, quota.Reserve) error
}

// Admission admits the messages of tenants at one store. It belongs to the store's actor.
type Admission struct {
	self     ids.Node
	cluster  Cluster
	policy   quota.Policy
	limits   map[ids.Tenant]quota.Limit // nil: none are known, and nothing is admitted
	budgets  map[ids.Tenant]tenantBudget
	holder   *quota.Holder
	counters map[ids.Group]*counter
	waiting  map[paxos.ID]func(admitted bool)
	routes   routes
	nextStep ids.Millis
	counts   *Counts // nil: nothing is counted
}

// counter counts for one leadership of a group.
type counter struct {
	*quota.Counter
	ballot ids.Ballot
}

// tenantBudget is what a tenant's limit means under the policy.
type tenantBudget struct {
	budget  quota.Budget
	limited bool
}

// New makes the admission of a store; messages wait for tokens for waitLimit at most.
func New(self ids.Node, policy quota.Policy, waitLimit ids.Millis, cluster Cluster) *Admission {
	a := &Admission{
		self:     self,
		cluster:  cluster,
		policy:   policy,
		budgets:  map[ids.Tenant]tenantBudget{},
		counters: map[ids.Group]*counter{},
		waiting:  map[paxos.ID]func(bool){},
		routes:   newRoutes(cluster),
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	a.holder = quota.NewHolder(waitLimit, a.budgetOf, random)
	return a
}

// HomeOf gives the home shard of a tenant, whose leader counts it.
func HomeOf(tenant ids.Tenant, shards int) ids.Group {
	return ids.GroupOf(ids.Topic(tenant), shards)
}

// Configure takes up the tenants of a configuration: their limits bind from now on.
func (a *Admission) Configure(tenants []controlapi.Tenant) {
	a.limits = make(map[ids.Tenant]quota.Limit, len(tenants))
	for i := range tenants {
		a.limits[tenants[i].Label] = quota.Limit{Rate: tenants[i].PerS, Burst: tenants[i].Burst}
	}
	clear(a.budgets)
}

// budgetOf gives a tenant's budget. A tenant that the configuration here does not have
// gets nothing: it was removed, or comes with a version that is still on its way.
func (a *Admission) budgetOf(label ids.Tenant) (quota.Budget, bool) {
	if known, ok := a.budgets[label]; ok {
		return known.budget, known.limited
	}
	limit, ok := a.limits[label]
	if !ok {
		return quota.Budget{}, true
	}
	found := tenantBudget{limited: limit.Limited()}
	if found.limited {
		found.budget = a.policy.Budget(limit)
	}
	a.budgets[label] = found
	return found.budget, found.limited
}

// Admit decides on a message of a tenant. When the decision is quota.Waiting, later is
// called once with the outcome; a copy of a message that waits is left to the first.
func (a *Admission) Admit(now ids.Millis, tenant ids.Tenant, id paxos.ID, later func(admitted bool)) quota.Decision {
	decision := a.holder.Admit(now, tenant, id)
	a.counts.decided(decision)
	if decision == quota.Waiting && a.waiting[id] == nil {
		a.waiting[id] = later
	}
	a.carryOut(now)
	return decision
}

// Reserved takes word that a reservation was applied to the state of a group here.
func (a *Admission) Reserved(now ids.Millis, group ids.Group, reserve *quota.Reserve, granted int) {
	if c := a.counters[group]; c != nil && c.ballot == reserve.Ballot {
		c.Decided(now, reserve.Number, granted)
		a.nextStep = now // the answers go out with the next step
	}
}

// LeaderChanged takes word that a group has another leader.
func (a *Admission) LeaderChanged(now ids.Millis, group ids.Group) {
	a.routes.forget(group)
	shards := a.cluster.Shards()
	if shards == 0 {
		return
	}
	a.holder.Redirect(now, func(tenant ids.Tenant) bool { return HomeOf(tenant, shards) == group })
	a.nextStep = now
}

// Frame handles a frame of another store; it tells whether it was one for admission.
func (a *Admission) Frame(now ids.Millis, from ids.Node, kind transport.Kind, body []byte) bool {
	switch kind {
	case shardapi.KindQuotaAsk:
		shardapi.Handle(body, func(x shardapi.QuotaAsk) { a.ask(now, from, x.Group, x.Ask) })
	case shardapi.KindQuotaGranted:
		shardapi.Handle(body, func(x quota.Granted) {
			a.routes.answered(x.Tenant, from)
			a.holder.Granted(now, x)
		})
	default:
		return false
	}
	a.carryOut(now)
	return true
}

// Step does what is due; it returns when it wants to be called again.
func (a *Admission) Step(now ids.Millis) ids.Millis {
	if now < a.nextStep {
		return a.nextStep
	}
	a.nextStep = now + idleInterval
	for group, c := range a.counters {
		if lead, leads := a.cluster.Leads(now, group); !leads || lead.Ballot != c.ballot {
			c.Resign()
			delete(a.counters, group)
			continue
		}
		c.Step(now)
		if c.Len() > 0 {
			a.nextStep = now + stepInterval
		}
	}
	a.holder.Step(now)
	if a.holder.Len() > 0 {
		a.nextStep = now + stepInterval
	}
	a.carryOut(now)
	return a.nextStep
}

// ask takes an ask for tokens, if the tenant's home shard is led here.
func (a *Admission) ask(now ids.Millis, holder ids.Node, group ids.Group, ask quota.Ask) {
	lead, leads := a.cluster.Leads(now, group)
	if !leads {
		return
	}
	c := a.counters[group]
	if c == nil || c.ballot != lead.Ballot {
		if c != nil {
			c.Resign()
		}
		c = &counter{quota.NewCounter(now, lead.Ballot, lead.Decided, a.budgetOf), lead.Ballot}
		a.counters[group] = c
		a.counts.tookOver()
		slog.Info("quota-counter", "group", group, "epoch", lead.Ballot.Round())
	}
	c.Ask(now, holder, ask)
}

// carryOut carries out what the parts want done, until they want no more: an ask may be
// answered here, and admit messages that waited.
func (a *Admission) carryOut(now ids.Millis) {
	for a.carryOutHolder(now) || a.carryOutCounters(now) {
	}
}

// carryOutHolder sends asks, and tells those who wait their outcomes.
func (a *Admission) carryOutHolder(now ids.Millis) bool {
	effects := a.holder.Take()
	for _, ask := range effects.Asks {
		a.sendAsk(now, ask)
	}
	for _, outcome := range effects.Outcomes {
		a.counts.decided(outcome.Decision)
		later := a.waiting[outcome.ID]
		delete(a.waiting, outcome.ID)
		if later != nil {
			later(outcome.Decision != quota.Refused)
		}
	}
	return len(effects.Asks)+len(effects.Outcomes) > 0
}

// carryOutCounters submits reservations and sends answers.
func (a *Admission) carryOutCounters(now ids.Millis) bool {
	any := false
	for group, c := range a.counters {
		effects := c.Take()
		for _, reservation := range effects.Reservations {
			if a.cluster.Reserve(group, reservation.Reserve) != nil {
				c.Failed(now, reservation.Number)
				continue
			}
			a.counts.reserved()
		}
		for _, answer := range effects.Answers {
			a.answer(now, answer)
		}
		any = any || len(effects.Reservations)+len(effects.Answers) > 0
	}
	return any
}

// answer gives a holder its answer.
func (a *Admission) answer(now ids.Millis, answer quota.Answer) {
	a.counts.granted(answer.Granted.N)
	if answer.Holder == a.self {
		a.holder.Granted(now, answer.Granted)
		return
	}
	a.cluster.Send(answer.Holder, shardapi.KindQuotaGranted, answer.Granted)
}

// sendAsk sends an ask to the leader of the tenant's home shard.
func (a *Admission) sendAsk(now ids.Millis, ask quota.Ask) {
	shards := a.cluster.Shards()
	if shards == 0 {
		return
	}
	home := HomeOf(ask.Tenant, shards)
	if _, leads := a.cluster.Leads(now, home); leads {
		a.ask(now, a.self, home, ask)
		return
	}
	for _, node := range a.routes.targets(home, ask) {
		if node != a.self {
			a.cluster.Send(node, shardapi.KindQuotaAsk, shardapi.QuotaAsk{Group: home, Ask: ask})
		}
	}
}
