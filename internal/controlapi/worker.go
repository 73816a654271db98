package controlapi

import "oxbowdeck/internal/ids"

// Worker is one incarnation of a service's worker, as it registered.
type Worker struct {
	_        struct{} `cbor:",toarray"`
	ID       string   // entity_id: one incarnation
	Service  string
	Addr     string
	Zone     ids.Zone
	Slots    int
	WarmMs   int64 // it is slow for so long from its registration
	Draining bool
	Gone     bool
	Left     bool   // it said so itself: this incarnation is never taken up again
	Seq      uint64 // its call_seq when it last changed
	At       ids.Slot
}

// WorkerHeartbeats tells control's leader which workers call another control process. Each call
// has a number there; the worker is answered once the leader has it.
type WorkerHeartbeats struct {
	_   struct{} `cbor:",toarray"`
	Nos []uint64
	IDs []string
}

// WorkerHeartbeatsHeard is the leader's answer: which calls it has, and which of them are of
// workers that it does not know as living.
type WorkerHeartbeatsHeard struct {
	_       struct{} `cbor:",toarray"`
	Nos     []uint64
	Unknown []uint64
}

// withWorkers gives the workers after a change: those that are gone are known
// to the control plane alone.
func withWorkers(old, changed []Worker) []Worker {
	if len(changed) == 0 {
		return old
	}
	by := make(map[string]Worker, len(changed))
	for _, x := range changed {
		by[x.ID] = x
	}
	out := make([]Worker, 0, len(old)+len(changed))
	for _, x := range old {
		if _, ok := by[x.ID]; !ok {
			out = append(out, x)
		}
	}
	for _, x := range changed {
		if !x.Gone {
			out = append(out, x)
		}
	}
	return out
}
