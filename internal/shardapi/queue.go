package shardapi

import (
	"oxbowdeck/internal/ids"
)

// Messages of deployments that take in messages: their state, and the grants of a
// service's rate limit.

// Who asks who leads a group; Lead answers.
type Who struct {
	_     struct{} `cbor:",toarray"`
	Group ids.Group
}

// State asks how a message stands, or for its bytes.
type State struct {
	_     struct{} `cbor:",toarray"`
	Req   uint64
	Group ids.Group
	ID    string
	Body  bool
}

// Stated answers State.
type Stated struct {
	_       struct{} `cbor:",toarray"`
	Req     uint64
	Group   ids.Group
	Known   bool
	Leads   bool // it is the leader's word; a replica may lag
	Outcome uint8
	Seal    string
	Packed  bool
	Body    []byte
}

// Grant asks the leader of the shard that counts a service for the right to send it
// N attempts; members that do not lead don't answer.
type Grant struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Group   ids.Group
	N       int
	For     ids.Node
}

// Granted answers Grant: so many attempts may be sent within a short lease.
type Granted struct {
	_       struct{} `cbor:",toarray"`
	Service string
	N       int
}
