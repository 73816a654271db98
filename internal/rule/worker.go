package rule

import "oxbowdeck/internal/unit"

// Worker is one life of a service's worker, as it registered.
type Worker struct {
	_        struct{} `cbor:",toarray"`
	ID       string   // entity_id: one life
	Service  string
	Addr     string
	Zone     unit.Zone
	Slots    int
	WarmMs   int64 // it is slow for so long from its registration
	Draining bool
	Gone     bool
	Left     bool   // it said so itself: this life is never taken up again
	Seq      uint64 // its call_seq when it last changed
	At       unit.Slot
}

// Beats tells norm's leader which workers another control process heard lately.
type Beats struct {
	_   struct{} `cbor:",toarray"`
	IDs []string
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
