package quota

import "oxbowdeck/internal/ids"

// Ask is a holder's request for tokens, to the counter of a tenant.
type Ask struct {
	Tenant ids.Tenant `cbor:"1,keyasint"`
	Number uint64     `cbor:"2,keyasint"` // names it among the asks of its holder, over restarts
	Want   int        `cbor:"3,keyasint"`
}

// Granted is a counter's answer to an ask.
type Granted struct {
	Tenant ids.Tenant `cbor:"1,keyasint"`
	Number uint64     `cbor:"2,keyasint"` // of the ask
	N      int        `cbor:"3,keyasint,omitempty"`
	// Exhausted tells that the tenant is at its limit: asking again is in vain for
	// RetryAfter.
	Exhausted  bool       `cbor:"4,keyasint,omitempty"`
	RetryAfter ids.Millis `cbor:"5,keyasint,omitempty"`
}

// How long an exhausted tenant is refused without being counted.
const (
	minRetryAfter = ids.Millis(20)
	maxRetryAfter = ids.Millis(1000)
)

// retryAfter is the time in which a budget gains one token, within bounds.
func (b Budget) retryAfter() ids.Millis {
	if b.Rate*float64(maxRetryAfter) <= millisPerSecond {
		return maxRetryAfter
	}
	return max(minRetryAfter, ids.Millis(millisPerSecond/b.Rate))
}
