package control

import (
	"slices"

	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/paxos"
)

// membershipReport takes a shard leader's report; one of an older epoch changes nothing.
func (s *State) membershipReport(r controlapi.MembershipReport) bool {
	if int(r.Group) >= len(s.Shards) || r.Epoch < s.Shards[r.Group].Epoch {
		return false
	}
	sh := &s.Shards[r.Group]
	same := paxos.SameMembers(sh.Members, r.Members)
	sh.Members, sh.Epoch = r.Members, r.Epoch
	if !same {
		sh.At = s.Slot
	}
	return !same
}

// move changes a shard's placement by one replica, if it still fits.
func (s *State) move(sh *controlapi.Shard, c *Command) bool {
	n := s.find(c.To.Node)
	if n == nil || n.Role != controlapi.Store || n.Num != c.To.ID {
		return false
	}
	follows := index(sh.Learners, c.To)
	switch c.Verb {
	case Follow:
		if n.Gone || n.Empty || follows >= 0 || paxos.ContainsNode(sh.Voters, n.Addr) {
			return false
		}
		sh.Learners = append(cut(sh.Learners, -1), c.To)
	case Promote:
		i := index(sh.Voters, c.From)
		if i < 0 || follows < 0 || n.Gone || n.Empty {
			return false
		}
		sh.Voters = append([]paxos.Member(nil), sh.Voters...)
		sh.Voters[i] = c.To
		sh.Learners = cut(sh.Learners, follows)
		if o := s.find(c.From.Node); o != nil && !o.Gone && (!o.Empty || c.UntilReleased) {
			sh.Learners = append(sh.Learners, paxos.Member{ID: o.Num, Node: o.Addr})
		}
	case AddVoter:
		if follows < 0 || n.Gone || n.Empty || len(sh.Voters) >= s.WantedVoters {
			return false
		}
		sh.Voters = append(cut(sh.Voters, -1), c.To)
		sh.Learners = cut(sh.Learners, follows)
	case Drop:
		if follows < 0 {
			return false
		}
		sh.Learners = cut(sh.Learners, follows)
	}
	sh.At = s.Slot
	return true
}

func index(members []paxos.Member, m paxos.Member) int { return slices.Index(members, m) }

// cut gives a copy without the member at i. What is read by others is never written to.
func cut(members []paxos.Member, i int) (out []paxos.Member) {
	for j, x := range members {
		if j != i {
			out = append(out, x)
		}
	}
	return out
}

// renumberReplicas gives the replicas of a store whose disk came back empty its new
// number.
func (s *State) renumberReplicas(n controlapi.Node) {
	m := paxos.Member{ID: n.Num, Node: n.Addr}
	for i := range s.Shards {
		sh := &s.Shards[i]
		for _, list := range []*[]paxos.Member{&sh.Voters, &sh.Learners} {
			for j, x := range *list {
				if x.Node == n.Addr && x != m {
					*list = append([]paxos.Member(nil), *list...)
					(*list)[j], sh.At = m, s.Slot
				}
			}
		}
	}
}
