package quota

import (
	"math"

	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/invariant"
)

// Reserve is the decided command that takes tokens out of a tenant's account. Rate and
// Capacity come with it, so that replicas apply it alike whatever configuration each
// of them has.
type Reserve struct {
	Tenant   ids.Tenant `cbor:"1,keyasint"`
	Ballot   ids.Ballot `cbor:"2,keyasint"`           // of the leadership that proposed it
	Number   uint64     `cbor:"3,keyasint"`           // counts the reservations of a leadership
	At       ids.Millis `cbor:"4,keyasint"`           // decided time at which it was proposed
	Want     int        `cbor:"5,keyasint,omitempty"` // tokens to reserve
	Return   int        `cbor:"6,keyasint,omitempty"` // reserved before, and never to be used
	Rate     float64    `cbor:"7,keyasint"`           // of the tenant's budget
	Capacity float64    `cbor:"8,keyasint"`
}

const (
	// maxAccounts is how many accounts a ledger has at most.
	maxAccounts = 100_000
	// maxTenantBytes is the longest label that gets an account.
	maxTenantBytes = 256
	// maxWant is the most tokens that a command reserves or returns.
	maxWant = maxChunk
	// maxCapacity is past any budget's, and small enough for levels to count single tokens.
	maxCapacity = 1e15
	// maxBatchAge is how much older the decided time of a batch may be than a command
	// in it. A batch that its leader left open while it stood still is older, and what
	// is reserved in it would seem to have been taken at a time long past.
	maxBatchAge = ids.Millis(250)
)

// account is a tenant's token bucket. Outstanding are the tokens that the leadership of
// Ballot took and did not return, the only ones that may come back.
type account struct {
	_           struct{} `cbor:",toarray"`
	Level       float64
	At          ids.Millis // decided time of the level
	Rate        float64    // as the last command bore it
	Capacity    float64
	Ballot      ids.Ballot
	Number      uint64
	Outstanding int
}

// Ledger holds the accounts of the tenants whose home is a shard; it is a part of the
// shard's replicated state. A tenant without an account has a full bucket.
type Ledger struct {
	accounts map[ids.Tenant]*account
	most     int // accounts
}

// NewLedger makes a ledger without accounts.
func NewLedger() *Ledger {
	return &Ledger{accounts: map[ids.Tenant]*account{}, most: maxAccounts}
}

// Len is how many accounts there are.
func (l *Ledger) Len() int { return len(l.accounts) }

// Apply carries out a decided command and tells how many tokens it reserved; clock is
// the decided time. A command that is damaged, repeated, of an earlier leadership, or
// decided in a batch that is older than itself by far, changes nothing.
func (l *Ledger) Apply(clock ids.Millis, r Reserve) (granted int) {
	if !r.valid() || float64(r.At)-float64(clock) > float64(maxBatchAge) {
		return 0
	}
	clock = max(clock, r.At)
	a := l.accounts[r.Tenant]
	if a == nil {
		if r.Want == 0 || len(l.accounts) >= l.most {
			return 0
		}
		a = &account{Level: r.Capacity, At: clock, Ballot: r.Ballot}
		l.accounts[r.Tenant] = a
	}
	if !a.begin(r) {
		return 0
	}
	a.refill(clock, r)
	granted = min(r.Want, int(math.Min(a.Level, maxWant)))
	a.Level -= float64(granted)
	a.Outstanding += granted
	if a.Level < 0 || a.Level > r.Capacity {
		invariant.Violated(invariant.GrantsWithinBudget,
			"level", a.Level, "capacity", r.Capacity, "granted", granted, "epoch", r.Ballot)
	}
	return granted
}

// Sweep drops the accounts that are full again, by the rate and capacity that they last
// bore: a tenant without one has as much.
func (l *Ledger) Sweep(clock ids.Millis) {
	for tenant, a := range l.accounts {
		if a.Level+a.due(clock) >= a.Capacity {
			delete(l.accounts, tenant)
		}
	}
}

// valid tells whether a command can be carried out.
func (r Reserve) valid() bool {
	if !validTenant(r.Tenant) || r.Number == 0 {
		return false
	}
	if r.Want < 0 || r.Want > maxWant || r.Return < 0 || r.Return > maxWant {
		return false
	}
	return validBucket(r.Rate, r.Capacity)
}

// validTenant tells whether a label can have an account.
func validTenant(tenant ids.Tenant) bool { return tenant != "" && len(tenant) <= maxTenantBytes }

// validBucket tells whether rate and capacity are those of a budget.
func validBucket(rate, capacity float64) bool {
	return rate >= 0 && rate <= maxRate && capacity >= 0 && capacity <= maxCapacity
}

// begin takes up a command's leadership and number. It is false for a command of an
// earlier leadership, and for one that was applied before.
func (a *account) begin(r Reserve) bool {
	if r.Ballot < a.Ballot || r.Ballot == a.Ballot && r.Number <= a.Number {
		return false
	}
	if r.Ballot != a.Ballot {
		a.Outstanding = 0
	}
	a.Ballot, a.Number = r.Ballot, r.Number
	return true
}

// refill brings the level to the time of a command, with what it returns.
func (a *account) refill(clock ids.Millis, r Reserve) {
	returned := min(r.Return, a.Outstanding)
	a.Outstanding -= returned
	// A limit that changed meanwhile counts by the lower rate: when it changed is not known.
	a.Rate = min(a.Rate, r.Rate)
	a.Level = min(r.Capacity, a.Level+a.due(clock)+float64(returned))
	a.At = max(a.At, clock)
	a.Rate, a.Capacity = r.Rate, r.Capacity
}

// due is what came due since the time of the level.
func (a *account) due(clock ids.Millis) float64 {
	if clock <= a.At {
		return 0
	}
	return a.Rate * (float64(clock) - float64(a.At)) / millisPerSecond
}
