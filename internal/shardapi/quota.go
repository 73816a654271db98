package shardapi

import (
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
	"oxbowdeck/internal/quota"
)

// Messages of deployments that limit what tenants send.

// TenantPropose is a Propose whose requests may belong to tenants, and count against
// their limits.
type TenantPropose struct {
	Propose Propose      `cbor:"1,keyasint"`
	Tenants []ids.Tenant `cbor:"2,keyasint"` // of each request; empty: it counts against nobody's limit
}

// TenantOf gives the tenant of a request by its index.
func (p *TenantPropose) TenantOf(i int) ids.Tenant {
	if i < len(p.Tenants) {
		return p.Tenants[i]
	}
	return ""
}

// QuotaDenied tells that requests were not taken because their tenants are at their
// limits, or could not be counted in time.
type QuotaDenied struct {
	Group ids.Group  `cbor:"1,keyasint"`
	IDs   []paxos.ID `cbor:"2,keyasint"`
}

// QuotaAsk asks the leader of a tenant's home shard for tokens; members that don't lead
// don't answer. KindQuotaGranted answers it with a quota.Granted.
type QuotaAsk struct {
	Group ids.Group `cbor:"1,keyasint"` // the home shard
	Ask   quota.Ask `cbor:"2,keyasint"`
}
