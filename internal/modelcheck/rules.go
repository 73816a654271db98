package modelcheck

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"

	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
)

// history is what has happened, as one sees it who sees every disk. One that is
// part of a world is never changed, only replaced.
type history struct {
	facts
	founders []paxos.Member
	mark     digest
	sealed   bool
}

type facts struct {
	Votes   []vote   // on the disks, now or once
	Chosen  []chosen // in order of instances
	Given   []int8   // how often each command was given to a leader
	Asked   [][]paxos.Member
	Retired []ids.ReplicaID // of disks that were lost
}

// vote is one replica's accepted entry.
type vote struct {
	Slot   ids.Slot
	Ballot ids.Ballot
	Num    ids.ReplicaID
	Val    string
}

// chosen is what a majority accepted under one epoch, the lowest such.
type chosen struct {
	Slot    ids.Slot
	Ballot  ids.Ballot
	Val     string
	Members []paxos.Member
}

func (h *history) open() *history {
	if !h.sealed {
		return h
	}
	n := *h
	n.sealed = false
	n.Votes, n.Chosen, n.Given = slices.Clone(h.Votes), slices.Clone(h.Chosen), slices.Clone(h.Given)
	n.Asked, n.Retired = slices.Clone(h.Asked), slices.Clone(h.Retired)
	return &n
}

func (h *history) seal() *history {
	if !h.sealed {
		h.sealed = true
		h.mark = sum(canon(nil, reflect.ValueOf(h.facts)))
	}
	return h
}

func (h *history) given(i int32, of int) *history {
	h = h.open()
	if h.Given == nil {
		h.Given = make([]int8, of)
	}
	h.Given[i]++
	return h
}

// next is the first command that nobody was given.
func (h *history) next() int {
	if i := slices.Index(h.Given, 0); i >= 0 {
		return i
	}
	return len(h.Given)
}

func (h *history) ask(members []paxos.Member) *history {
	h = h.open()
	h.Asked = append(h.Asked, members)
	return h
}

func (h *history) retire(n ids.ReplicaID) *history {
	h = h.open()
	h.Retired = append(h.Retired, n)
	return h
}

func (h *history) at(s ids.Slot) (chosen, bool) {
	i, ok := slices.BinarySearchFunc(h.Chosen, s, func(c chosen, s ids.Slot) int { return cmp.Compare(c.Slot, s) })
	if !ok {
		return chosen{}, false
	}
	return h.Chosen[i], true
}

// prefix is the last instance up to which everything is chosen.
func (h *history) prefix() (s ids.Slot) {
	for _, c := range h.Chosen {
		if c.Slot != s+1 {
			break
		}
		s++
	}
	return s
}

// seats are the voters of an instance: of the last change chosen WND below it.
func (h *history) members(s ids.Slot, wnd int) []paxos.Member {
	out := h.founders
	for _, c := range h.Chosen {
		if len(c.Members) > 0 && c.Slot+ids.Slot(wnd) <= s {
			out = c.Members
		}
	}
	return out
}

// judge takes what happened into the history and gives the rule it broke.
func (e *explorer) judge(h *history, x event) (*history, string) {
	switch x.kind {
	case broken:
		return h, x.text
	case votes:
		return e.vote(h, vote{x.slot, x.ballot, x.num, x.val})
	case decides:
		return h, e.decides(h, x)
	case leads:
		return h, e.leads(h, x)
	case installs:
		if h.prefix() < x.slot {
			return h, fmt.Sprintf("agreement: a snapshot up to %d is installed, chosen is all up to %d", x.slot, h.prefix())
		}
	case sends:
		return h, e.sends(h, x)
	}
	return h, ""
}

func (e *explorer) vote(h *history, v vote) (*history, string) {
	if slices.Contains(h.Votes, v) {
		return h, ""
	}
	h = h.open()
	h.Votes = append(h.Votes, v)
	slices.SortFunc(h.Votes, func(a, b vote) int {
		return cmp.Or(
			cmp.Compare(a.Slot, b.Slot),
			cmp.Compare(a.Ballot, b.Ballot),
			cmp.Compare(a.Num, b.Num),
			cmp.Compare(a.Val, b.Val),
		)
	})
	if !e.byMajority(h, v) {
		return h, ""
	}
	c, ok := h.at(v.Slot)
	if ok && c.Val != v.Val {
		return h, fmt.Sprintf("agreement: instance %d is chosen as %s in epoch %d.%d and as %s in %d.%d", v.Slot,
			named([]byte(c.Val)), c.Ballot.Round(), c.Ballot.Replica(),
			named([]byte(v.Val)), v.Ballot.Round(), v.Ballot.Replica())
	}
	if ok {
		for i := range h.Chosen {
			if h.Chosen[i].Slot == v.Slot {
				h.Chosen[i].Ballot = min(c.Ballot, v.Ballot)
			}
		}
		return h, ""
	}
	n := chosen{v.Slot, v.Ballot, v.Val, nil}
	d, err := paxos.Decode([]byte(v.Val))
	if err != nil {
		return h, fmt.Sprintf("validity: instance %d: %v", v.Slot, err)
	}
	for _, r := range d.Reqs {
		same := func(o paxos.Request) bool { return o.ID == r.ID && string(o.Data) == string(r.Data) }
		if !slices.ContainsFunc(e.orders, same) ||
			int(r.ID.Seq) > len(h.Given) || h.Given[r.ID.Seq-1] == 0 {
			return h, fmt.Sprintf("validity: instance %d is chosen as %s, which nobody asked for", v.Slot, named([]byte(v.Val)))
		}
	}
	if n.Members = d.Members; len(d.Members) > 0 {
		if f := e.change(h, n); f != "" {
			return h, f
		}
	}
	h.Chosen = append(h.Chosen, n)
	slices.SortFunc(h.Chosen, func(a, b chosen) int { return cmp.Compare(a.Slot, b.Slot) })
	return h, ""
}

// byMajority tells whether a majority of an instance's voters accepted what a vote is for.
func (e *explorer) byMajority(h *history, v vote) bool {
	yes := 0
	members := h.members(v.Slot, e.plan.Conf.Window)
	for _, m := range members {
		if slices.Contains(h.Votes, vote{v.Slot, v.Ballot, m.ID, v.Val}) {
			yes++
		}
	}
	return 2*yes > len(members)
}

// change checks that a membership change is a step towards one asked for, of one
// member, and that none other is under way.
func (e *explorer) change(h *history, n chosen) string {
	wnd := ids.Slot(e.plan.Conf.Window)
	for _, c := range h.Chosen {
		if len(c.Members) > 0 && c.Slot+wnd >= n.Slot && n.Slot+wnd >= c.Slot {
			return fmt.Sprintf("one change at a time: memberships are chosen in instances %d and %d, WND is %d",
				c.Slot, n.Slot, wnd)
		}
	}
	was := h.members(n.Slot, e.plan.Conf.Window)
	comes, goes := without(n.Members, was), without(was, n.Members)
	if len(comes) > 1 || len(goes) > 1 {
		return fmt.Sprintf("one change at a time: from %v to %v", was, n.Members)
	}
	for _, m := range comes {
		if !slices.ContainsFunc(h.Asked, func(a []paxos.Member) bool { return slices.Contains(a, m) }) {
			return fmt.Sprintf("validity: %v is given a seat, which nobody asked for", m)
		}
	}
	return ""
}

func without(a, b []paxos.Member) (out []paxos.Member) {
	for _, m := range a {
		if !slices.Contains(b, m) {
			out = append(out, m)
		}
	}
	return out
}

// decides: what a replica takes for decided is on the disks of a majority, or
// was when it was decided.
func (e *explorer) decides(h *history, x event) string {
	c, ok := h.at(x.slot)
	switch {
	case !ok:
		return fmt.Sprintf("agreement: number %d takes instance %d for decided as %s, which no majority accepted",
			x.num, x.slot, named([]byte(x.val)))
	case c.Val != x.val:
		return fmt.Sprintf("agreement: number %d takes instance %d for decided as %s, chosen is %s",
			x.num, x.slot, named([]byte(x.val)), named([]byte(c.Val)))
	}
	holders := map[ids.ReplicaID]bool{}
	for _, v := range h.Votes {
		if v.Slot == x.slot && v.Val == x.val {
			holders[v.Num] = true
		}
	}
	if want := min(e.plan.Copies, len(h.members(x.slot, e.plan.Conf.Window))); len(holders) < want {
		return fmt.Sprintf("durable copies: number %d takes instance %d for decided, which is on %d disks, wanted %d",
			x.num, x.slot, len(holders), want)
	}
	return ""
}

// leads checks whose decided time a new leader goes on with: no leader in between had anything
// decided, whose time may be behind that.
func (e *explorer) leads(h *history, x event) string {
	for _, v := range h.Votes {
		if x.timeOf == 0 || v.Ballot <= x.timeOf || v.Ballot >= x.ballot {
			continue
		}
		if e.byMajority(h, v) {
			return fmt.Sprintf("time: number %d leads epoch %d with the time of epoch %d, and instance %d is chosen in epoch %d",
				x.num, x.ballot.Round(), x.timeOf.Round(), v.Slot, v.Ballot.Round())
		}
	}
	return ""
}

// sends checks what is said: a leader finds what was chosen under epochs before
// its own, keeps to the window, and a number whose disk is lost is not heard of
// again.
func (e *explorer) sends(h *history, x event) string {
	p := &e.parcels[x.parcel]
	if slices.Contains(h.Retired, x.num) {
		return fmt.Sprintf("lost disk: number %d says %s, and its disk was lost", x.num, p.text)
	}
	m := p.msg
	if _, ok := h.at(m.Slot); m.Kind == paxos.Accepted && !x.firm && !ok {
		return fmt.Sprintf("durable answers: there goes %s, which is not on its disk", p.text)
	}
	if m.Kind != paxos.Accept {
		return ""
	}
	if c, ok := h.at(m.Slot); ok && m.Ballot >= c.Ballot && string(m.Val) != c.Val {
		return fmt.Sprintf("found by every later leader: instance %d is chosen as %s in epoch %d.%d, and there goes %s",
			m.Slot, named([]byte(c.Val)), c.Ballot.Round(), c.Ballot.Replica(), p.text)
	}
	if m.Slot > h.prefix()+ids.Slot(e.plan.Conf.Window) {
		return fmt.Sprintf("window: chosen is all up to %d, WND is %d, and there goes %s",
			h.prefix(), e.plan.Conf.Window, p.text)
	}
	return ""
}

// holders checks a change of membership against the disks: what its leader had
// decided when it was asked is on the disk of each member that is new, and on
// those of a majority of the members to come. A machine or a disk that was lost
// counts as if it held it: it is one of the losses that are borne.
func (w *world) holders(c *membershipChange) string {
	held := 0
	for _, m := range c.after {
		holds := w.holdsUpTo(m, c.decided)
		if holds {
			held++
		}
		if !holds && !slices.Contains(c.before, m) {
			return fmt.Sprintf("membership on disk: %s/%d gets a vote and does not hold all up to %d", m.Node, m.ID, c.decided)
		}
	}
	if 2*held <= len(c.after) {
		return fmt.Sprintf("membership on disk: %d of %v hold all up to %d", held, c.after, c.decided)
	}
	return ""
}

// holdsUpTo tells whether a member's disk has every instance up to one, or was lost.
func (w *world) holdsUpTo(m paxos.Member, last ids.Slot) bool {
	for i, r := range w.reps {
		if r.self == m {
			return !w.alive(i) || r.disk.reach() >= last
		}
	}
	return true
}
