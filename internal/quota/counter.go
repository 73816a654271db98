package quota

import (
	"slices"

	"oxbowdeck/internal/ids"
)

// Bounds of a counter.
const (
	// maxCounted is how many tenants a counter has entries of.
	maxCounted = 10_000
	// maxWaitingAsks is how many asks of one tenant wait for a reservation.
	maxWaitingAsks = 1024
	// maxAnswered is how many holders' last answers are kept for each tenant.
	maxAnswered = 1024
)

const (
	// idleAfter is how long after its last ask a tenant's entry is dropped.
	idleAfter = ids.Millis(3000)
	// giveUpAfter is how long a reservation may be under way; its tokens are lost then.
	giveUpAfter = ids.Millis(5000)
	// failedPause is how long nothing is reserved after a reservation that was not taken.
	failedPause = ids.Millis(50)
)

// Reservation is a command that the counter wants decided. Number is its name among
// those of the counter's leadership.
type Reservation struct {
	Number  uint64
	Reserve Reserve
}

// Answer is what a holder is to be sent.
type Answer struct {
	Holder  ids.Node
	Granted Granted
}

// CounterEffects is what a counter wants done, in order.
type CounterEffects struct {
	Reservations []Reservation
	Answers      []Answer
}

// Counter grants tokens to holders from what it reserved in the ledger. It belongs to
// one leadership: a reservation of another is never used.
type Counter struct {
	ballot   ids.Ballot
	began    ids.Millis // by the steady clock
	decided  ids.Millis // decided time then
	budgets  Budgets
	tenants  map[ids.Tenant]*tenantCount
	order    []*tenantCount // as they came, so that equal runs have equal effects
	underWay map[uint64]*tenantCount
	number   uint64
	resigned bool
	effects  CounterEffects
}

// NewCounter begins to count for the leadership of a ballot. Decided is the decided
// time that the leader gives its batches now (paxos.Core.Time).
func NewCounter(now ids.Millis, ballot ids.Ballot, decided ids.Millis, budgets Budgets) *Counter {
	return &Counter{
		ballot:   ballot,
		began:    now,
		decided:  decided,
		budgets:  budgets,
		tenants:  map[ids.Tenant]*tenantCount{},
		underWay: map[uint64]*tenantCount{},
	}
}

// Take gives what is to be done since the last call.
func (c *Counter) Take() CounterEffects {
	effects := c.effects
	c.effects = CounterEffects{}
	return effects
}

// Len is how many tenants have entries.
func (c *Counter) Len() int { return len(c.order) }

// Ask takes an ask of a holder. It is answered from what is reserved, else after the
// next reservation; one that came before is answered alike.
func (c *Counter) Ask(now ids.Millis, holder ids.Node, ask Ask) {
	if c.resigned || ask.Want <= 0 || !validTenant(ask.Tenant) {
		return
	}
	ask.Want = min(ask.Want, maxWant)
	budget, _ := c.budgets(ask.Tenant)
	if budget.Capacity < 1 {
		c.answer(holder, exhausted(ask, maxRetryAfter))
		return
	}
	t := c.entry(ask.Tenant)
	if t == nil {
		c.answer(holder, exhausted(ask, maxRetryAfter))
		return
	}
	if t.repeated(c, holder, ask) {
		return
	}
	t.askedAt = now
	t.demand.add(now, ask.Want)
	t.queue(c, waitingAsk{holder: holder, ask: ask, at: now})
	t.serve(c, now)
	t.reserve(c, now, budget)
}

// Decided takes the outcome of a reservation: what the ledger granted.
func (c *Counter) Decided(now ids.Millis, number uint64, granted int) {
	t := c.underWay[number]
	if t == nil {
		return
	}
	delete(c.underWay, number)
	budget, _ := c.budgets(t.tenant)
	r := t.underWay
	t.underWay = reservation{}
	granted = min(max(granted, 0), r.want)
	if granted > 0 {
		t.portions.add(granted, r.proposedAt+r.life)
	}
	if granted < r.want {
		t.dryUntil = now + budget.retryAfter()
	}
	t.serve(c, now)
	t.reserve(c, now, budget)
}

// Failed takes word that a reservation was not submitted. What it was to return is lost.
func (c *Counter) Failed(now ids.Millis, number uint64) {
	t := c.underWay[number]
	if t == nil {
		return
	}
	delete(c.underWay, number)
	t.underWay = reservation{}
	t.pauseUntil = now + failedPause
}

// Step does what time brings: reserves ahead, gives up what took too long, and drops
// the entries of idle tenants.
func (c *Counter) Step(now ids.Millis) {
	for _, t := range c.order {
		t.step(c, now)
	}
	c.order = slices.DeleteFunc(c.order, func(t *tenantCount) bool {
		if !t.idle(now) {
			return false
		}
		t.giveBack(c, now)
		delete(c.tenants, t.tenant)
		return true
	})
}

// Resign ends the counter: its leadership is over. What it reserved is never used.
func (c *Counter) Resign() {
	c.resigned = true
	c.tenants, c.order, c.underWay = nil, nil, nil
	c.effects = CounterEffects{}
}

// entry gives a tenant's entry, a new one if there is room.
func (c *Counter) entry(tenant ids.Tenant) *tenantCount {
	t := c.tenants[tenant]
	if t == nil && len(c.order) < maxCounted {
		t = &tenantCount{tenant: tenant, answered: map[ids.Node]Granted{}}
		c.tenants[tenant] = t
		c.order = append(c.order, t)
	}
	return t
}

// propose emits a reservation and gives its number.
func (c *Counter) propose(now ids.Millis, tenant ids.Tenant, budget Budget, want, back int) uint64 {
	c.number++
	c.effects.Reservations = append(c.effects.Reservations, Reservation{
		Number: c.number,
		Reserve: Reserve{
			Tenant:   tenant,
			Ballot:   c.ballot,
			Number:   c.number,
			At:       c.decided + now - c.began,
			Want:     want,
			Return:   back,
			Rate:     budget.Rate,
			Capacity: budget.Capacity,
		},
	})
	return c.number
}

// answer emits an answer.
func (c *Counter) answer(holder ids.Node, granted Granted) {
	c.effects.Answers = append(c.effects.Answers, Answer{Holder: holder, Granted: granted})
}

// exhausted answers an ask for which there are no tokens.
func exhausted(ask Ask, retryAfter ids.Millis) Granted {
	return Granted{Tenant: ask.Tenant, Number: ask.Number, Exhausted: true, RetryAfter: retryAfter}
}
