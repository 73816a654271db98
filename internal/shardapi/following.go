package shardapi

import (
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
	"oxbowdeck/internal/topic"
)

// Messages by which an edge follows the decided order of groups at a replica.

// Follow asks a replica for the decided order of a group, from now on.
type Follow struct {
	_           struct{} `cbor:",toarray"`
	Group       ids.Group
	Edge        ids.Node
	Incarnation ids.Incarnation
}

// Followed answers Follow: it tells whether the replica can serve now.
type Followed struct {
	_     struct{} `cbor:",toarray"`
	Group ids.Group
	Ready bool
}

// Watch asks for the messages of a topic from a place on. The answer comes in the
// order of the flow: everything up to it is in it, everything after it flows.
type Watch struct {
	_     struct{} `cbor:",toarray"`
	Req   uint64
	Topic ids.Topic
	From  ids.Position
	Has   bool // From is a place; else from now on
	Keeps bool // the space promises its history: a place that is gone is told
}

// Joined answers Watch with what was decided between the place and now. As KindPiece it has the first
// piece of that: End is the place of the last item, nothing flows yet, and the edge asks for what
// comes after.
type Joined struct {
	_       struct{} `cbor:",toarray"`
	Req     uint64
	Topic   ids.Topic
	End     ids.Position
	Expired bool
	Items   []topic.Item
	Piece   bool `cbor:"-"` // it came, or goes, as KindPiece
}

// Unwatch ends the flow of a topic.
type Unwatch struct {
	_     struct{} `cbor:",toarray"`
	Topic ids.Topic
}

// Item is a decided message of a topic that an edge watches.
type Item struct {
	_      struct{} `cbor:",toarray"`
	Topic  ids.Topic
	Pos    ids.Position
	Client ids.Client
	Seq    ids.Seq
	Body   []byte
}

// Outcome is what was decided of a request the edge forwarded.
type Outcome struct {
	_       struct{} `cbor:",toarray"`
	ID      paxos.ID
	Verdict topic.Verdict
}

// Flow is a stretch of the decided order, as far as it concerns one edge. As KindKnown
// it carries outcomes outside that order.
type Flow struct {
	_        struct{} `cbor:",toarray"`
	Items    []Item
	Outcomes []Outcome
}

// Bye tells that the sender ends the following of some groups on purpose.
type Bye struct {
	_      struct{} `cbor:",toarray"`
	Groups []ids.Group
}

// Ping goes through a replica's queue of commands and comes back as KindPong: how
// late the replica is.
type Ping struct {
	_  struct{}   `cbor:",toarray"`
	At ids.Millis // by the edge's steady clock
}

// Times tells how far decided time has come in groups that an edge follows.
type Times struct {
	_      struct{} `cbor:",toarray"`
	Groups []GroupTime
}

// GroupTime is decided time of a group, as a replica has applied it.
type GroupTime struct {
	_     struct{} `cbor:",toarray"`
	Group ids.Group
	Time  ids.Millis
}
