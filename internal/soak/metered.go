package soak

import (
	"slices"
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

// arrives notes an arrival at a worker of the service.
func (h *QueueHistory) arrives(service string) {
	if service != meteredService {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.arrivals = append(h.arrivals, time.Now())
}

// checkArrivals judges the fullest window. Troubles excuse nothing.
func (h *QueueHistory) checkArrivals() {
	h.mu.Lock()
	defer h.mu.Unlock()
	slices.SortFunc(h.arrivals, time.Time.Compare)
	worst := 0
	first := 0
	for i, at := range h.arrivals {
		for at.Sub(h.arrivals[first]) >= ceilingWindow {
			first++
		}
		worst = max(worst, i-first+1)
	}
	h.note("service %s: %d arrivals, %d in the fullest window, %d may be", meteredService, len(h.arrivals), worst, mostArrivals())
	if worst > mostArrivals() {
		h.violate("CEILING", "service %s: %d arrivals within %v, at most %d may be", meteredService, worst, ceilingWindow, mostArrivals())
	}
}
