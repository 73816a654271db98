package admission

import "oxbowdeck/internal/quota"

// Counts is what the admission of a store did since the process began. A nil *Counts
// counts nothing.
type Counts struct {
	Granted      uint64 // tokens in answers to holders; an answer that is sent again counts again
	Reservations uint64 // that were submitted
	Takeovers    uint64 // leaderships for which this store began to count
	Refused      uint64 // messages
}

// CountInto has what is done from now on counted.
func (a *Admission) CountInto(counts *Counts) { a.counts = counts }

// Counters is for how many groups this store counts.
func (a *Admission) Counters() int { return len(a.counters) }

func (c *Counts) granted(tokens int) {
	if c != nil {
		c.Granted += uint64(max(tokens, 0))
	}
}

func (c *Counts) reserved() {
	if c != nil {
		c.Reservations++
	}
}

func (c *Counts) tookOver() {
	if c != nil {
		c.Takeovers++
	}
}

// decided counts a message that was refused.
func (c *Counts) decided(decision quota.Decision) {
	if c != nil && decision == quota.Refused {
		c.Refused++
	}
}
