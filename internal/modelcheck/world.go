package modelcheck

import (
	"encoding/binary"
	"reflect"
	"slices"

	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
)

// world is a state: the replicas, all that was sent, what was decided so far,
// and what may still happen. It is never changed, only replaced.
type world struct {
	reps []*replica
	sent set
	hist *history
	left [ops]int16
	gone uint8 // replicas that are gone for good
	next ids.ReplicaID
	want []paxos.Member
}

func (w *world) alive(i int) bool { return w.gone&(1<<i) == 0 }

func (w *world) twin() *world {
	n := *w
	n.reps = slices.Clone(w.reps)
	return &n
}

// mark is the digest of a state but for what was sent.
func (w *world) mark() digest {
	b := make([]byte, 0, 160)
	for _, r := range w.reps {
		b = append(b, r.mark[:]...)
	}
	b = append(b, w.hist.mark[:]...)
	b = append(b, w.gone)
	for _, n := range w.left {
		b = binary.AppendVarint(b, int64(n))
	}
	return sum(canon(b, reflect.ValueOf(w.want)))
}

// whole: nothing was lost.
func (w *world) whole() bool { return len(w.hist.Retired) == 0 && w.gone == 0 }

// misses tells whether a member of the membership wanted is gone.
func (w *world) misses() bool {
	for i, r := range w.reps {
		if !w.alive(i) && paxos.ContainsNode(w.want, r.self.Node) {
			return true
		}
	}
	return false
}

// explorer holds what all states share.
type explorer struct {
	plan     *Plan
	founders []paxos.Member
	others   []paxos.Member
	parcels  []parcel
	known    map[string]int32
	memo     map[localKey]*outcome
	orders   []paxos.Request
	last     *outcome // of the step made last
	blind    map[string]bool
	begun    bool // the beginning is over: safeguards may be gone
}

func (e *explorer) index(a ids.Node) int8 { return int8(a[0] - 'a') }

func newExplorer(p *Plan) *explorer {
	p.Most[Submit] = p.Commands
	e := &explorer{plan: p, blind: blind(p), known: map[string]int32{}, memo: map[localKey]*outcome{}}
	for i := 0; i < p.Voters+p.Others; i++ {
		m := paxos.Member{ID: ids.ReplicaID(i + 1), Node: ids.Node(rune('a' + i))}
		if i < p.Voters {
			e.founders = append(e.founders, m)
		}
		e.others = append(e.others, m)
	}
	for i := 0; i < p.Commands; i++ {
		e.orders = append(e.orders, paxos.Request{ID: paxos.ID{Origin: "x", Seq: uint64(i + 1)}, Data: []byte{byte('A' + i)}})
	}
	return e
}

func (e *explorer) begin() *world {
	w := &world{hist: &history{founders: e.founders}, next: ids.ReplicaID(len(e.others) + 1)}
	for op, n := range e.plan.Most {
		w.left[op] = int16(n)
	}
	w.want = slices.Clone(e.founders)
	first := e.plan.Voters - e.plan.Replaced
	copy(w.want[first:], e.others[e.plan.Voters:e.plan.Voters+e.plan.Replaced])
	if e.plan.Grow {
		w.want = append(w.want, e.others[e.plan.Voters])
	}
	for _, m := range e.others {
		r := &replica{self: m, now: 1 << 20, disk: &disk{}}
		r.boot(e.plan, e.founders, e.others)
		r.seal(e.blind)
		w.reps = append(w.reps, r)
	}
	w.hist = w.hist.seal()
	return w
}

// mayLose tells whether a disk or a machine may be lost: when a leader knows the
// membership wanted to be in force and each of its members to hold what was
// decided before it; and, if the plan is bold, the first one at any time.
func (e *explorer) mayLose(w *world) bool {
	if e.plan.Bold && w.whole() {
		return true
	}
	for i, r := range w.reps {
		if w.alive(i) && !w.misses() && r.core.MembershipRecorded() && paxos.SameMembers(r.core.Voters(), w.want) {
			return true
		}
	}
	return false
}
