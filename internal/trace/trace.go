// Package trace is what passes between edges and storage replicas, and the
// edge's tie to the replica it follows.
package trace

import (
	"oxbowdeck/internal/accord"
	"oxbowdeck/internal/lane"
	"oxbowdeck/internal/tale"
	"oxbowdeck/internal/unit"
)

// Frame kinds of this protocol.
const (
	KindGroup    lane.Kind = 1
	KindSnap     lane.Kind = 2
	KindFollow   lane.Kind = 20
	KindFollowed lane.Kind = 21
	KindWatch    lane.Kind = 22
	KindJoined   lane.Kind = 23
	KindUnwatch  lane.Kind = 24
	KindPropose  lane.Kind = 25
	KindDeny     lane.Kind = 26
	KindFlow     lane.Kind = 27
	KindLead     lane.Kind = 28
	KindCount    lane.Kind = 29
	KindCounted  lane.Kind = 30
	KindBye      lane.Kind = 31
	KindKnown    lane.Kind = 32 // outcomes, off the flow
	KindBeat     lane.Kind = 33
	KindPing     lane.Kind = 34
	KindPong     lane.Kind = 35
	KindHear     lane.Kind = 36
	KindWho      lane.Kind = 40
	KindState    lane.Kind = 41
	KindStated   lane.Kind = 42
	KindGrant    lane.Kind = 43
	KindGranted  lane.Kind = 44
)

// Follow asks a replica for the decided order of a group; Followed answers.
type Follow struct {
	_     struct{} `cbor:",toarray"`
	Group unit.Group
	Edge  unit.Node
	Life  unit.Life
}

// Hear asks a store to be this edge's home for news: what is newer than Seq, and
// every change from then on; or, with Off, to be it no more.
type Hear struct {
	_   struct{} `cbor:",toarray"`
	Seq unit.Slot
	Off bool
}

// Followed tells whether the replica can serve now.
type Followed struct {
	_     struct{} `cbor:",toarray"`
	Group unit.Group
	Ready bool
}

// Pulse shows edges that a silent replica lives.
type Pulse struct {
	_     struct{}     `cbor:",toarray"`
	Stale []unit.Group // groups whose newest decisions are not here
	Told  bool         // the control plane was heard lately
	Seq   unit.Slot    // how new this store's news are
}

// Watch asks for a topic from a place on. The answer comes in the order of the
// flow: everything up to it is in it, everything after it flows.
type Watch struct {
	_     struct{} `cbor:",toarray"`
	Req   uint64
	Topic unit.Topic
	From  unit.Pos
	Has   bool // From is a place; else from now on
	Keeps bool // the space promises its history: a place that is gone is told
}

// Joined answers Watch.
type Joined struct {
	_       struct{} `cbor:",toarray"`
	Req     uint64
	Topic   unit.Topic
	End     unit.Pos
	Expired bool
	Items   []tale.Item
}

// Unwatch ends the flow of a topic.
type Unwatch struct {
	_     struct{} `cbor:",toarray"`
	Topic unit.Topic
}

// Propose forwards requests to a group's leader.
type Propose struct {
	_      struct{} `cbor:",toarray"`
	Group  unit.Group
	Reqs   []accord.Request
	Again  bool // forwarded before
	Urgent bool // of a space above the lowest prio_level
}

// Deny tells that requests were not taken, now or ever by this forward.
type Deny struct {
	_     struct{} `cbor:",toarray"`
	Group unit.Group
	Full  bool // else: not the leader
	IDs   []accord.ID
}

// Item is a decided message of a watched topic.
type Item struct {
	_      struct{} `cbor:",toarray"`
	Topic  unit.Topic
	Pos    unit.Pos
	Client unit.Client
	Seq    unit.Seq
	Body   []byte
}

// Outcome is what was decided of a request the edge forwarded.
type Outcome struct {
	_       struct{} `cbor:",toarray"`
	ID      accord.ID
	Verdict tale.Verdict
}

// Flow is a stretch of the decided order, as far as it concerns one edge.
type Flow struct {
	_        struct{} `cbor:",toarray"`
	Items    []Item
	Outcomes []Outcome
}

// Lead tells who leads a group, under which epoch.
type Lead struct {
	_     struct{} `cbor:",toarray"`
	Group unit.Group
	Epoch unit.Ballot
	Node  unit.Node
}

// Count asks how many clients are seated at a topic.
type Count struct {
	_     struct{} `cbor:",toarray"`
	Req   uint64
	Topic unit.Topic
}

// Counted answers Count.
type Counted struct {
	_   struct{} `cbor:",toarray"`
	Req uint64
	N   int
}

// Ping goes through a replica's queue of commands and comes back as Pong: how
// late the replica is.
type Ping struct {
	_  struct{}    `cbor:",toarray"`
	At unit.Millis // by the edge's steady clock
}

// Bye tells that the sender ends the following of some groups on purpose.
type Bye struct {
	_      struct{} `cbor:",toarray"`
	Groups []unit.Group
}

// Who asks who leads a group; Lead answers.
type Who struct {
	_     struct{} `cbor:",toarray"`
	Group unit.Group
}

// State asks how a message stands, or for its bytes.
type State struct {
	_     struct{} `cbor:",toarray"`
	Req   uint64
	Group unit.Group
	ID    string
	Body  bool
}

// Stated answers State.
type Stated struct {
	_       struct{} `cbor:",toarray"`
	Req     uint64
	Group   unit.Group
	Known   bool
	Leads   bool // it is the leader's word; a replica may lag
	Outcome uint8
	Seal    string
	Packed  bool
	Body    []byte
}

// Grant asks the node that counts a service for the right to send it N attempts;
// whoever else gets it passes it on. Granted gives some, for a short time.
type Grant struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Group   unit.Group
	N       int
	For     unit.Node
}

// Granted answers Grant.
type Granted struct {
	_       struct{} `cbor:",toarray"`
	Service string
	N       int
}
