// Package paxos is the multi-Paxos engine of the source paper: a leader that
// gathers requests into batches (closed at BSZ bytes or Δ_B after the first
// request), runs at most WND instances at once, and orders the requests inside
// a decided batch by their ids. It is a pure state machine: messages, ticks and
// disk completions go in, effects come out. It knows no clock, socket or file.
package paxos

import (
	"sort"

	"oxbowdeck/internal/codec"
	"oxbowdeck/internal/ids"
)

// Member is one replica of a group.
type Member struct {
	_    struct{} `cbor:",toarray"`
	ID   ids.ReplicaID
	Node ids.Node
}

// ID names a request; the order inside a batch is the order of ids.
type ID struct {
	_      struct{} `cbor:",toarray"`
	Origin string
	Seq    uint64
}

// Request is one command for the replicated state.
type Request struct {
	_    struct{} `cbor:",toarray"`
	ID   ID
	Data []byte
}

// Value is what an instance decides: a batch, a membership change, or nothing
// (a no-op that fills a gap).
type Value struct {
	_       struct{} `cbor:",toarray"`
	Stamp   ids.Millis
	Reqs    []Request
	Members []Member
}

// Order applies the paper's rule: requests in a batch run in the order of
// their ids, and an id that occurs twice runs once.
func Order(reqs []Request) []Request {
	out := append([]Request(nil), reqs...)
	sort.SliceStable(out, func(i, j int) bool { return out[i].ID.less(out[j].ID) })
	n := 0
	for i, r := range out {
		if i > 0 && r.ID == out[n-1].ID {
			continue
		}
		out[n] = r
		n++
	}
	return out[:n]
}

func (a ID) less(b ID) bool {
	if a.Origin != b.Origin {
		return a.Origin < b.Origin
	}
	return a.Seq < b.Seq
}

// Kind of a message between replicas.
type Kind uint8

const (
	PreVote Kind = iota + 1 // would you elect me?
	PreVoteGranted
	Prepare
	Promise
	Accept
	Accepted
	Heartbeat // the leader lives, and this much is decided
	Nack      // you are below a ballot I promised
	Fetch
	Feed
	TransferLeadership // the leader drains: take over now
	CaughtUp           // this replica holds everything up to Commit
)

// Entry is an instance as one replica has it.
type Entry struct {
	_       struct{} `cbor:",toarray"`
	Slot    ids.Slot
	Ballot  ids.Ballot
	Val     []byte
	Decided bool
}

// Msg is the one shape of all messages between replicas of a group.
type Msg struct {
	Kind    Kind          `cbor:"1,keyasint"`
	Group   ids.Group     `cbor:"2,keyasint,omitempty"`
	From    ids.ReplicaID `cbor:"3,keyasint,omitempty"`
	Ballot  ids.Ballot    `cbor:"4,keyasint,omitempty"`
	Slot    ids.Slot      `cbor:"5,keyasint,omitempty"`
	Commit  ids.Slot      `cbor:"6,keyasint,omitempty"`
	Val     []byte        `cbor:"7,keyasint,omitempty"`
	Entries []Entry       `cbor:"8,keyasint,omitempty"`
	Yes     bool          `cbor:"9,keyasint,omitempty"`
	Durable ids.Slot      `cbor:"10,keyasint,omitempty"` // everything up to here is on the sender's disk
	At      ids.Millis    `cbor:"11,keyasint,omitempty"` // the sender's stamp, to be echoed
	Echo    ids.Millis    `cbor:"12,keyasint,omitempty"` // the newest stamp the sender has of the receiver
	Age     ids.Millis    `cbor:"13,keyasint,omitempty"` // so long ago a majority was in touch with the leader, plus one
	Time    ids.Millis    `cbor:"14,keyasint,omitempty"` // decided time as the newest leader measures it, plus one
	// TimeBallot, of a promise: the ballot of the newest leader that the sender may have
	// accepted under, plus one.
	TimeBallot ids.Ballot `cbor:"15,keyasint,omitempty"`
}

// Envelope is a message with its address.
type Envelope struct {
	To         ids.Node
	Msg        Msg
	SecondPath bool // on the second path: the first seems held up
}

// Record is what must reach the disk: a promise, or an accepted entry, with the
// decided prefix known at that time.
type Record struct {
	Promised ids.Ballot
	Entry    *Entry
	Commit   ids.Slot
}

// Decided is one instance in the agreed order, ready to be applied.
type Decided struct {
	Slot  ids.Slot
	Value Value
	Raw   []byte

	Timing Timing // at the leader that proposed it; zero elsewhere
}

// Timing is when an instance took the steps on its way, by the steady clock of the leader that
// proposed it. The protocol reads Opened alone; the others are for those who look for what
// took long.
type Timing struct {
	Opened   ids.Millis // its batch got its first request
	Closed   ids.Millis // its batch was full, or old enough
	Proposed ids.Millis // the window had room
	Synced   ids.Millis // it was on the leader's own disk; 0: that was later than the decision
	Agreed   ids.Millis // a majority had it on disk
}

// Membership is a list of members and the instance it begins at.
type Membership struct {
	_       struct{} `cbor:",toarray"`
	From    ids.Slot
	Members []Member
}

// Effects is what the engine wants done since the last Drain.
type Effects struct {
	Sends         []Envelope
	Saves         []Record // to be synced, then Synced(Token)
	Token         uint64
	Decided       []Decided
	SnapshotPeers []ids.Node // peers that need a snapshot: the log they ask for is gone
}

// Config holds the engine's bounds. Wnd is fixed for the incarnation of a group.
type Config struct {
	Group             ids.Group
	Self              Member
	Window            int        // most undecided instances
	WindowBytes       int        // most undecided bytes (the paper's window, by size)
	BatchBytes        int        // a batch closes at this many bytes
	BatchTimeout      ids.Millis // or this long after its first request
	HeartbeatInterval ids.Millis // the leader is heard at least this often
	ElectionTimeout   ids.Millis // silence after which it is doubted
	ElectionBackoff   ids.Millis // added for each place in the agreed order
	OpenBytes         int        // most bytes waiting for a window place
	FeedBytes         int        // most bytes in one Feed
	DisconnectTimeout ids.Millis // a reset connection leaves this much election timeout
	RetransmitTimeout ids.Millis // an answer later than this is asked for on the second path
	SlowBatch         ids.Millis // a leader whose batches usually take longer hands over; 0: never
	ProbeEvery        int        // every so many heartbeats each replica is asked how far it is; 0: 4
	QuorumTimeout     ids.Millis // a leader that no majority answered for so long steps down; 0: never
	DurableCopies     int        // an instance is decided once so many disks hold it, where there are so many voters
	Salt              ids.Millis // drawn anew for each incarnation: stamps of an earlier one are known by it
}

// MostSalt bounds Conf.Salt.
const MostSalt = ids.Millis(1) << 40

// InitialState is what the disk (or a snapshot) says at start.
type InitialState struct {
	Promised    ids.Ballot
	Entries     []Entry
	Commit      ids.Slot // instances up to here are decided and in Entries (above Base)
	Base        ids.Slot // the snapshot covers instances up to here
	Memberships []Membership
	Clock       ids.Millis // decided time of the snapshot
}

func decode(raw []byte) (Value, error) {
	var v Value
	if len(raw) == 0 {
		return v, nil
	}
	err := codec.Unmarshal(raw, &v)
	return v, err
}

// Decode reads a decided value's bytes; empty bytes are a no-op.
func Decode(raw []byte) (Value, error) { return decode(raw) }

func encode(v Value) []byte {
	b, err := codec.Marshal(v)
	if err != nil {
		panic(err) // its type is fixed, and its texts were decoded or name this process
	}
	return b
}
