package soak

import "time"

const (
	// deliveryTime is how long after its acknowledgement a message reaches who stays subscribed.
	deliveryTime = 4 * time.Second
	// progressTime is how lately an older message has to have come to excuse one that has not.
	progressTime = 2 * time.Second
)

// staysFor tells whether one connection held a subscription from a time to another.
func (s *subscription) staysFor(from, to time.Time) bool {
	return s.stays.any(func(stay period) bool {
		return !stay.from.After(from) && !stay.to.IsZero() && !stay.to.Before(to)
	})
}

// late tells whether a subscriber that stayed got neither a message that it was owed in time, nor
// lately an older one. Troubles excuse it. Locks of both histories are held.
func (s *subscription) late(m *topicMessage) bool {
	due := m.ackedAt.Add(deliveryTime)
	if !s.owed(m) || !s.staysFor(m.ackedAt, due) || !s.history.calendar.calm(contactTime, m.ackedAt, due) {
		return false
	}
	if at, got := s.seen[m.body]; got && !at.After(due) {
		return false
	}
	for body, at := range s.seen {
		other := s.history.messages[body]
		older := other != nil && other.first.Before(m.first)
		if older && at.After(due.Add(-progressTime)) && !at.After(due) {
			return false
		}
	}
	return true
}

// checkStays judges the subscribers that stayed on their connections.
func (h *TopicHistory) checkStays() {
	for _, s := range h.subscriptions {
		if !s.retained() {
			continue
		}
		s.mu.Lock()
		h.mu.Lock()
		for _, m := range h.messages {
			if s.late(m) {
				h.violate("LOST", "%s stayed on %s and did not get %s %d within %v of its acknowledgement",
					s.client, s.topic, m.sender, m.ackedSeq, deliveryTime)
			}
		}
		h.mu.Unlock()
		s.mu.Unlock()
	}
}
