package simulation

import (
	"bytes"
	"sort"

	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
)

// decisions is what was decided in a run, and when, as the replicas showed it.
type decisions struct {
	chosen  map[ids.Slot][]byte
	digests map[ids.Slot][]byte // of the state at some instances
	highs   []high              // how far some replica had decided, and since when

	Decided int
}

// high is the highest instance decided anywhere, from a moment on.
type high struct {
	at   ids.Millis
	slot ids.Slot
}

func newDecisions() decisions {
	return decisions{chosen: map[ids.Slot][]byte{}, digests: map[ids.Slot][]byte{}}
}

// agree notes what a node decided; false when another was decided before.
func (l *decisions) agree(w *loop, node ids.Node, d paxos.Decided) bool {
	old, ok := l.chosen[d.Slot]
	if ok && !bytes.Equal(old, d.Raw) {
		w.fail("instance %d decided twice, node %s differs", d.Slot, node)
		return false
	}
	if !ok {
		l.chosen[d.Slot] = append([]byte{}, d.Raw...)
		l.highs = append(l.highs, high{w.now, d.Slot})
		l.Decided++
	}
	return true
}

// checkState checks a node's saved state at an instance against the others'.
func (l *decisions) checkState(w *loop, node ids.Node, s ids.Slot, state []byte) {
	if old, ok := l.digests[s]; ok && !bytes.Equal(old, state) {
		w.fail("state at %d differs on node %s", s, node)
	}
	l.digests[s] = state
}

// checkContactAge checks that a replica that was in touch with a majority so long ago holds
// all that had been decided anywhere before.
func (l *decisions) checkContactAge(w *loop, node ids.Node, age ids.Millis, commit ids.Slot) {
	i := sort.Search(len(l.highs), func(i int) bool { return l.highs[i].at >= w.now-age })
	if i > 0 && l.highs[i-1].slot > commit {
		w.fail("node %s stands at %d and says it was in touch %d ms ago: %d had been decided",
			node, commit, age, l.highs[i-1].slot)
	}
}

// checkCopies checks that each instance up to one is on at least so many members' disks;
// on gives a member's, or nil when that disk is not the member's any more.
func (l *decisions) checkCopies(
	w *loop, when string, members []paxos.Member, to ids.Slot, least int, on func(paxos.Member) *disk,
) {
	for s := ids.Slot(1); s <= to; s++ {
		n := 0
		for _, m := range members {
			if d := on(m); d != nil && d.has(s, l.chosen[s]) {
				n++
			}
		}
		if n < least {
			w.fail("%s: instance %d of %d is on %d of the disks of %v, wanted %d", when, s, to, n, members, least)
			return
		}
	}
}
