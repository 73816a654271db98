package control

import (
	"slices"
	"sort"

	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
)

// maxFounders is the highest number that a founder of the control group may have; others
// get numbers above it.
const maxFounders = ids.ReplicaID(16)

// find gives the process at an address.
func (s *State) find(a ids.Node) *controlapi.Node {
	for i := range s.Nodes {
		if s.Nodes[i].Addr == a {
			return &s.Nodes[i]
		}
	}
	return nil
}

// enroll takes a process's incarnation; false if it is known. An order to empty it that has not
// come to its end can hold for its new disk, too.
func (s *State) enroll(n controlapi.Node, keepsOrders bool) bool {
	old := s.find(n.Addr)
	if old != nil && old.Disk == n.Disk {
		n.Num = old.Num
	} else if n.Num == 0 && n.Role != controlapi.Edge {
		// a disk not seen before: a number that never voted
		s.Next = max(s.Next, maxFounders) + 1
		n.Num = s.Next
	}
	if old != nil {
		if old.Incarnation == n.Incarnation && !old.Gone {
			return false
		}
		s.clearDeparture(n.Addr)
		n.Empty = old.Empty && (n.Disk == old.Disk || keepsOrders && s.renewOrder(old, n.Disk))
		n.At = s.Slot
		*old = n
	} else {
		s.forget()
		n.At = s.Slot
		s.Nodes = append(s.Nodes, n)
		sort.Slice(s.Nodes, func(i, j int) bool { return s.Nodes[i].Addr < s.Nodes[j].Addr })
	}
	if n.Role == controlapi.Store && len(s.Shards) > 0 {
		s.renumberReplicas(n)
	}
	return true
}

// maxGoneNodes is how many processes of a role that are gone stay known; machines
// come and go under ever new addresses.
const maxGoneNodes = 128

// forget drops the one of each role that has been gone for longest once too many
// are known. Who still has a place or a vote is not dropped; and a disk that comes
// back after it was forgotten gets a number that never voted.
func (s *State) forget() {
	for _, role := range []controlapi.Role{controlapi.Edge, controlapi.Store, controlapi.Control} {
		gone, first := 0, -1
		for i, n := range s.Nodes {
			if n.Gone && n.Role == role && !s.needed(&n) {
				if gone++; first < 0 || n.At < s.Nodes[first].At {
					first = i
				}
			}
		}
		if gone > maxGoneNodes {
			s.Forgot = s.Slot
			s.Nodes = append(s.Nodes[:first:first], s.Nodes[first+1:]...)
		}
	}
}

// needed tells whether a process that is gone still has a place or a vote.
func (s *State) needed(n *controlapi.Node) bool {
	switch n.Role {
	case controlapi.Control:
		return paxos.ContainsNode(s.Voters, n.Addr) || paxos.ContainsNode(s.Recorded, n.Addr)
	case controlapi.Store:
		for _, sh := range s.Shards {
			for _, list := range [][]paxos.Member{sh.Voters, sh.Learners, sh.Members} {
				if paxos.ContainsNode(list, n.Addr) {
					return true
				}
			}
		}
	}
	return false
}

// leave ends an incarnation; false if it has ended.
func (s *State) leave(x controlapi.Node) bool {
	n := s.find(x.Addr)
	if n == nil || n.Incarnation != x.Incarnation || n.Gone {
		return false
	}
	n.Gone = true
	n.At = s.Slot
	s.clearDeparture(n.Addr)
	return true
}

// depart notes that a process was told to end.
func (s *State) depart(x controlapi.Node) {
	n := s.find(x.Addr)
	if n == nil || n.Incarnation != x.Incarnation || n.Gone || s.departing(n) {
		return
	}
	s.Leaving = append(s.Leaving, departure{Addr: n.Addr, Incarnation: n.Incarnation})
}

// departing tells whether a control process was told to end.
func (s *State) departing(n *controlapi.Node) bool {
	return slices.Contains(s.Leaving, departure{Addr: n.Addr, Incarnation: n.Incarnation})
}

// clearDeparture ends a departure: that incarnation ended, or a new one began.
func (s *State) clearDeparture(a ids.Node) {
	s.Leaving = slices.DeleteFunc(slices.Clone(s.Leaving), func(d departure) bool { return d.Addr == a })
}
