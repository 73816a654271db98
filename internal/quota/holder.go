package quota

import (
	"math/rand/v2"
	"slices"

	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
)

// Decision on a message.
type Decision uint8

// What becomes of a message.
const (
	Unlimited Decision = iota + 1 // its tenant has no limit
	Admitted                      // counted; it may be submitted
	Waiting                       // for tokens: its outcome comes with the effects
	Refused                       // its tenant is at its limit, or cannot be counted now
)

// DefaultWaitLimit is how long messages wait for tokens at most.
const DefaultWaitLimit = ids.Millis(400)

// Bounds of a holder.
const (
	// maxHeld is how many tenants a holder has entries of.
	maxHeld = 10_000
	// maxTenantWaiting is how many messages of one tenant wait.
	maxTenantWaiting = 2048
	// maxWaiting is how many messages wait in all; past it a tenant has one.
	maxWaiting = 32_768
	// maxRemembered is how many admitted messages are remembered.
	maxRemembered = 65_536
)

// Outcome is what became of a message that waited.
type Outcome struct {
	Tenant   ids.Tenant
	ID       paxos.ID
	Decision Decision // Admitted, Refused, or Unlimited where the limit was lifted
}

// HolderEffects is what a holder wants done, in order.
type HolderEffects struct {
	Asks     []Ask // to the leader of the tenant's home shard
	Outcomes []Outcome
}

// message names a tenant's message.
type message struct {
	tenant ids.Tenant
	id     paxos.ID
}

// admittedMessage is a message that was counted. Until its token would have lapsed a
// copy of it is the same message; later, it would be admitted too long after its token
// was reserved, and counts again.
type admittedMessage struct {
	message message
	expires ids.Millis
}

// Holder admits the messages of tenants at one store, with tokens that counters granted.
type Holder struct {
	waitLimit ids.Millis
	budgets   Budgets
	random    *rand.Rand
	tenants   map[ids.Tenant]*heldTenant
	order     []*heldTenant // as they came, so that equal runs have equal effects
	waiting   map[message]bool
	admitted  map[message]ids.Millis // when the tokens would have lapsed
	oldest    []admittedMessage      // of admitted, in the order they came
	number    uint64                 // of the newest ask
	effects   HolderEffects
}

// NewHolder makes a holder without tokens. Its asks are numbered from a random number
// on, so that no answer to an earlier incarnation is taken for one to this.
func NewHolder(waitLimit ids.Millis, budgets Budgets, random *rand.Rand) *Holder {
	return &Holder{
		waitLimit: waitLimit,
		budgets:   budgets,
		random:    random,
		tenants:   map[ids.Tenant]*heldTenant{},
		waiting:   map[message]bool{},
		admitted:  map[message]ids.Millis{},
		number:    random.Uint64(),
	}
}

// Take gives what is to be done since the last call.
func (h *Holder) Take() HolderEffects {
	effects := h.effects
	h.effects = HolderEffects{}
	return effects
}

// Len is how many tenants have entries.
func (h *Holder) Len() int { return len(h.order) }

// Admit decides on a message. A copy of one that waits, or was admitted a moment ago, is
// answered as that one was.
func (h *Holder) Admit(now ids.Millis, tenant ids.Tenant, id paxos.ID) Decision {
	budget, limited := h.budgets(tenant)
	if !limited {
		return Unlimited
	}
	m := message{tenant: tenant, id: id}
	switch {
	case h.waiting[m]:
		return Waiting
	case now < h.admitted[m]:
		return Admitted
	}
	t := h.entry(tenant)
	if budget.Capacity < 1 || t == nil {
		return Refused
	}
	decision := t.admit(h, now, id)
	t.ask(h, now, budget)
	return decision
}

// Granted takes an answer of a counter. It counts if it answers an ask of this holder
// that is known and was not answered before, within the life of a grant.
func (h *Holder) Granted(now ids.Millis, granted Granted) {
	t := h.tenants[granted.Tenant]
	if t == nil || !t.granted(now, granted) {
		return
	}
	t.serve(h, now)
	budget, _ := h.budgets(t.tenant)
	t.ask(h, now, budget)
}

// Step does what time brings: refuses messages that waited too long, asks again and
// ahead, and drops the entries of idle tenants.
func (h *Holder) Step(now ids.Millis) {
	h.forget(now)
	for _, t := range h.order {
		t.step(h, now)
	}
	h.order = slices.DeleteFunc(h.order, func(t *heldTenant) bool {
		if !t.idle(now) {
			return false
		}
		delete(h.tenants, t.tenant)
		return true
	})
}

// Redirect has unanswered asks sent again by the next Step, for tenants whose home shard
// has another leader now.
func (h *Holder) Redirect(now ids.Millis, moved func(ids.Tenant) bool) {
	for _, t := range h.order {
		if t.unanswered && moved(t.tenant) {
			t.retryAt = now
			t.attempts = 0
		}
	}
}

// entry gives a tenant's entry, a new one if there is room.
func (h *Holder) entry(tenant ids.Tenant) *heldTenant {
	t := h.tenants[tenant]
	if t == nil && validTenant(tenant) && len(h.order) < maxHeld {
		t = &heldTenant{tenant: tenant}
		h.tenants[tenant] = t
		h.order = append(h.order, t)
	}
	return t
}

// remember keeps an admitted message until its token would have lapsed.
func (h *Holder) remember(m message, expires ids.Millis) {
	if len(h.oldest) >= maxRemembered {
		delete(h.admitted, h.oldest[0].message)
		h.oldest = h.oldest[1:]
	}
	h.admitted[m] = expires
	h.oldest = append(h.oldest, admittedMessage{message: m, expires: expires})
}

// forget drops the admitted messages whose tokens would have lapsed.
func (h *Holder) forget(now ids.Millis) {
	n := 0
	for n < len(h.oldest) && now >= h.oldest[n].expires {
		if m := h.oldest[n].message; now >= h.admitted[m] {
			delete(h.admitted, m)
		}
		n++
	}
	h.oldest = h.oldest[n:]
}

// finish emits the outcome of a message that waited.
func (h *Holder) finish(tenant ids.Tenant, id paxos.ID, decision Decision) {
	delete(h.waiting, message{tenant: tenant, id: id})
	h.effects.Outcomes = append(h.effects.Outcomes, Outcome{Tenant: tenant, ID: id, Decision: decision})
}

// roomFor tells whether one more message of a tenant may wait.
func (h *Holder) roomFor(t *heldTenant) bool {
	if len(h.waiting) >= maxWaiting {
		return len(t.waiting) == 0
	}
	return len(t.waiting) < maxTenantWaiting
}
