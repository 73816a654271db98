package modelcheck

import (
	"fmt"
	"slices"

	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
)

// ending says how a world goes on to its end: which replica stays away for good
// (-1: none), and whether what is under way still arrives.
type ending struct {
	dead int
	late bool
}

func (d ending) String() string {
	t := "fairly to the end"
	if d.late {
		t += ", all that was sent arrives"
	}
	if d.dead >= 0 {
		t += fmt.Sprintf(", without %c", 'a'+d.dead)
	}
	return t
}

// chooseEnding takes the end of a state from its digest. One replica may stay away if
// nothing is lost, or the group bears it.
func (e *explorer) chooseEnding(w *world) ending {
	m := w.mark()
	d := ending{dead: -1, late: m[0]&1 == 0}
	if e.servesWithoutOne() && (w.whole() || e.mayLose(w)) {
		if d.dead = int(m[1]) % (len(w.reps) + 1); d.dead == len(w.reps) || !w.alive(d.dead) {
			d.dead = -1
		}
	}
	return d
}

// servesWithoutOne tells whether the group decides while one of its founders is away.
func (e *explorer) servesWithoutOne() bool {
	return e.plan.Voters-1 >= paxos.CopiesNeeded(e.plan.Voters, e.plan.Copies)
}

// end takes a world on without further trouble, each drained process started
// anew, and tells what does not come right.
func (e *explorer) end(w *world, d ending) string {
	var queue []int32
	if d.late {
		for i := range e.parcels {
			if w.sent.has(int32(i)) {
				queue = append(queue, int32(i))
			}
		}
	}
	var fault string
	for i := range w.reps {
		if w.alive(i) && w.left[Drain] < int16(e.plan.Most[Drain]) {
			if n, f := e.apply(w, Step{Kill, int8(i), 0}, false); n != nil {
				w, fault = n, f
			}
		}
		if fault != "" {
			return fault
		}
	}
	given := slices.Clone(w.hist.Given)
	w, fault = e.fair(w, queue, d.dead, true)
	if fault != "" {
		return fault
	}
	for k, o := range e.orders {
		n, most := 0, 1
		if k < len(given) {
			most = max(most, int(given[k]))
		}
		for _, c := range w.hist.Chosen {
			if v, err := paxos.Decode([]byte(c.Val)); err == nil {
				for _, r := range v.Reqs {
					if r.ID == o.ID {
						n++
					}
				}
			}
		}
		if n < 1 || n > most {
			return fmt.Sprintf("liveness: %s, given %d times before, is decided %d times in the end", o.Data, most, n)
		}
	}
	return ""
}

// mostRounds ends a fair run that does not come right, some hundred times the
// longest that does.
const mostRounds = 3000

// fair lets everything happen in order: disks complete, what is sent arrives,
// time passes. It ends when one leader leads, every command (if wanted) is
// decided, the membership wanted is in force and settled, and all are level.
func (e *explorer) fair(w *world, queue []int32, dead int, commands bool) (*world, string) {
	gone := w.gone
	live := func(i int) bool { return i != dead && gone&(1<<i) == 0 }
	do := func(s Step) string {
		n, fault := e.apply(w, s, false)
		if n == nil {
			return fault
		}
		w = n
		for _, x := range e.last.events { // also if the like was sent before
			if x.kind == sends {
				queue = append(queue, x.parcel)
			}
		}
		return fault
	}
	for round := 0; round < mostRounds; round++ {
		for i := range w.reps {
			for live(i) && len(w.reps[i].pending) > 0 {
				if f := do(Step{Sync, int8(i), 0}); f != "" {
					return w, f
				}
			}
		}
		if len(queue) > 0 {
			id := queue[0]
			queue = queue[1:]
			if to := e.parcels[id].to; live(int(to)) {
				if f := do(Step{arrive, to, id}); f != "" {
					return w, f
				}
			}
			continue
		}
		if lead := w.leader(live); lead >= 0 {
			if e.settled(w, lead, live, commands) {
				return w, ""
			}
			if f := e.submitNext(w, lead, commands, do); f != "" {
				return w, f
			}
			if len(queue) > 0 || len(w.reps[lead].pending) > 0 {
				continue
			}
		}
		wait := w.nextWake(live)
		for i := range w.reps {
			if live(i) {
				if f := do(Step{pass, int8(i), int32(wait)}); f != "" {
					return w, f
				}
			}
		}
	}
	return w, "liveness: " + e.standing(w, dead)
}

// leader gives the one that leads in the highest epoch; -1: nobody leads.
func (w *world) leader(live func(int) bool) int {
	lead := -1
	for i, r := range w.reps {
		if live(i) && r.core.Role() == paxos.Leader && (lead < 0 || epochOf(r) > epochOf(w.reps[lead])) {
			lead = i
		}
	}
	return lead
}

// nextWake is how long it is until a timer is due anywhere.
func (w *world) nextWake(live func(int) bool) ids.Millis {
	wait := ids.Millis(1 << 20)
	for i, r := range w.reps {
		if live(i) {
			wait = min(wait, max(1, r.core.NextWake()-r.now))
		}
	}
	return wait
}

func epochOf(r *replica) ids.Ballot { b, _ := r.core.Leader(); return b }

// submitNext gives a leader what is not decided yet, once nothing of it is under way.
func (e *explorer) submitNext(w *world, lead int, commands bool, do func(Step) string) string {
	r := w.reps[lead]
	if n, bytes := r.core.Pending(); n+bytes > 0 {
		return ""
	}
	for k := range e.orders {
		if commands && !e.done(w, k) {
			return do(Step{Submit, int8(lead), int32(k)})
		}
	}
	if !paxos.SameMembers(r.core.Voters(), w.want) {
		return do(Step{ChangeMembership, int8(lead), 0})
	}
	return ""
}

func (e *explorer) done(w *world, k int) bool {
	for _, c := range w.hist.Chosen {
		if v, err := paxos.Decode([]byte(c.Val)); err == nil {
			if slices.ContainsFunc(v.Reqs, func(r paxos.Request) bool { return r.ID == e.orders[k].ID }) {
				return true
			}
		}
	}
	return false
}

// settled tells whether all has come right.
func (e *explorer) settled(w *world, lead int, live func(int) bool, commands bool) bool {
	r := w.reps[lead]
	for k := range e.orders {
		if commands && !e.done(w, k) {
			return false
		}
	}
	whole := true
	for i, x := range w.reps {
		if live(i) && x.core.Commit() != r.core.Commit() {
			return false
		}
		whole = whole && (live(i) || !paxos.ContainsNode(w.want, x.self.Node))
	}
	if n, _ := r.core.Pending(); n > 0 || !whole {
		return n == 0
	}
	return paxos.SameMembers(r.core.Voters(), w.want) && r.core.MembershipRecorded()
}

// standing tells where the replicas stand.
func (e *explorer) standing(w *world, dead int) (t string) {
	for i, r := range w.reps {
		if i != dead && w.alive(i) {
			b, n := r.core.Leader()
			t += fmt.Sprintf("%s/%d role %d commit %d seats %v, follows %s in %d.%d; ",
				r.self.Node, r.self.ID, r.core.Role(), r.core.Commit(), r.core.Voters(), n, b.Round(), b.Replica())
		}
	}
	return t + fmt.Sprintf("wanted %v", w.want)
}
