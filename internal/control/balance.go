package control

import (
	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
)

// A store's load counts a vote as two and a learner as one. A vote moves to a less
// loaded store only where the difference outlives the move.
const (
	voterLoad       = 2
	learnerLoad     = 1
	minLoadToMoveBy = 4
)

// loads gives each store's load.
func (s *State) loads() map[ids.Node]int {
	load := map[ids.Node]int{}
	for _, sh := range s.Shards {
		for _, m := range sh.Voters {
			load[m.Node] += voterLoad
		}
		for _, m := range sh.Learners {
			load[m.Node] += learnerLoad
		}
	}
	return load
}

// isRelieving tells whether a learner is about to take a vote off a store that
// has more.
func (s *State) isRelieving(sh *controlapi.Shard, n *controlapi.Node, load map[ids.Node]int) bool {
	_, ok := s.overloadedMember(sh, n, load)
	return ok
}

// overloadedMember gives the member whose vote a less loaded store of its zone would
// take.
func (s *State) overloadedMember(
	sh *controlapi.Shard, n *controlapi.Node, load map[ids.Node]int,
) (member paxos.Member, ok bool) {
	mine := load[n.Addr]
	if paxos.ContainsNode(sh.Learners, n.Addr) {
		mine -= learnerLoad
	}
	most := 0
	for _, m := range sh.Voters {
		o := s.usable(m.Node)
		if o == nil || o.Zone != n.Zone || load[m.Node]-mine < minLoadToMoveBy {
			continue
		}
		if load[m.Node] > most {
			most, member, ok = load[m.Node], m, true
		}
	}
	return member, ok
}

// balance moves one vote at a time onto a store that has few.
func (s *State) balance(reports map[ids.Group]Report, load map[ids.Node]int) (Command, bool) {
	for i := range s.Shards {
		sh := &s.Shards[i]
		for _, m := range sh.Learners {
			n := s.usable(m.Node)
			if n == nil || !s.spare(sh, n) {
				continue
			}
			from, ok := s.overloadedMember(sh, n, load)
			if !ok {
				continue
			}
			if index(reports[sh.Group].Ready, m) < 0 {
				return Command{}, false // it is on its way
			}
			return promote(sh, from, m), true
		}
	}
	for i := range s.Shards {
		sh := &s.Shards[i]
		var free []*controlapi.Node
		for k := range s.Nodes {
			n := &s.Nodes[k]
			if s.outside(sh, n) && s.isRelieving(sh, n, load) {
				free = append(free, n)
			}
		}
		if n := nearest(free, "", nil, load); n != nil {
			return follow(sh, n), true
		}
	}
	return Command{}, false
}
