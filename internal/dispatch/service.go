package dispatch

import (
	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/ids"
)

const (
	// defaultConnectionLimit is how many connections a worker accepts when its
	// service does not say.
	defaultConnectionLimit = 64
	// workerShareTenths is the part of these that all leaders share, in tenths.
	workerShareTenths = 6
	// fixedShareTenths is the part for a fixed endpoint, which one leader uses.
	fixedShareTenths = 8
)

const (
	// nearLoadEnough is the load from which on a worker of another zone is weighed too.
	nearLoadEnough = 0.7
	// farPenalty is added to the load of a worker of another zone.
	farPenalty = 0.3
	// loadLimit is the load above which a message waits here.
	loadLimit = 3
	// workersSampled is how many free workers are compared.
	workersSampled = 2
)

// service is who a route's messages go to.
type service struct {
	controlapi.Service
	near    []*worker // its workers in this zone
	far     []*worker // its workers in others
	limiter limiter
}

// connectionLimit is how many connections one worker gets from here: six tenths of
// what it accepts, shared by all leaders, so that one that just began finds room
// while the connections of the one before it are still open. Messages to a fixed
// endpoint come from one.
func (h *Host) connectionLimit(s *service) int {
	limit := s.ConnLimit
	if limit <= 0 {
		limit = defaultConnectionLimit
	}
	if s.Fixed != nil {
		return max(1, limit*fixedShareTenths/10)
	}
	return max(1, limit*workerShareTenths/10/h.shardCount())
}

// choice is the best worker found, with its load.
type choice struct {
	worker *worker
	load   float64
}

// pick chooses a worker for an attempt: not the one that failed it last, unless that is the
// only one that can be sent to now. None means that the service as a whole takes nothing now.
func (h *Host) pick(s *service, now ids.Millis, avoid string) *worker {
	if other := h.pickOther(s, now, avoid); other != nil || avoid == "" {
		return other
	}
	last := h.workers[avoid]
	if last == nil || last.Service != s.Label || !last.free(now, h.connectionLimit(s)) || last.overloaded(last.load(now)) {
		return nil
	}
	return last
}

// pickOther chooses the emptier of two workers of this zone, and only when those are full one
// of another.
func (h *Host) pickOther(s *service, now ids.Millis, avoid string) *worker {
	best := h.sample(s, s.near, now, avoid, 0, choice{})
	if best.worker == nil || best.load > nearLoadEnough {
		best = h.sample(s, s.far, now, avoid, farPenalty, best)
	}
	if best.worker != nil && best.worker.overloaded(best.load) {
		return nil
	}
	return best.worker
}

// sample compares some free workers, from a random one on, with the best so far.
func (h *Host) sample(s *service, from []*worker, now ids.Millis, avoid string, penalty float64, best choice) choice {
	if len(from) == 0 {
		return best
	}
	limit := h.connectionLimit(s)
	start := h.Rand.IntN(len(from))
	found := 0
	for i := 0; i < len(from) && found < workersSampled; i++ {
		w := from[(start+i)%len(from)]
		if w.ID == avoid || !w.free(now, limit) {
			continue
		}
		found++
		load := w.load(now) + penalty
		if best.worker == nil || load < best.load {
			best = choice{worker: w, load: load}
		}
	}
	return best
}
