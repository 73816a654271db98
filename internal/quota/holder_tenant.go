package quota

import (
	"slices"

	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
)

// When asks are sent again.
const (
	// firstAskTimeout is how long the first sending of an ask waits for its answer;
	// each later one waits twice as long, up to lastAskTimeout.
	firstAskTimeout = ids.Millis(40)
	lastAskTimeout  = ids.Millis(160)
	// maxKnownAsks is how many asks of a tenant may still be answered.
	maxKnownAsks = 4
	// aheadSpare is how many tokens fewer are asked for ahead than will be needed within
	// half of a grant's life. A token that lapses is lost to the tenant: with this few do,
	// and a tenant with few messages asks for each when it comes.
	aheadSpare = 1
)

// heldTenant is a holder's entry of one tenant.
type heldTenant struct {
	tenant     ids.Tenant
	portions   portions // granted tokens
	waiting    []waitingMessage
	asks       []sentAsk // those that may still be answered, oldest first
	unanswered bool      // the newest ask
	attempts   int       // sendings without an answer
	retryAt    ids.Millis
	demand     demand
	usedAt     ids.Millis
	dryUntil   ids.Millis // the tenant is exhausted: what would wait is refused
}

// waitingMessage is a message that waits for a token.
type waitingMessage struct {
	id paxos.ID
	at ids.Millis // when it came
}

// sentAsk is an ask that may still be answered. Its time is that of its first sending:
// the answer may have been given since then.
type sentAsk struct {
	ask     Ask
	sentAt  ids.Millis
	expires ids.Millis // what it is granted may not be used then any more
}

// admit decides on a message that is not known. Those that wait go first.
func (t *heldTenant) admit(h *Holder, now ids.Millis, id paxos.ID) Decision {
	t.usedAt = now
	t.demand.add(now, 1)
	t.portions.lapse(now)
	m := message{tenant: t.tenant, id: id}
	switch {
	case len(t.waiting) == 0 && t.portions.held() > 0:
		h.remember(m, t.portions.use(1))
		return Admitted
	case now < t.dryUntil || !h.roomFor(t):
		return Refused
	}
	t.waiting = append(t.waiting, waitingMessage{id: id, at: now})
	h.waiting[m] = true
	return Waiting
}

// granted takes an answer, and tells whether it changed anything. An answer to an ask
// that is not known, because it was answered or is too old, changes nothing.
func (t *heldTenant) granted(now ids.Millis, granted Granted) bool {
	i := slices.IndexFunc(t.asks, func(a sentAsk) bool { return a.ask.Number == granted.Number })
	if i < 0 {
		return false
	}
	answered := t.asks[i]
	if i == len(t.asks)-1 {
		t.unanswered = false
		t.attempts = 0
	}
	t.asks = slices.Delete(t.asks, i, i+1)
	if now >= answered.expires {
		return false
	}
	t.portions.add(min(granted.N, answered.ask.Want), answered.expires)
	if granted.Exhausted {
		t.dryUntil = now + min(max(granted.RetryAfter, minRetryAfter), maxRetryAfter)
	}
	return true
}

// serve admits messages that wait, first come first served, and refuses the others
// when the tenant is exhausted.
func (t *heldTenant) serve(h *Holder, now ids.Millis) {
	t.portions.lapse(now)
	n := min(len(t.waiting), t.portions.held())
	for _, w := range t.waiting[:n] {
		h.remember(message{tenant: t.tenant, id: w.id}, t.portions.use(1))
		h.finish(t.tenant, w.id, Admitted)
	}
	t.waiting = slices.Delete(t.waiting, 0, n)
	if now < t.dryUntil {
		t.dismiss(h, Refused, func(waitingMessage) bool { return true })
	}
}

// dismiss ends the waiting of some messages without a token.
func (t *heldTenant) dismiss(h *Holder, decision Decision, which func(waitingMessage) bool) {
	t.waiting = slices.DeleteFunc(t.waiting, func(w waitingMessage) bool {
		if !which(w) {
			return false
		}
		h.finish(t.tenant, w.id, decision)
		return true
	})
}

// step refuses what waited too long, forgets asks whose answers would come too late, and
// asks.
func (t *heldTenant) step(h *Holder, now ids.Millis) {
	budget, limited := h.budgets(t.tenant)
	if !limited {
		t.dismiss(h, Unlimited, func(waitingMessage) bool { return true })
		return
	}
	t.portions.lapse(now)
	t.asks = slices.DeleteFunc(t.asks, func(a sentAsk) bool { return now >= a.expires })
	t.dismiss(h, Refused, func(w waitingMessage) bool { return now-w.at >= h.waitLimit })
	t.ask(h, now, budget)
}

// idle tells whether nothing came for long.
func (t *heldTenant) idle(now ids.Millis) bool {
	return len(t.waiting) == 0 && now-t.usedAt >= idleAfter
}

// ask sends an ask when tokens are wanted and no answer is awaited. One that was not
// answered goes again, with its number; after half of a grant's life it makes way for a
// new one, whose grant will live longer.
func (t *heldTenant) ask(h *Holder, now ids.Millis, budget Budget) {
	if now < t.dryUntil || t.unanswered && now < t.retryAt {
		return
	}
	want := t.wanted(now, budget)
	if want <= 0 {
		return
	}
	again := t.unanswered && len(t.asks) > 0 && now < t.asks[len(t.asks)-1].sentAt+budget.GrantLife/2
	if !again {
		t.newAsk(h, now, want, budget)
	}
	h.effects.Asks = append(h.effects.Asks, t.asks[len(t.asks)-1].ask)
	timeout := min(firstAskTimeout<<t.attempts, lastAskTimeout)
	t.retryAt = now + timeout*3/4 + ids.Millis(h.random.Int64N(int64(timeout/2)))
	if timeout < lastAskTimeout {
		t.attempts++
	}
	t.unanswered = true
}

// newAsk makes an ask the newest known one.
func (t *heldTenant) newAsk(h *Holder, now ids.Millis, want int, budget Budget) {
	h.number++
	if len(t.asks) >= maxKnownAsks {
		t.asks = slices.Delete(t.asks, 0, 1)
	}
	t.asks = append(t.asks, sentAsk{
		ask:     Ask{Tenant: t.tenant, Number: h.number, Want: want},
		sentAt:  now,
		expires: now + budget.GrantLife,
	})
}

// wanted is how many tokens to ask for: what waits, and what the demand of late will
// need within half of a grant's life, once less than half of that is left.
func (t *heldTenant) wanted(now ids.Millis, budget Budget) int {
	ahead := 0
	if now-t.usedAt <= demandMemory {
		ahead = max(0, int(t.demand.within(now, budget.GrantLife/2))-aheadSpare)
	}
	held := t.portions.held()
	if len(t.waiting) == 0 && 2*held >= ahead {
		return 0
	}
	return min(len(t.waiting)+ahead-held, budget.Chunk)
}
