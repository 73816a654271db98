package shardapi

import (
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
)

// Messages by which an edge puts requests to a group's leader.

// Propose forwards requests to a group's leader.
type Propose struct {
	_      struct{} `cbor:",toarray"`
	Group  ids.Group
	Reqs   []paxos.Request
	Again  bool // forwarded before
	Urgent bool // of a space above the lowest prio_level
}

// Deny tells that requests were not taken, now or ever by this forward.
type Deny struct {
	_     struct{} `cbor:",toarray"`
	Group ids.Group
	Full  bool // else: not the leader
	IDs   []paxos.ID
}

// Lead tells who leads a group, under which epoch.
type Lead struct {
	_     struct{} `cbor:",toarray"`
	Group ids.Group
	Epoch ids.Ballot
	Node  ids.Node
}
