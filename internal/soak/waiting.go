package soak

import (
	"strings"
	"time"
)

// pairPath is what the paths of messages to the service with two workers begin with.
const pairPath = "/pair/"

// longestWait is how long a message may wait for its first run while nothing is in trouble.
const longestWait = 6 * time.Second

// dueAt is when a message that was accepted may run.
func (m *queueMessage) dueAt() time.Time {
	due := m.sent.Add(m.delay)
	if m.acceptedAt.After(due) {
		return m.acceptedAt
	}
	return due
}

// checkWait judges how long a message of the service that has little to do has waited when a
// worker first has it. The caller holds the lock.
func (h *QueueHistory) checkWait(m *queueMessage, now time.Time) {
	if m.acceptedAt.IsZero() || len(m.runs) > 0 || !strings.HasPrefix(m.path, pairPath) {
		return
	}
	waited := now.Sub(m.dueAt())
	if waited <= longestWait || !h.calendar.calm(contactTime, m.sent, now) {
		return
	}
	h.violate("LOST", "message %s on %s waits for a worker %v after its time, with nothing in trouble",
		m.id, m.path, waited.Round(time.Millisecond))
}
