package soak

import (
	"slices"
	"sync"
	"time"
)

// A service with a limit over all machines: it may get so many arrivals in any ceilingWindow as
// the settings' ceiling_window_s and ceiling_excess say.
const (
	meteredService = "metered"
	meteredRate    = 12 // arrivals a second: less than is handed in while only planned work goes on
	meteredShare   = 10 // one message in so many is for it

	ceilingWindow = 5 * time.Second
	ceilingExcess = 1.1
	ceilingSlack  = 5
)

// mostArrivals is how many arrivals the service may get in a window.
func mostArrivals() int {
	return int(meteredRate*ceilingWindow.Seconds()*ceilingExcess) + ceilingSlack
}

// arrivalMeter holds the arrivals at workers of the service.
type arrivalMeter struct {
	mu       sync.Mutex
	arrivals []time.Time
}

// arrives notes an arrival at a worker of any service.
func (m *arrivalMeter) arrives(service string) {
	if service != meteredService {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.arrivals = append(m.arrivals, time.Now())
}

// fullest counts all arrivals and those of the fullest window.
func (m *arrivalMeter) fullest() (all, worst int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	slices.SortFunc(m.arrivals, time.Time.Compare)
	first := 0
	for i, at := range m.arrivals {
		for at.Sub(m.arrivals[first]) >= ceilingWindow {
			first++
		}
		worst = max(worst, i-first+1)
	}
	return len(m.arrivals), worst
}

// checkArrivals judges the fullest window. Troubles excuse nothing.
func (h *QueueHistory) checkArrivals() {
	all, worst := h.metered.fullest()
	h.note("service %s: %d arrivals, %d in the fullest window, %d may be", meteredService, all, worst, mostArrivals())
	if worst > mostArrivals() {
		h.violate("CEILING", "service %s: %d arrivals within %v, at most %d may be", meteredService, worst, ceilingWindow, mostArrivals())
	}
}
