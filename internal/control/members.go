package control

import (
	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
)

// GroupView is what the leader of the control group knows of the other replicas.
type GroupView struct {
	Self     ids.ReplicaID
	Recorded bool // each member holds all that was decided before its membership
	Heard    func(ids.ReplicaID) bool
	Silent   func(ids.ReplicaID) bool // for so long that another may replace it
	CaughtUp func(ids.ReplicaID) bool
}

// Members gives the next membership of the control group, one change from the one in
// force, or nil: a disk that came back empty votes under its new number; one that is
// gone, or has been silent for long, or else was told to end, is replaced by a
// process that caught up; and the group grows to 2·losses+1, once its membership is
// recorded. A silent member never lets it be recorded, so nothing else waits for that:
// paxos.Core.ChangeMembership sees to it that no change leaves too few who hold what
// is decided.
func (s *State) Members(
	members []paxos.Member, losses int, view GroupView,
) (next []paxos.Member, why string, who ids.Node) {
	next = append(next, members...)
	if i, id, ok := s.renumbered(members, view); ok {
		next[i].ID = id
		return next, "renumbered", members[i].Node
	}
	leaves := s.memberToReplace(members, view)
	if leaves < 0 && (len(members) > 2*losses || !view.Recorded) {
		return nil, "", ""
	}
	best := s.spareControl(members, leaves, view)
	if best == nil {
		return nil, "", ""
	}
	m := paxos.Member{ID: best.Num, Node: best.Addr}
	if leaves >= 0 {
		next[leaves] = m
		return next, "replaced", members[leaves].Node
	}
	return append(next, m), "grown", m.Node
}

// renumbered gives the first member whose disk came back empty and caught up under a
// new number.
func (s *State) renumbered(members []paxos.Member, view GroupView) (at int, id ids.ReplicaID, ok bool) {
	for i, m := range members {
		n := s.find(m.Node)
		if !hasNewNumber(n, m) {
			continue
		}
		if !n.Gone && view.Heard(n.Num) && view.CaughtUp(n.Num) {
			return i, n.Num, true
		}
	}
	return 0, 0, false
}

// hasNewNumber tells whether a member's process was given another number.
func hasNewNumber(n *controlapi.Node, m paxos.Member) bool {
	return n != nil && n.Role == controlapi.Control && n.Num != 0 && n.Num != m.ID
}

// memberToReplace gives the member that is lost, else the one that was told to end;
// -1 if there is none.
func (s *State) memberToReplace(members []paxos.Member, view GroupView) int {
	lost, leaves := -1, -1
	for i, m := range members {
		n := s.find(m.Node)
		switch {
		case hasNewNumber(n, m):
			if n.Gone || !view.Heard(n.Num) {
				lost = i
			}
		case m.ID == view.Self:
		case n != nil && n.Gone || view.Silent(m.ID):
			lost = i
		case n != nil && s.departing(n):
			leaves = i
		}
	}
	if lost >= 0 {
		return lost
	}
	return leaves
}

// spareControl gives a control process that can become a member: one that caught up,
// of the zone with the fewest members beside the one that leaves.
func (s *State) spareControl(members []paxos.Member, leaves int, view GroupView) (best *controlapi.Node) {
	zones := map[ids.Zone]int{}
	for i, m := range members {
		if n := s.find(m.Node); n != nil && i != leaves {
			zones[n.Zone]++
		}
	}
	for i := range s.Nodes {
		n := &s.Nodes[i]
		switch {
		case n.Role != controlapi.Control, n.Gone, n.Num == 0, s.departing(n):
		case paxos.ContainsNode(members, n.Addr):
		case !view.CaughtUp(n.Num), !view.Heard(n.Num):
		case best == nil, zones[n.Zone] < zones[best.Zone]:
			best = n
		}
	}
	return best
}
