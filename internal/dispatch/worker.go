package dispatch

import (
	"log/slog"
	"math/rand/v2"

	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/ids"
)

// loadValidFor is how long a load that was told counts.
const loadValidFor = ids.Millis(400)

// warmupLoadFactor makes a worker that has just begun seem fuller.
const warmupLoadFactor = 1.6

// Rules of a worker's health.
const (
	errorDecay        = 0.8  // of the share of failures, at each answer
	errorLimit        = 0.45 // share of failures at which a worker is ejected
	errorAnswers      = 4    // it answered at least so often before
	probationErrors   = 0.3  // the share with which it begins again
	silenceLimit      = 2    // silences in a row at which a worker is ejected
	ejectFactorLimit  = 8    // an ejection is at most so many times the first one
	fixedEjectFactor  = 2    // the same of a fixed endpoint, which has no other beside it
	busyWait          = ids.Millis(20)
	busyWaitJitterMax = 30 // milliseconds
)

// worker is one incarnation of a worker as this process sees it: what it said of itself,
// and what became of what was sent to it. Its fields belong to the actor; the
// pool to whoever sends.
type worker struct {
	controlapi.Worker
	fixed        bool // the fixed endpoint of a service
	pool         Pool
	inFlight     int // attempts sent from here and not ended
	otherLoad    int // what it told of its load beyond those
	loadToldAt   ids.Millis
	warmAt       ids.Millis // it is slow until then
	silences     int        // silences, resets and refused connections in a row
	errors       float64    // share of failures among its answers, lately
	answers      int
	ejectedUntil ids.Millis // nothing is sent to it until then
	ejectedFor   ids.Millis
	probation    bool // after that: one attempt at a time until one succeeds
	busyUntil    ids.Millis
}

// load is how full a worker seems, in shares of its slots.
func (w *worker) load(now ids.Millis) float64 {
	attempts := float64(w.inFlight)
	if now-w.loadToldAt < loadValidFor {
		attempts += float64(w.otherLoad)
	}
	load := (attempts + 0.5) / float64(max(1, w.Slots))
	if now < w.warmAt {
		load *= warmupLoadFactor
	}
	return load
}

// overloaded tells whether messages wait here rather than in a worker's long queue. A fixed
// endpoint has no other beside it.
func (w *worker) overloaded(load float64) bool { return load > loadLimit && !w.fixed }

// free tells whether an attempt may be sent to a worker now. limit bounds the
// connections to it from here.
func (w *worker) free(now ids.Millis, limit int) bool {
	if w.Gone || w.Draining || now < w.ejectedUntil || now < w.busyUntil || w.inFlight >= limit {
		return false
	}
	return !w.probation || w.inFlight == 0
}

// record takes what became of an attempt into account.
func (w *worker) record(now ids.Millis, result Result, ejectFor ids.Millis, random *rand.Rand) {
	w.recordLoad(now, result.load)
	bad := false
	switch result.kind {
	case answered:
		bad = w.recordAnswer(result.failed)
	case refused:
		w.busyUntil = now + busyWait + ids.Millis(random.IntN(busyWaitJitterMax))
		return
	case silent:
		w.silences++
		bad = w.silences >= silenceLimit || w.probation
	}
	if bad {
		w.eject(now, ejectFor, random)
	} else if result.kind == answered && !result.failed {
		w.probation = false
		w.ejectedFor = 0
	}
}

// recordLoad takes what the worker told of its load.
func (w *worker) recordLoad(now ids.Millis, load workerLoad) {
	if load.slots <= 0 {
		return
	}
	w.otherLoad = max(0, load.running+load.waiting-w.inFlight-1)
	w.loadToldAt = now
	if w.fixed || w.Slots == 0 {
		w.Slots = load.slots
	}
}

// recordAnswer counts an answer; it tells whether the worker fails too often. A fixed
// endpoint has no other to turn to, and each failure counts.
func (w *worker) recordAnswer(failed bool) bool {
	w.silences = 0
	w.answers++
	w.errors *= errorDecay
	if failed {
		w.errors += 1 - errorDecay
	}
	return w.errors > errorLimit && w.answers >= errorAnswers && !w.fixed
}

// eject has nothing sent to a worker for a while, longer each time.
func (w *worker) eject(now, first ids.Millis, random *rand.Rand) {
	w.ejectedFor = min(max(2*w.ejectedFor, first), ejectFactorLimit*first)
	if w.fixed {
		w.ejectedFor = min(w.ejectedFor, fixedEjectFactor*first)
	}
	w.ejectedUntil = now + w.ejectedFor/2 + ids.Millis(random.Int64N(int64(w.ejectedFor)))
	w.probation = true
	w.errors = probationErrors
	w.answers = 0
	slog.Warn("worker-ejected", "worker", w.ID, "service", w.Service,
		"for_ms", w.ejectedUntil-now, "strikes", w.silences)
	w.pool.drop()
}
