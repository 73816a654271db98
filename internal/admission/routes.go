package admission

import (
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/quota"
)

// maxRoutes bounds the tables of routes; past it they begin anew.
const maxRoutes = 10_000

// routes tells where to send asks: to who leads a group, or answered last for it, and
// to all members when an ask was not answered.
type routes struct {
	cluster Cluster
	byGroup map[ids.Group]ids.Node
	asked   map[ids.Tenant]uint64 // the number of the ask that was sent last
}

func newRoutes(cluster Cluster) routes {
	return routes{cluster: cluster, byGroup: map[ids.Group]ids.Node{}, asked: map[ids.Tenant]uint64{}}
}

// forget forgets who answered for a group.
func (r *routes) forget(group ids.Group) { delete(r.byGroup, group) }

// answered takes it that a node answered for a tenant.
func (r *routes) answered(tenant ids.Tenant, node ids.Node) {
	shards := r.cluster.Shards()
	if shards == 0 {
		return
	}
	if len(r.byGroup) >= maxRoutes {
		clear(r.byGroup)
	}
	r.byGroup[HomeOf(tenant, shards)] = node
}

// targets gives the nodes that an ask goes to.
func (r *routes) targets(home ids.Group, ask quota.Ask) []ids.Node {
	again := r.asked[ask.Tenant] == ask.Number
	if len(r.asked) >= maxRoutes {
		clear(r.asked)
	}
	r.asked[ask.Tenant] = ask.Number
	leader := r.cluster.Leader(home)
	if leader == "" {
		leader = r.byGroup[home]
	}
	if again || leader == "" {
		return r.cluster.Members(home)
	}
	return []ids.Node{leader}
}
