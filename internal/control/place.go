package control

import (
	"maps"
	"slices"

	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
)

// Place chooses the replicas of each shard with the 2·losses+1 voters that bear so
// many losses; nil when there are too few stores.
func Place(nodes []controlapi.Node, shards, losses int) []controlapi.Shard {
	return placeVoters(nodes, shards, 2*losses+1)
}

// placeVoters chooses the replicas of each shard: the voters spread over the
// zones, the first zone in turn taking what is left over, and a follower without
// a vote in each zone that has none. Inside a zone the store with the fewest
// seats is next, so shards, leaders and followers spread over all stores.
func placeVoters(nodes []controlapi.Node, shards, votes int) []controlapi.Shard {
	byZone, all := usableStores(nodes)
	if votes < 1 || all < votes {
		return nil
	}
	zones := slices.Sorted(maps.Keys(byZone))
	p := placer{byZone: byZone, load: map[ids.Node]int{}, leads: map[ids.Node]int{}}
	out := make([]controlapi.Shard, shards)
	for i := range out {
		sh := &out[i]
		for j := 0; len(sh.Voters) < votes; j++ {
			if m, ok := p.take(sh, zones[(i+j)%len(zones)], j == 0); ok {
				sh.Voters = append(sh.Voters, m)
			}
		}
		for j := votes; j < len(zones); j++ {
			if m, ok := p.take(sh, zones[(i+j)%len(zones)], false); ok {
				sh.Learners = append(sh.Learners, m)
			}
		}
		sh.Founders = append([]paxos.Member(nil), sh.Voters...)
	}
	return out
}

// usableStores lists the stores that may hold replicas by zone, and counts them.
func usableStores(nodes []controlapi.Node) (byZone map[ids.Zone][]controlapi.Node, all int) {
	byZone = map[ids.Zone][]controlapi.Node{}
	for _, n := range nodes {
		if n.Role == controlapi.Store && !n.Gone && !n.Empty {
			byZone[n.Zone] = append(byZone[n.Zone], n)
			all++
		}
	}
	return byZone, all
}

// placer spreads replicas over the stores of each zone.
type placer struct {
	byZone map[ids.Zone][]controlapi.Node
	load   map[ids.Node]int // replicas of a store
	leads  map[ids.Node]int // shards that it is to lead
}

// take gives the least loaded store of a zone that has no vote in a shard yet; for a
// leader, the one that leads the fewest.
func (p *placer) take(sh *controlapi.Shard, zone ids.Zone, lead bool) (paxos.Member, bool) {
	weigh := func(n controlapi.Node) int {
		if lead {
			return p.leads[n.Addr]<<16 + p.load[n.Addr]
		}
		return p.load[n.Addr]
	}
	stores, best := p.byZone[zone], -1
	for k, n := range stores {
		if paxos.ContainsNode(sh.Voters, n.Addr) {
			continue
		}
		if best < 0 || weigh(n) < weigh(stores[best]) {
			best = k
		}
	}
	if best < 0 {
		return paxos.Member{}, false
	}
	n := stores[best]
	p.load[n.Addr]++
	if lead {
		p.leads[n.Addr]++
	}
	return paxos.Member{ID: n.Num, Node: n.Addr}, true
}
