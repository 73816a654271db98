package shardapi

import (
	"oxbowdeck/internal/ids"
)

// Messages by which an edge asks for the number of subscribers.

// Count asks how many clients subscribe to a topic.
type Count struct {
	_     struct{} `cbor:",toarray"`
	Req   uint64
	Topic ids.Topic
}

// Counted answers Count.
type Counted struct {
	_   struct{} `cbor:",toarray"`
	Req uint64
	N   int
}
