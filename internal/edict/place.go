package edict

import (
	"sort"

	"oxbowdeck/internal/accord"
	"oxbowdeck/internal/rule"
	"oxbowdeck/internal/unit"
)

// Place chooses the replicas of each shard: 2·losses+1 voters spread over the
// zones, the first zone in turn taking what is left over, and a follower without
// a vote in each zone that has none. Inside a zone the store with the fewest
// seats is next, so shards, leaders and followers spread over all stores.
func Place(nodes []rule.Node, shards, losses int) []rule.Shard {
	byZone := map[unit.Zone][]rule.Node{}
	var zones []unit.Zone
	all := 0
	for _, n := range nodes {
		if n.Duty != rule.Store || n.Gone || n.Empty {
			continue
		}
		if byZone[n.Zone] == nil {
			zones = append(zones, n.Zone)
		}
		byZone[n.Zone] = append(byZone[n.Zone], n)
		all++
	}
	votes := 2*losses + 1
	if all < votes {
		return nil
	}
	sort.Slice(zones, func(i, j int) bool { return zones[i] < zones[j] })
	load, leads := map[unit.Node]int{}, map[unit.Node]int{}
	out := make([]rule.Shard, shards)
	for i := range out {
		sh := &out[i]
		take := func(z unit.Zone, lead bool) (accord.Member, bool) {
			weigh := func(n rule.Node) int {
				if lead {
					return leads[n.Addr]<<16 + load[n.Addr]
				}
				return load[n.Addr]
			}
			best := -1
			for k, n := range byZone[z] {
				if accord.Holds(sh.Voters, n.Addr) {
					continue
				}
				if best < 0 || weigh(n) < weigh(byZone[z][best]) {
					best = k
				}
			}
			if best < 0 {
				return accord.Member{}, false
			}
			n := byZone[z][best]
			load[n.Addr]++
			if lead {
				leads[n.Addr]++
			}
			return accord.Member{Num: n.Num, Node: n.Addr}, true
		}
		for j := 0; len(sh.Voters) < votes; j++ {
			if m, ok := take(zones[(i+j)%len(zones)], j == 0); ok {
				sh.Voters = append(sh.Voters, m)
			}
		}
		for j := votes; j < len(zones); j++ {
			if m, ok := take(zones[(i+j)%len(zones)], false); ok {
				sh.Learners = append(sh.Learners, m)
			}
		}
		sh.Founders = append([]accord.Member(nil), sh.Voters...)
	}
	return out
}
