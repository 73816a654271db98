package control

import (
	"errors"

	"oxbowdeck/internal/admission"
	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
)

// ErrNoTenant tells that the configuration has no tenant of a label.
var ErrNoTenant = errors.New("the configuration has no such tenant")

// maxTenantsShown bounds the tenants in a status that names none.
const maxTenantsShown = 20

// TenantStatus is where a tenant is counted, and its limit. How much of it is granted or
// used is known to stores alone.
type TenantStatus struct {
	Label      ids.Tenant `json:"label"`
	HomeShard  ids.Group  `json:"home_shard"`
	Counting   ids.Node   `json:"counting_node"` // leads the home shard, and counts; empty: not known here
	Epoch      uint64     `json:"epoch"`         // of that leader; 0: none was reported yet
	Successors []ids.Node `json:"successors"`    // the other voters of the home shard
	PerS       float64    `json:"rate_per_s"`
	Burst      float64    `json:"burst_size"`
	// HeardMs is how long ago the leader of the home shard reported to this process. Below
	// 0: it did not, as to any that does not lead the control group; the leader is then
	// that of the shard's last change of membership, and another may lead since.
	HeardMs int64 `json:"heard_ms_ago"`
}

// shardLeader is who leads a shard, as far as a control process knows; the same as in
// TenantStatus.
type shardLeader struct {
	node    ids.Node
	epoch   uint64
	heardMs int64
}

// shardLeaders gives who leads each shard.
func (c *Control) shardLeaders() []shardLeader {
	leaders := make([]shardLeader, len(c.state.Shards))
	reported := c.core.Role() == paxos.Leader && c.current()
	for i := range c.state.Shards {
		shard := &c.state.Shards[i]
		epoch, heard := shard.Epoch, int64(-1)
		if report := c.shardReports[ids.Group(i)]; reported && report != nil && report.Epoch >= epoch {
			epoch, heard = report.Epoch, int64(c.now-report.at)
		}
		leaders[i] = shardLeader{replicaNode(shard, epoch.Replica()), epoch.Round(), heard}
	}
	return leaders
}

// replicaNode gives the store that holds a replica of a shard, or nobody.
func replicaNode(shard *controlapi.Shard, replica ids.ReplicaID) ids.Node {
	for _, members := range [][]paxos.Member{shard.Members, shard.Voters, shard.Learners} {
		for _, member := range members {
			if member.ID == replica {
				return member.Node
			}
		}
	}
	return ""
}

// tenantStatus computes a tenant's status. There is at least one shard.
func tenantStatus(tenant *controlapi.Tenant, shards []controlapi.Shard, leaders []shardLeader) TenantStatus {
	home := admission.HomeOf(tenant.Label, len(shards))
	leader := leaders[home]
	status := TenantStatus{
		Label:      tenant.Label,
		HomeShard:  home,
		Counting:   leader.node,
		Epoch:      leader.epoch,
		HeardMs:    leader.heardMs,
		Successors: []ids.Node{},
		PerS:       tenant.PerS,
		Burst:      tenant.Burst,
	}
	voters := shards[home].Members
	if len(voters) == 0 {
		voters = shards[home].Voters // no leader has reported yet
	}
	for _, voter := range voters {
		if voter.Node != leader.node {
			status.Successors = append(status.Successors, voter.Node)
		}
	}
	return status
}

// addTenants adds the tenants of a configuration to a status: the one of a label, or,
// without a label, the first ones.
func (s *Status) addTenants(config *controlapi.Config, leaders []shardLeader, label ids.Tenant) error {
	s.TenantCount = len(config.Tenants)
	shown := config.Tenants[:min(len(config.Tenants), maxTenantsShown)]
	if label != "" {
		tenant := config.Tenant(label)
		if tenant == nil {
			return ErrNoTenant
		}
		shown = []controlapi.Tenant{*tenant}
	}
	if len(s.Shards) == 0 {
		return nil // none is founded yet: nobody counts
	}
	for i := range shown {
		s.Tenants = append(s.Tenants, tenantStatus(&shown[i], s.Shards, leaders))
	}
	return nil
}
