package edict

import (
	"oxbowdeck/internal/accord"
	"oxbowdeck/internal/rule"
	"oxbowdeck/internal/unit"
)

// Ear is what the leader of norm's group knows of the other replicas.
type Ear struct {
	Self    unit.Num
	Settled bool // each member holds all that was decided before its membership
	Heard   func(unit.Num) bool
	Silent  func(unit.Num) bool // for so long that its seat may go to another
	Level   func(unit.Num) bool
}

// Members gives the next membership of norm's group, one change from the one in
// force, or nil: a disk that came back empty votes under its new number; the seat
// of one that is gone, or has been silent for long, or else was told to end, goes
// to a process that is level; and the group grows to 2·losses+1, once it is
// settled. A silent member never lets it settle, so nothing else waits for that:
// accord.Core.Reseat sees to it that no change leaves too few who hold what is
// decided.
func (s *State) Members(seats []accord.Member, losses int, e Ear) (next []accord.Member, why string, who unit.Node) {
	next = append(next, seats...)
	zones := map[unit.Zone]int{}
	vacant, leaves := -1, -1
	for i, m := range seats {
		n := s.find(m.Node)
		if n != nil {
			zones[n.Zone]++
		}
		switch {
		case n != nil && n.Duty == rule.Norm && n.Num != 0 && n.Num != m.Num:
			if !n.Gone && e.Heard(n.Num) && e.Level(n.Num) {
				next[i].Num = n.Num
				return next, "renumbered", m.Node
			}
			if n.Gone || !e.Heard(n.Num) {
				vacant = i
			}
		case m.Num == e.Self:
		case n != nil && n.Gone || e.Silent(m.Num):
			vacant = i
		case n != nil && s.departs(n):
			leaves = i
		}
	}
	if vacant < 0 {
		vacant = leaves
	}
	if vacant < 0 && (len(seats) > 2*losses || !e.Settled) {
		return nil, "", ""
	}
	if vacant >= 0 {
		if n := s.find(seats[vacant].Node); n != nil {
			zones[n.Zone]--
		}
	}
	var best *rule.Node
	for i := range s.Nodes {
		n := &s.Nodes[i]
		if n.Duty != rule.Norm || n.Gone || n.Num == 0 || s.departs(n) || accord.Holds(seats, n.Addr) || !e.Level(n.Num) || !e.Heard(n.Num) {
			continue
		}
		if best == nil || zones[n.Zone] < zones[best.Zone] {
			best = n
		}
	}
	if best == nil {
		return nil, "", ""
	}
	m := accord.Member{Num: best.Num, Node: best.Addr}
	if vacant >= 0 {
		next[vacant] = m
		return next, "replaced", seats[vacant].Node
	}
	return append(next, m), "grown", m.Node
}
