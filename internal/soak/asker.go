package soak

import (
	"fmt"
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
	state := a.history.state(m, a.fronts(), a.keyOf(m.tenant))
	a.history.count("questions after messages")
	if saysUnknown(state) && a.history.calendar.calm(contactTime, began, time.Now()) {
		a.history.violate("LOST", "message %s, accepted %v ago, is answered %s, as if it were unknown",
			m.id, began.Sub(m.acceptedAt).Round(time.Millisecond), state)
	}
}

// saysUnknown tells whether an answer denies that a message was accepted, or says that it is
// forgotten.
func saysUnknown(state string) bool {
	return state == fmt.Sprint(http.StatusNotFound) || state == fmt.Sprint(http.StatusGone)
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
