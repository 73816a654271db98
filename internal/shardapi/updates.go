package shardapi

import (
	"oxbowdeck/internal/ids"
)

// Messages by which a store is the home of an edge for control updates.

// Hear asks a store to be the home of an edge for control updates: to send what is
// newer than Seq, and every change from then on; or, with Off, to be it no more.
type Hear struct {
	_   struct{} `cbor:",toarray"`
	Seq ids.Slot
	Off bool
}

// Heartbeat shows edges that a silent store lives, and what it is good for.
type Heartbeat struct {
	_     struct{}    `cbor:",toarray"`
	Stale []ids.Group // groups whose newest decisions are not here
	Told  bool        // the control plane was heard lately
	Seq   ids.Slot    // how new this store's updates are
}
