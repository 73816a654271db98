package soak

import (
	"net/http"
	"strings"
	"time"
)

// Messages that no worker can do: each run of one fails, or is refused for good.
const (
	failingPath  = "/failing/"
	refusedPath  = "/refused/"
	hopelessPart = 25 // one message in so many is of either kind

	failingAttempts = 3 // max_attempts of the route
	// budgetFactor is how many times the attempts allowed a message may fail before it is a fault
	// that it comes again.
	budgetFactor  = 3
	refusedBudget = 3 // so many refusals for good
)

// hopelessAnswer is what a worker answers a message that can't be done; 0: it can.
func hopelessAnswer(path string) int {
	switch {
	case strings.HasPrefix(path, failingPath):
		return http.StatusInternalServerError
	case strings.HasPrefix(path, refusedPath):
		return http.StatusUnprocessableEntity
	}
	return 0
}

// wantedState is how a message is told of once it has ended.
func (m *queueMessage) wantedState() string {
	if hopelessAnswer(m.path) != 0 {
		return "undeliverable"
	}
	return "completed"
}

// ended tells whether a message has ended, as its workers' answers have it.
func (m *queueMessage) ended() bool {
	return !m.doneAt.IsZero() || m.refused > 0 || hopelessAnswer(m.path) != 0 && m.failed >= failingAttempts
}

// answersHopeless notes what a worker is about to answer a message that can't be done.
func (h *QueueHistory) answersHopeless(run *queueRun, status int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	m := run.message
	if m == nil {
		return
	}
	if status == http.StatusUnprocessableEntity {
		m.refused++
	} else {
		m.failed++
	}
	if m.hopelessAt.IsZero() && m.ended() {
		m.hopelessAt = time.Now()
	}
}

// checkBudget judges that a message comes to a worker which has failed, or was refused, so
// often that it must not come any more. Troubles excuse it.
func (h *QueueHistory) checkBudget(m *queueMessage) {
	spent := hopelessAnswer(m.path) != 0 && m.failed >= budgetFactor*failingAttempts || m.refused >= refusedBudget
	if now := time.Now(); spent && h.calendar.calm(contactTime, now, now) {
		h.violate("BUDGET", "message %s comes again after %d failures and %d refusals", m.id, m.failed, m.refused)
	}
}
