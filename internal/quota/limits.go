package quota

import (
	"errors"
	"math"

	"oxbowdeck/internal/ids"
)

// Limit is what a tenant may send. One with neither rate nor burst is no limit.
type Limit struct {
	Rate  float64 // messages a second
	Burst float64 // messages beyond the rate
}

// Policy is how exactly limits are kept, for all tenants.
type Policy struct {
	Window ids.Millis // W: the length of the windows that are judged
	Excess float64    // share of rate*W+burst by which it may be passed
	Slack  float64    // messages by which it may be passed besides
}

// Budget is how a tenant's limit is kept: the token bucket of its account, and the
// rights that are given out of it. A budget without capacity admits nothing.
type Budget struct {
	Rate        float64    // tokens a second that the account gains
	Capacity    float64    // most tokens in the account
	Chunk       int        // most tokens that a counter holds in reserve
	ReserveLife ids.Millis // a reservation may be granted from for so long after it was proposed
	GrantLife   ids.Millis // a grant may be used for so long after it was asked for
}

// Budgets gives a tenant's budget by the configuration here, and whether the tenant has a
// limit at all. One that has none has no budget either.
type Budgets func(ids.Tenant) (budget Budget, limited bool)

// Bounds of limits and policies. Higher limits are kept as if they were these.
const (
	maxRate   = 1e9 // messages a second
	maxBurst  = 1e12
	maxExcess = 1.0
	maxSlack  = 1e12
	maxWindow = 24 * 60 * 60 * 1000 // ms
	maxChunk  = 1 << 20             // tokens
)

// How the spare tokens, which may pass the limit, are divided.
const (
	chunkShare = 4 // a chunk is this part of them
	livesShare = 3 // what comes due during both lives is this part of them
)

// What a budget needs however little may be spared, since reservations come one after the
// other and each takes the time of a decision: tokens for so long at the limit's rate.
const (
	chunkTime    = 30.0 // ms
	capacityTime = 40.0 // ms
)

// Bounds of the time from a reservation to the last use of a grant from it.
const (
	minLives = 100.0  // ms
	maxLives = 2000.0 // ms
)

// What clocks may add to a window and the two lives.
const (
	clockGrain = 4.0  // ms: four readings of clocks that count whole milliseconds
	clockDrift = 0.01 // part by which a steady clock may be slower or faster than time
)

const (
	millisPerSecond = 1000.0
	// roundingSpare is what is left of the limit for the rounding of levels.
	roundingSpare = 1.0
)

// Errors of limits and policies that can't be kept. Nothing is admitted under them.
var (
	ErrNotFinite = errors.New("quota: a limit is not a finite number")
	ErrWindow    = errors.New("quota: the window is not between 1 ms and a day")
	ErrNegative  = errors.New("quota: excess or slack is negative")
)

// Limited tells whether there is a limit at all. One that is not a number is a limit.
func (l Limit) Limited() bool { return !(l.Rate <= 0 && l.Burst <= 0) }

// Check gives why a limit can't be kept.
func (l Limit) Check() error {
	if !finite(l.Rate) || !finite(l.Burst) {
		return ErrNotFinite
	}
	return nil
}

// Check gives why a policy can't be kept.
func (p Policy) Check() error {
	switch {
	case !finite(p.Excess) || !finite(p.Slack):
		return ErrNotFinite
	case p.Window < 1 || p.Window > maxWindow:
		return ErrWindow
	case p.Excess < 0 || p.Slack < 0:
		return ErrNegative
	}
	return nil
}

// Bound is the most messages of a tenant that may be accepted in a window. It is 0 when
// the limit or the policy can't be kept.
func (p Policy) Bound(limit Limit) float64 {
	if p.Check() != nil || limit.Check() != nil {
		return 0
	}
	excess := min(p.Excess, maxExcess)
	return p.allowance(limit)*(1+excess) + min(p.Slack, maxSlack)
}

// Budget divides what a limit allows, such that
//
//	Capacity + Rate*(Window+ReserveLife+GrantLife) + Chunk <= Bound
//
// The left side is the most that can be used in a window: a full account at its
// beginning, what it gains until its end, and a chunk that was reserved before and
// returned within.
func (p Policy) Budget(limit Limit) Budget {
	bound := p.Bound(limit)
	if bound <= 0 {
		return Budget{}
	}
	limit = limit.clamped()
	spare := max(0, bound-p.allowance(limit)-roundingSpare)
	perMilli := limit.Rate / millisPerSecond
	chunk := math.Floor(math.Max(1, math.Min(math.Max(spare/chunkShare, perMilli*chunkTime), maxChunk)))
	lives := livesOf(spare, limit.Rate)
	span := ((float64(p.Window)+lives)*(1+clockDrift) + clockGrain) / millisPerSecond
	left := bound - roundingSpare - chunk
	rate := limit.Rate
	capacity := left - rate*span
	if needed := max(1, limit.Burst, perMilli*capacityTime); capacity < needed {
		capacity = min(needed, left)
		rate = max(0, (left-capacity)/span)
	}
	if capacity < 1 {
		return Budget{}
	}
	life := ids.Millis(lives / 2)
	return Budget{Rate: rate, Capacity: capacity, Chunk: int(chunk), ReserveLife: life, GrantLife: life}
}

// allowance is what a limit allows in a window, before any excess.
func (p Policy) allowance(limit Limit) float64 {
	limit = limit.clamped()
	return limit.Rate*float64(p.Window)/millisPerSecond + limit.Burst
}

// clamped brings a limit into its bounds.
func (l Limit) clamped() Limit {
	return Limit{Rate: min(max(l.Rate, 0), maxRate), Burst: min(max(l.Burst, 0), maxBurst)}
}

// livesOf gives how long both lives last together, in milliseconds.
func livesOf(spare, rate float64) float64 {
	if rate <= 0 {
		return maxLives
	}
	lives := spare / (livesShare * rate) * millisPerSecond
	return min(max(lives, minLives), maxLives)
}

func finite(x float64) bool { return !math.IsNaN(x) && !math.IsInf(x, 0) }
