package control

import (
	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
)

// Status is what an operator is shown.
type Status struct {
	Node    string             `json:"node_name"`
	Leader  ids.Node           `json:"leader"`
	Epoch   uint64             `json:"epoch"`
	Commit  ids.Slot           `json:"commit"`
	Voters  []ids.Node         `json:"voters"` // of the control group itself
	Release int64              `json:"config_release"`
	Nodes   []NodeStatus       `json:"nodes"`
	Shards  []controlapi.Shard `json:"shards"`
	Workers []WorkerStatus     `json:"workers,omitempty"`

	// how old this node's contact with a majority is; below 0: it had none in this
	// incarnation, and all the rest may be old
	ContactMs int64 `json:"contact_ms"`
	LeaseMs   int64 `json:"lease_ms"` // it answers from its state while contact is not older
	// what is missing to serve, or to bear the losses that are to be borne; empty: nothing
	Shortfall string `json:"shortfall,omitempty"`
	// how far each replica of the control group is; of a leader that is sure to lead
	Members []MemberStatus `json:"members,omitempty"`

	// whether tenants' limits bind, how many tenants the configuration has, and some of
	// them; see Daemon.StatusOf
	Quotas      bool           `json:"quotas_in_force,omitempty"`
	TenantCount int            `json:"tenant_count,omitempty"`
	Tenants     []TenantStatus `json:"tenants,omitempty"`
}

// MemberStatus is one replica of the control group, as its leader sees it.
type MemberStatus struct {
	Addr    ids.Node `json:"addr"`
	Voter   bool     `json:"voter"`
	Behind  int64    `json:"behind"` // instances decided that are not known to be on its disk
	HeardMs int64    `json:"heard_ms_ago"`
}

// WorkerStatus is one incarnation of a worker in Status.
type WorkerStatus struct {
	ID       string   `json:"entity_id"`
	Service  string   `json:"service_ref"`
	Zone     ids.Zone `json:"zone"`
	Addr     string   `json:"addr"`
	Slots    int      `json:"capacity_slots"`
	Draining bool     `json:"draining"`
}

// NodeStatus is one process in Status.
type NodeStatus struct {
	Name string   `json:"node_name"`
	Role string   `json:"role"`
	Zone ids.Zone `json:"zone"`
	Addr ids.Node `json:"addr"`
	Gone bool     `json:"gone"`
}

// Status reads this replica's view, and tells how far that can be relied on.
func (c *Control) Status(now ids.Millis) Status {
	c.now = now
	b, lead := c.core.Leader()
	s := Status{Node: c.conf.Self.Name, Leader: lead, Epoch: b.Round(), Commit: c.core.Commit(), Release: c.state.Release,
		Shards: append([]controlapi.Shard(nil), c.state.Shards...), ContactMs: -1, LeaseMs: int64(c.conf.Lease)}
	if age, ok := c.core.Contact(now); ok {
		s.ContactMs = int64(age)
	}
	for _, m := range c.core.Voters() {
		s.Voters = append(s.Voters, m.Node)
	}
	s.Shortfall = c.shortfall()
	for _, n := range c.state.Nodes {
		s.Nodes = append(s.Nodes, NodeStatus{n.Name, n.Role.String(), n.Zone, n.Addr, n.Gone})
	}
	for _, x := range c.state.Workers {
		if !x.Gone {
			s.Workers = append(s.Workers, WorkerStatus{x.ID, x.Service, x.Zone, x.Addr, x.Slots, x.Draining})
		}
	}
	if c.core.Role() == paxos.Leader && c.current() {
		for _, p := range c.core.Progress(now) {
			s.Members = append(s.Members, MemberStatus{p.Node, p.Voter, int64(s.Commit - min(p.Firm, s.Commit)), int64(p.Heard)})
		}
	}
	return s
}
