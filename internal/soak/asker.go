package soak

import (
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	askerPause = 60 * time.Millisecond // mean
	// knownTime is how long after it was accepted every machine in touch knows of a message.
	knownTime = 2 * time.Second
)

// asker asks any edge how messages stand, all the while.
type asker struct {
	history *QueueHistory
	fronts  func() []string
	keyOf   func(label string) string
}

// run asks until stop is closed.
func (a *asker) run(stop chan struct{}, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0xa54))
	atRandom(stop, random, askerPause, func() {
		if m := a.history.drawAccepted(random); m != nil {
			a.ask(m)
		}
	})
}

// ask asks after one message, and judges that it is unknown. Troubles excuse that.
func (a *asker) ask(m *queueMessage) {
	began := time.Now()
	status := a.history.state(m, a.fronts(), a.keyOf(m.tenant))
	a.history.count("questions after messages")
	unknown := status == "404" || status == "410"
	if unknown && a.history.calendar.calm(contactTime, began, time.Now()) {
		a.history.violate("LOST", "message %s, accepted %v ago, is answered %s: %d is not known",
			m.id, began.Sub(m.acceptedAt).Round(time.Millisecond), status, http.StatusNotFound)
	}
}

// drawAccepted gives a message that was accepted long enough ago to be known everywhere, and not
// so long that it may be forgotten; nil: there is none.
func (h *QueueHistory) drawAccepted(random *rand.Rand) *queueMessage {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.accepts) == 0 {
		return nil
	}
	m := h.accepts[random.IntN(len(h.accepts))]
	age := time.Since(m.acceptedAt)
	if age < knownTime || age > reportTime {
		return nil
	}
	return m
}
