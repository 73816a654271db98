// Package accord is the multi-Paxos engine of the source paper: a leader that
// gathers requests into batches (closed at BSZ bytes or Δ_B after the first
// request), runs at most WND instances at once, and orders the requests inside
// a decided batch by their ids. It is a pure state machine: messages, ticks and
// disk completions go in, effects come out. It knows no clock, socket or file.
package accord

import (
	"sort"

	"github.com/fxamacker/cbor/v2"

	"oxbowdeck/internal/unit"
)

// Member is one replica of a group.
type Member struct {
	_    struct{} `cbor:",toarray"`
	Num  unit.Num
	Node unit.Node
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
	_     struct{} `cbor:",toarray"`
	Stamp unit.Millis
	Reqs  []Request
	Seats []Member
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
	Canvass Kind = iota + 1 // would you favour me as leader?
	Favor
	Prepare
	Promise
	Accept
	Accepted
	Beat // the leader lives, and this much is decided
	Nack // you are below an epoch I promised
	Fetch
	Feed
	Yield // the leader drains: take over now
	Level // this replica holds everything up to Commit
)

// Entry is an instance as one replica has it.
type Entry struct {
	_       struct{} `cbor:",toarray"`
	Slot    unit.Slot
	Ballot  unit.Ballot
	Val     []byte
	Decided bool
}

// Msg is the one shape of all messages between replicas of a group.
type Msg struct {
	Kind    Kind        `cbor:"1,keyasint"`
	Group   unit.Group  `cbor:"2,keyasint,omitempty"`
	From    unit.Num    `cbor:"3,keyasint,omitempty"`
	Ballot  unit.Ballot `cbor:"4,keyasint,omitempty"`
	Slot    unit.Slot   `cbor:"5,keyasint,omitempty"`
	Commit  unit.Slot   `cbor:"6,keyasint,omitempty"`
	Val     []byte      `cbor:"7,keyasint,omitempty"`
	Entries []Entry     `cbor:"8,keyasint,omitempty"`
	Yes     bool        `cbor:"9,keyasint,omitempty"`
	Firm    unit.Slot   `cbor:"10,keyasint,omitempty"` // everything up to here is on the sender's disk
	At      unit.Millis `cbor:"11,keyasint,omitempty"` // the sender's stamp, to be echoed
	Echo    unit.Millis `cbor:"12,keyasint,omitempty"` // the newest stamp the sender has of the receiver
	Age     unit.Millis `cbor:"13,keyasint,omitempty"` // so long before this a majority was in touch with the leader, plus one
}

// Envelope is a message with its address.
type Envelope struct {
	To    unit.Node
	Msg   Msg
	Spare bool // on the second path: the first seems held up
}

// Record is what must reach the disk: a promise, or an accepted entry, with the
// decided prefix known at that time.
type Record struct {
	Promised unit.Ballot
	Entry    *Entry
	Commit   unit.Slot
}

// Decided is one instance in the agreed order, ready to be applied.
type Decided struct {
	Slot  unit.Slot
	Value Value
	Raw   []byte
}

// Era is a membership and the instance it begins at.
type Era struct {
	_     struct{} `cbor:",toarray"`
	From  unit.Slot
	Seats []Member
}

// Effects is what the engine wants done since the last Drain.
type Effects struct {
	Sends   []Envelope
	Saves   []Record // to be synced, then Synced(Token)
	Token   uint64
	Decided []Decided
	Snaps   []unit.Node // peers that need a snapshot: the log they ask for is gone
}

// Conf holds the engine's bounds. Wnd is fixed for the life of a group.
type Conf struct {
	Group      unit.Group
	Self       Member
	Wnd        int         // most undecided instances
	WndBytes   int         // most undecided bytes (the paper's window, by size)
	Bsz        int         // a batch closes at this many bytes
	Delta      unit.Millis // or this long after its first request
	Beat       unit.Millis // the leader is heard at least this often
	Patience   unit.Millis // silence after which it is doubted
	Stagger    unit.Millis // added for each place in the agreed order
	OpenBytes  int         // most bytes waiting for a window place
	FeedBytes  int         // most bytes in one Feed
	Impatience unit.Millis // a reset connection leaves this much patience
	Nudge      unit.Millis // an answer later than this is asked for on the second path
	Slow       unit.Millis // a leader whose batches usually take longer gives the duty up; 0: never
	Sound      int         // every so many beats each replica is asked how far it is; 0: 4
	Quorum     unit.Millis // a leader that no majority answered for so long steps down; 0: never
	Salt       unit.Millis // drawn anew for each life: stamps of an earlier one are known by it
}

// MostSalt bounds Conf.Salt.
const MostSalt = unit.Millis(1) << 40

// Boot is what the disk (or a snapshot) says at start.
type Boot struct {
	Promised unit.Ballot
	Entries  []Entry
	Commit   unit.Slot // instances up to here are decided and in Entries (above Base)
	Base     unit.Slot // the snapshot covers instances up to here
	Eras     []Era
	Clock    unit.Millis // decided time of the snapshot
}

func decode(raw []byte) (Value, error) {
	var v Value
	if len(raw) == 0 {
		return v, nil
	}
	err := cbor.Unmarshal(raw, &v)
	return v, err
}

// Decode reads a decided value's bytes; empty bytes are a no-op.
func Decode(raw []byte) (Value, error) { return decode(raw) }

func encode(v Value) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // the type is fixed: this cannot fail at run time
	}
	return b
}
