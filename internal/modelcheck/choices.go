package modelcheck

import (
	"fmt"

	"oxbowdeck/internal/paxos"
)

// steps lists what may happen next.
func (e *explorer) steps(w *world) (out []Step) {
	for i, r := range w.reps {
		if !w.alive(i) {
			continue
		}
		at := int8(i)
		for k, word := range w.sent {
			for b := 0; word != 0; b, word = b+1, word>>1 {
				if id := int32(k*64 + b); word&1 != 0 && e.parcels[id].to == at {
					out = append(out, Step{Take, at, id})
				}
			}
		}
		lead := r.core.Role() == paxos.Leader
		may := func(o Op, ok bool, args ...int32) {
			if o != Sync && w.left[o] == 0 || !ok {
				return
			}
			for _, a := range args {
				out = append(out, Step{o, at, a})
			}
		}
		may(Sync, len(r.pending) > 0, 0)
		if k := firstRecord(r.pending); k > 0 {
			may(Sync, true, int32(k))
		}
		may(Doubt, !lead, 0)
		may(Heartbeat, lead, 0)
		may(Kill, true, 0)
		may(Power, true, subsets(len(r.pending))...)
		may(Wipe, w.left[Wipe] > 0 && e.mayLose(w), 0)
		may(Leave, w.left[Leave] > 0 && e.mayLose(w), 0)
		may(Drain, lead, 0)
		may(Keep, r.core.Commit() > r.core.Base() && (r.disk.Snap == nil || r.disk.Snap.Slot < r.core.Commit()), 0)
		if given := w.hist.next(); lead && given < len(e.orders) {
			may(Submit, true, int32(given))
		}
		for k := 0; lead && k < w.hist.next(); k++ {
			may(Again, true, int32(k))
		}
		may(ChangeMembership, lead && !paxos.SameMembers(r.core.Voters(), w.want), 0)
	}
	return out
}

// firstRecord gives the first write that need not wait for the snapshots before it,
// which take many turns; 0: none.
func firstRecord(pending []write) int {
	for i, x := range pending {
		if x.Snap == nil {
			return i
		}
	}
	return 0
}

// subsets are the choices of which unsynced writes are there after a loss of
// power: all of them up to three writes, then the prefixes.
func subsets(n int) (out []int32) {
	if n <= 3 {
		for m := int32(0); m < 1<<n; m++ {
			out = append(out, m)
		}
		return out
	}
	for k := 0; k <= n; k++ {
		out = append(out, 1<<k-1)
	}
	return out
}

func (e *explorer) text(w *world, s Step) string {
	t := fmt.Sprintf("%c %s", 'a'+s.At, opNames[s.Op])
	switch s.Op {
	case Take, arrive:
		t += " " + e.parcels[s.Arg].text
	case Submit, Again:
		t += " " + string(e.orders[s.Arg].Data)
	case Sync:
		if s.Arg > 0 {
			t += " past a snapshot"
		}
	case Power:
		t += fmt.Sprintf(", keeps %b of %d writes", s.Arg, len(w.reps[s.At].pending))
	case pass:
		t += fmt.Sprintf(" %d ms", s.Arg)
	}
	return t
}
