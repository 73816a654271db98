package quota

import (
	"math"
	"slices"

	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/invariant"
)

// tenantCount is a counter's entry of one tenant.
type tenantCount struct {
	tenant     ids.Tenant
	portions   portions // reserved tokens
	lapsed     int      // reserved tokens whose life is over, to be returned
	underWay   reservation
	waiting    []waitingAsk
	answered   map[ids.Node]Granted // the last answer to each holder
	demand     demand
	askedAt    ids.Millis
	dryUntil   ids.Millis // the account was empty: asks are answered exhausted
	pauseUntil ids.Millis // nothing is reserved until then
}

// reservation is one that was proposed and is not decided; number 0 is none.
type reservation struct {
	number     uint64
	proposedAt ids.Millis
	life       ids.Millis
	want       int
}

// waitingAsk is an ask that waits for a reservation.
type waitingAsk struct {
	holder ids.Node
	ask    Ask
	at     ids.Millis
}

// repeated answers an ask that was answered before alike, and tells whether it came
// before at all.
func (t *tenantCount) repeated(c *Counter, holder ids.Node, ask Ask) bool {
	if last, found := t.answered[holder]; found && last.Number == ask.Number {
		c.answer(holder, last)
		return true
	}
	return slices.ContainsFunc(t.waiting, func(w waitingAsk) bool {
		return w.holder == holder && w.ask.Number == ask.Number
	})
}

// queue adds an ask to those that wait. A holder has one: it gave up an earlier one.
func (t *tenantCount) queue(c *Counter, ask waitingAsk) {
	i := slices.IndexFunc(t.waiting, func(w waitingAsk) bool { return w.holder == ask.holder })
	switch {
	case i >= 0:
		t.waiting[i] = ask
	case len(t.waiting) >= maxWaitingAsks:
		t.reply(c, ask, exhausted(ask.ask, minRetryAfter))
	default:
		t.waiting = append(t.waiting, ask)
	}
}

// reply answers an ask, and remembers the answer.
func (t *tenantCount) reply(c *Counter, w waitingAsk, granted Granted) {
	if len(t.answered) >= maxAnswered {
		clear(t.answered)
	}
	t.answered[w.holder] = granted
	c.answer(w.holder, granted)
}

// serve answers the asks that wait, first come first served. Where the tokens do not
// suffice each gets its share, so that no holder takes all. With the account empty,
// those that get nothing are answered exhausted.
func (t *tenantCount) serve(c *Counter, now ids.Millis) {
	t.lapsed += t.portions.lapse(now)
	served := 0
	for i, w := range t.waiting {
		held := t.portions.held()
		if held == 0 {
			break
		}
		left := len(t.waiting) - i
		n := min(w.ask.Want, (held+left-1)/left)
		if n > held || n > w.ask.Want {
			invariant.Violated(invariant.GrantsWithinBudget, "granted", n, "held", held, "wanted", w.ask.Want)
		}
		t.portions.use(n)
		t.reply(c, w, Granted{Tenant: t.tenant, Number: w.ask.Number, N: n})
		served++
	}
	t.waiting = slices.Delete(t.waiting, 0, served)
	if now >= t.dryUntil {
		return
	}
	for _, w := range t.waiting {
		t.reply(c, w, exhausted(w.ask, max(minRetryAfter, t.dryUntil-now)))
	}
	t.waiting = nil
}

// reserve proposes a reservation where asks wait, or will soon by the demand of late.
func (t *tenantCount) reserve(c *Counter, now ids.Millis, budget Budget) {
	if t.underWay.number != 0 || now < t.dryUntil || now < t.pauseUntil || budget.Capacity < 1 {
		return
	}
	held := t.portions.held()
	target := min(t.wanted()+int(math.Round(t.demand.within(now, budget.ReserveLife))), budget.Chunk)
	want := min(target, budget.Chunk-held)
	if want <= 0 || len(t.waiting) == 0 && !t.low(now, budget, target) {
		return
	}
	t.underWay = reservation{
		number:     c.propose(now, t.tenant, budget, want, t.lapsed),
		proposedAt: now,
		life:       budget.ReserveLife,
		want:       want,
	}
	t.lapsed = 0
	c.underWay[t.underWay.number] = t
}

// low tells whether less than half is left of what the demand of late needs, or of the
// life of what is reserved.
func (t *tenantCount) low(now ids.Millis, budget Budget, target int) bool {
	if now-t.askedAt > demandMemory {
		return false
	}
	if len(t.portions) == 0 || 2*t.portions.held() < target {
		return true
	}
	return t.portions.expire()-now < budget.ReserveLife/2
}

// step gives up what took too long, and reserves ahead.
func (t *tenantCount) step(c *Counter, now ids.Millis) {
	budget, _ := c.budgets(t.tenant)
	t.lapsed += t.portions.lapse(now)
	t.waiting = slices.DeleteFunc(t.waiting, func(w waitingAsk) bool {
		return now-w.at >= budget.GrantLife
	})
	if t.underWay.number != 0 && now-t.underWay.proposedAt >= giveUpAfter {
		delete(c.underWay, t.underWay.number)
		t.underWay = reservation{}
	}
	t.reserve(c, now, budget)
}

// idle tells whether nothing was asked for long.
func (t *tenantCount) idle(now ids.Millis) bool {
	return len(t.waiting) == 0 && t.underWay.number == 0 && now-t.askedAt >= idleAfter
}

// giveBack returns what is reserved, before the entry is dropped.
func (t *tenantCount) giveBack(c *Counter, now ids.Millis) {
	back := t.lapsed + t.portions.held()
	if budget, _ := c.budgets(t.tenant); back > 0 && budget.Capacity >= 1 {
		c.propose(now, t.tenant, budget, 0, back)
	}
}

// wanted is how many tokens the asks that wait are for.
func (t *tenantCount) wanted() int {
	n := 0
	for _, w := range t.waiting {
		n = min(n+w.ask.Want, maxWant)
	}
	return n
}
