package modelcheck

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"

	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
)

// Result is what an exploration saw.
type Result struct {
	States  int
	Moves   int  // transitions: steps that changed something
	Locals  int  // steps worked out at a replica; the others were known
	Depth   int  // the longest path walked
	Whole   bool // everything within the budgets was visited
	Ends    int  // states from which the world went on to its end
	Led     int  // states in which a leader leads that did not at the beginning
	Done    int  // states in which every command is chosen
	Changed int  // states in which a change of membership is chosen
	Fault   *Fault
}

func (r Result) String() string {
	return fmt.Sprintf("states=%d transitions=%d depth=%d whole=%v ends=%d local_steps=%d "+
		"new_leader=%d all_chosen=%d membership_chosen=%d",
		r.States, r.Moves, r.Depth, r.Whole, r.Ends, r.Locals, r.Led, r.Done, r.Changed)
}

// Fault is a rule broken, and the steps to it from the beginning.
type Fault struct {
	Rule string
	Path []string
}

func (f *Fault) Error() string { return f.Rule + "\n  " + strings.Join(f.Path, "\n  ") }

// visit is a state as it was first reached.
type visit struct {
	from *visit
	step Step
	far  int
	w    *world // until it was visited
}

func (v *visit) path() (out []Step) {
	for ; v.from != nil; v = v.from {
		out = append(out, v.step)
	}
	slices.Reverse(out)
	return out
}

// search is an exploration under way.
type search struct {
	*explorer
	begin *visit
	first *world
	epoch ids.Ballot // that leads at the beginning
	seen  visited
	res   Result
}

// Run explores a plan: all of it, breadth first, or along walks drawn from a
// seed. The same plan gives the same result on any machine.
func Run(p Plan) Result {
	e, w, fault := start(&p)
	s := &search{explorer: e, begin: &visit{w: w}, first: w, epoch: w.epoch(), seen: visited{}, res: Result{States: 1}}
	s.seen.add(w)
	switch {
	case fault != "":
		s.res.Fault = &Fault{Rule: "beginning: " + fault}
	case p.Walks != 0:
		s.walks()
	default:
		s.breadth()
	}
	s.res.Locals = len(e.memo)
	return s.res
}

func (s *search) breadth() {
	queue := []*visit{s.begin}
	for head := 0; head < len(queue); head++ {
		v := queue[head]
		queue[head] = nil
		for _, st := range s.steps(v.w) {
			x, fresh := s.visit(v, st)
			if s.res.Fault != nil || s.res.States > s.plan.States {
				s.res.States = min(s.res.States, s.plan.States)
				return
			}
			if fresh {
				queue = append(queue, x)
			}
		}
		v.w = nil
	}
	s.res.Whole = true
}

// longest is the most steps of a walk; most worlds are at their end before.
const longest = 120

func (s *search) walks() {
	rng := rand.New(rand.NewSource(s.plan.Walks))
	for s.res.Fault == nil && s.res.States < s.plan.States && s.res.Moves < 50*s.plan.States {
		for v := s.begin; v != nil && v.far < longest && s.res.Fault == nil; {
			all := s.steps(v.w)
			rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
			from := v
			v = nil
			for _, st := range all {
				if v, _ = s.visit(from, st); v != nil {
					break
				}
			}
		}
	}
}

// visit makes a step, and checks what it leads to; nil if it changes nothing.
func (s *search) visit(from *visit, st Step) (v *visit, fresh bool) {
	n, fault := s.apply(from.w, st, s.plan.Walks == 0)
	if n == nil {
		return nil, false
	}
	s.res.Moves++
	v = &visit{from, st, from.far + 1, n}
	if fault != "" {
		s.res.Fault = s.minimize(s.first, v.path(), fault, nil)
		return v, false
	}
	if !s.seen.add(n) {
		return v, false
	}
	s.res.States++
	s.res.note(s.explorer, n, s.epoch, v.far)
	if p := s.plan; p.EndEvery > 0 && s.res.States%p.EndEvery == 0 {
		s.res.Ends++
		d := s.chooseEnding(n)
		if fault := s.end(n, d); fault != "" {
			s.res.Fault = s.minimize(s.first, v.path(), fault, &d)
		}
	}
	return v, true
}

// visited holds the states visited: for replicas, history and budgets alike the
// sets of what was sent. One with less sent than a state visited can do nothing
// which that one can't, since what was sent may never arrive: it is left out.
type visited map[digest][]set

func (v visited) add(w *world) bool {
	m := w.mark()
	for _, s := range v[m] {
		if w.sent.in(s) {
			return false
		}
	}
	v[m] = append(slices.DeleteFunc(v[m], func(s set) bool { return s.in(w.sent) }), w.sent)
	return true
}

// epoch is the highest that leads.
func (w *world) epoch() (b ids.Ballot) {
	for _, r := range w.reps {
		if x, _ := r.core.Leader(); r.core.Role() == paxos.Leader {
			b = max(b, x)
		}
	}
	return b
}

func (r *Result) note(e *explorer, w *world, first ids.Ballot, far int) {
	r.Depth = max(r.Depth, far)
	if w.epoch() > first {
		r.Led++
	}
	done, changed := 0, 0
	for _, c := range w.hist.Chosen {
		if v, err := paxos.Decode([]byte(c.Val)); err == nil {
			done += len(v.Reqs)
		}
		if len(c.Members) > 0 {
			changed = 1
		}
	}
	if done >= len(e.orders) {
		r.Done++
	}
	r.Changed += changed
}

// start runs a world fairly until a leader knows that all is settled; what was
// sent until then has arrived. Then it makes the steps of the plan's own path,
// which cost nothing.
func start(p *Plan) (*explorer, *world, string) {
	e := newExplorer(p)
	w := e.begin()
	n := w.twin()
	n.want = e.founders
	n, fault := e.fair(n, nil, -1, false)
	n = n.twin()
	n.sent, n.want = nil, w.want
	for op := range n.left {
		n.left[op] = 100
	}
	e.begun = true
	for _, t := range p.Path {
		if fault != "" {
			break
		}
		var err error
		if n, fault, err = e.follow(n, t); err != nil {
			return e, n, err.Error()
		}
	}
	n = n.twin()
	n.left = w.left
	return e, n, fault
}

// follow makes a step, told as a Fault tells it; one that is not possible is an
// error.
func (e *explorer) follow(w *world, t string) (*world, string, error) {
	if ends, ok := strings.CutPrefix(t, "then "); ok {
		for d := (ending{-1, false}); d.dead < len(w.reps); d.dead++ {
			for _, d.late = range []bool{false, true} {
				if d.String() == ends {
					return w, e.end(w, d), nil
				}
			}
		}
	}
	all := e.steps(w)
	k := slices.IndexFunc(all, func(s Step) bool { return e.text(w, s) == t })
	if k < 0 {
		var can []string
		for _, s := range all {
			can = append(can, e.text(w, s))
		}
		return w, "", fmt.Errorf("%q is not possible; these are: %s", t, strings.Join(can, "; "))
	}
	n, fault := e.apply(w, all[k], true)
	if n == nil {
		n = w
	}
	return n, fault, nil
}

// Walk makes the steps of a path, told as a Fault tells them, and gives the
// rule that the last of them broke.
func Walk(p Plan, path []string) (rule string, err error) {
	e, w, rule := start(&p)
	for _, t := range path {
		if rule != "" {
			return rule, fmt.Errorf("%q comes after the fault", t)
		}
		if w, rule, err = e.follow(w, t); err != nil {
			return "", err
		}
	}
	return rule, nil
}

// walk makes the steps of a path that are possible; it gives those made up to a
// fault, and the fault.
func (e *explorer) walk(w *world, path []Step, d *ending) (made []Step, text []string, fault string) {
	for _, s := range path {
		if !slices.Contains(e.steps(w), s) {
			continue
		}
		n, f := e.apply(w, s, true)
		if n == nil {
			continue
		}
		made, text = append(made, s), append(text, e.text(w, s))
		if w = n; f != "" {
			return made, text, f
		}
	}
	if d != nil {
		return made, append(text, "then "+d.String()), e.end(w, *d)
	}
	return made, text, ""
}

// minimize leaves steps out as long as the same rule is broken.
func (e *explorer) minimize(w *world, path []Step, fault string, d *ending) *Fault {
	name, _, _ := strings.Cut(fault, ":")
	f := &Fault{Rule: fault}
	made, text, got := e.walk(w, path, d)
	for i := len(made) - 1; i >= 0; i-- {
		m, t, g := e.walk(w, slices.Delete(slices.Clone(made), i, i+1), d)
		if strings.HasPrefix(g, name+":") {
			made, text, got, i = m, t, g, min(i, len(m))
		}
	}
	if f.Path = text; got != "" {
		f.Rule = got
	}
	return f
}
