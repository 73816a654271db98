package control

import (
	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
)

// coverZones sees to it that each zone with stores has one live replica, and
// lets go of learners that serve nothing, once their leader releases them.
func (s *State) coverZones(sh *controlapi.Shard, r Report, load map[ids.Node]int) (Command, bool) {
	if n := s.uncoveredZone(sh, load); n != nil {
		load[n.Addr] += learnerLoad
		return follow(sh, n), true
	}
	settled := len(r.Silent) == 0 && paxos.SameMembers(sh.Members, sh.Voters)
	for _, m := range sh.Voters {
		if o := s.find(m.Node); o != nil && o.Empty {
			settled = false // a learner is on its way to replace it
		}
	}
	for _, m := range sh.Learners {
		o := s.find(m.Node)
		useless := o == nil || o.Gone || o.Empty ||
			settled && !s.tooFewVoters(sh) && s.spare(sh, o) && !s.isRelieving(sh, o, load)
		if useless && r.mayDrop(m, o) {
			return Command{Verb: Drop, Group: sh.Group, To: m}, true
		}
	}
	return Command{}, false
}

// uncoveredZone gives a store of the first zone that has stores and no live replica.
func (s *State) uncoveredZone(sh *controlapi.Shard, load map[ids.Node]int) *controlapi.Node {
	covered := map[ids.Zone]bool{}
	for _, list := range [][]paxos.Member{sh.Voters, sh.Learners} {
		for _, m := range list {
			if o := s.usable(m.Node); o != nil {
				covered[o.Zone] = true
			}
		}
	}
	var zone ids.Zone
	var stores []*controlapi.Node
	for i := range s.Nodes {
		n := &s.Nodes[i]
		if n.Role != controlapi.Store || s.usable(n.Addr) == nil || covered[n.Zone] {
			continue
		}
		if len(stores) > 0 && n.Zone > zone {
			continue
		}
		if n.Zone != zone {
			stores = nil
		}
		zone = n.Zone
		stores = append(stores, n)
	}
	return nearest(stores, zone, nil, load)
}
