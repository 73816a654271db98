package control

import (
	"sort"

	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/ids"
)

// maxGoneWorkers is how many workers that are gone stay known, so that a late call of
// one of them is recognised.
const maxGoneWorkers = 512

// worker gives where an id stands, or would.
func (s *State) worker(id string) (int, *controlapi.Worker) {
	i := sort.Search(len(s.Workers), func(i int) bool { return s.Workers[i].ID >= id })
	if i < len(s.Workers) && s.Workers[i].ID == id {
		return i, &s.Workers[i]
	}
	return i, nil
}

// register takes what a worker says of itself, unless it said something later,
// or left. What is read by others is never written to: the list is copied.
func (s *State) register(w controlapi.Worker) bool {
	i, old := s.worker(w.ID)
	if old != nil && (old.Left || w.Seq <= old.Seq || old.Draining && !w.Draining) {
		return false
	}
	w.At, w.Gone, w.Left = s.Slot, false, false
	next := append([]controlapi.Worker(nil), s.Workers...)
	if old != nil {
		if sameWorker(*old, w) {
			return false
		}
		next[i] = w
	} else {
		next = append(next, controlapi.Worker{})
		copy(next[i+1:], next[i:])
		next[i] = w
	}
	s.Workers = next
	return true
}

// unregister ends an incarnation. One that fell silent may be heard again; one that
// left is gone for good, also when it was never heard of.
func (s *State) unregister(w controlapi.Worker) bool {
	i, old := s.worker(w.ID)
	next := append([]controlapi.Worker(nil), s.Workers...)
	switch {
	case old == nil && !w.Left:
		return false
	case old == nil:
		next = append(next, controlapi.Worker{})
		copy(next[i+1:], next[i:])
		next[i] = controlapi.Worker{ID: w.ID}
	case old.Gone && (old.Left || !w.Left), !w.Left && w.Seq != old.Seq:
		return false
	}
	x := &next[i]
	x.Gone, x.Left, x.At = true, w.Left, s.Slot
	s.Workers = next
	s.forgetWorkers()
	return true
}

// forgetWorkers drops the one that has been gone for longest, past a bound.
func (s *State) forgetWorkers() {
	gone, first := 0, -1
	for i, w := range s.Workers {
		if w.Gone {
			if gone++; first < 0 || w.At < s.Workers[first].At {
				first = i
			}
		}
	}
	if gone > maxGoneWorkers {
		s.Forgot = s.Slot
		s.Workers = append(s.Workers[:first:first], s.Workers[first+1:]...)
	}
}

// sameWorker tells whether a worker says what it said before.
func sameWorker(a, b controlapi.Worker) bool {
	return a.Service == b.Service &&
		a.Addr == b.Addr &&
		a.Zone == b.Zone &&
		a.Slots == b.Slots &&
		a.Draining == b.Draining &&
		a.Gone == b.Gone
}

// shards gives how many shards a fleet is founded with: half as many as it has
// stores, 2 to 16; of a queue, a multiple of the zones, so that each zone leads
// as many as the others and its edges can hand in without leaving it.
func (s *State) shards(queue bool, stores int) int {
	n := min(max(2, stores/2), 16)
	if !queue {
		return n
	}
	zones := map[ids.Zone]bool{}
	for _, x := range s.Nodes {
		if x.Role == controlapi.Store && !x.Gone {
			zones[x.Zone] = true
		}
	}
	z := max(1, len(zones))
	return max(z, (n+z-1)/z*z)
}
