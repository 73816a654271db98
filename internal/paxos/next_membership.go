package paxos

import "oxbowdeck/internal/ids"

// NextMembership gives the next membership on the way from one to another, one member at a
// time; nil when there is nothing to do, or who is to come is not heard. A member
// that comes takes the place of one that goes, else it is added; then what is too
// many goes; last the order changes.
func NextMembership(now, want []Member, heard func(ids.ReplicaID) bool) []Member {
	if SameMembers(now, want) {
		return nil
	}
	var leaves = -1
	for i, m := range now {
		if !has(want, m.ID) {
			leaves = i
			// the place of the one that stands at the same address in want, if any
			for _, w := range want {
				if w.Node == m.Node && !has(now, w.ID) && heard(w.ID) {
					out := append([]Member(nil), now...)
					out[i] = w
					return out
				}
			}
		}
	}
	comes := false
	for _, w := range want {
		if has(now, w.ID) {
			continue
		}
		comes = true
		if !heard(w.ID) || ContainsNode(now, w.Node) {
			continue
		}
		out := append([]Member(nil), now...)
		if leaves >= 0 {
			out[leaves] = w
			return out
		}
		return append(out, w)
	}
	if comes {
		return nil // those that are to come are not there yet
	}
	if leaves >= 0 {
		out := append([]Member(nil), now[:leaves]...)
		return append(out, now[leaves+1:]...)
	}
	return append([]Member(nil), want...)
}
