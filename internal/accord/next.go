package accord

import "oxbowdeck/internal/unit"

// Next gives the next membership on the way from one to another, one member at a
// time; nil when there is nothing to do, or who is to come is not heard. A member
// that comes takes the place of one that goes, else it is added; then what is too
// many goes; last the order changes.
func Next(now, want []Member, heard func(unit.Num) bool) []Member {
	if Same(now, want) {
		return nil
	}
	var leaves = -1
	for i, m := range now {
		if !has(want, m.Num) {
			leaves = i
			// the place of the one that stands at the same address in want, if any
			for _, w := range want {
				if w.Node == m.Node && !has(now, w.Num) && heard(w.Num) {
					out := append([]Member(nil), now...)
					out[i] = w
					return out
				}
			}
		}
	}
	comes := false
	for _, w := range want {
		if has(now, w.Num) {
			continue
		}
		comes = true
		if !heard(w.Num) || Holds(now, w.Node) {
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
