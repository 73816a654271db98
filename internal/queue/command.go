// Package queue is the state a shard's group agrees on where messages are handed
// in to be delivered: which were accepted, which attempt of each is under way,
// and how each ended. Apply is deterministic, like the topics': nothing local
// enters it, and time is the decided time of the batch.
package queue

import (
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
	"oxbowdeck/internal/quota"
)

// Verb of a command.
type Verb uint8

// What a command does.
const (
	Accept  Verb = iota + 1 // a message is handed in
	Begin                   // attempts are about to be sent
	End                     // what became of attempts
	Reserve                 // tokens of a tenant's account
)

// Message is what was handed in.
type Message struct {
	_       struct{} `cbor:",toarray"`
	ID      string   // its X-Attempt-Id, which names it
	Method  string
	Host    string
	Path    string
	Type    string // Content-Type
	Key     string // X-Sequence-Key
	Ordered bool   // its route is in sequence
	Packed  bool   // Body is deflated
	Body    []byte
	Defer   ids.Millis // not to run earlier than so long after it was accepted
	Hold    ids.Millis // it ends so long after it was accepted
	Release int64      // the configuration it was accepted under

	// Tenant is whose message it is; empty: nobody's. Commands and snapshots carry it
	// beside the message, whose form has no room for it.
	Tenant ids.Tenant `cbor:"-"`
}

// Outcome of an attempt, or of a message.
type Outcome uint8

// How an attempt, or a message, ended.
const (
	Open    Outcome = iota
	Done            // a worker answered with success
	Never           // a worker answered that it can't be done
	Failed          // a worker answered that this attempt failed
	NotRun          // it certainly did not run
	Lost            // nothing is known: it may have run, and may yet
	Dropped         // the configuration has no route for it any more
	Expired         // it was held for as long as its route says
	Spent           // every attempt its route allows has failed
)

var outcomeNames = [...]string{
	Open:    "open",
	Done:    "done",
	Never:   "never",
	Failed:  "failed",
	NotRun:  "not-run",
	Lost:    "lost",
	Dropped: "dropped",
	Expired: "expired",
	Spent:   "spent",
}

// String gives the name that logs and reports use.
func (o Outcome) String() string { return outcomeNames[o] }

// Attempt is the beginning or the end of one attempt of a message, as a command
// reports it.
type Attempt struct {
	_            struct{}     `cbor:",toarray"`
	Pos          ids.Position // the message: its place in the order
	Number       uint32       // counted from 1; of Begin: the number of the one before
	Outcome      Outcome
	Seal         string     // of a success
	FailureLimit uint16     // of Failed: after so many the message is spent
	RunsFor      ids.Millis // of Begin and Lost: it may run for so long
	Repeatable   bool       // of Begin: the service runs no message a second time
}

// Command is one request's content. See encoding.go for its bytes.
type Command struct {
	_           struct{} `cbor:",toarray"`
	Verb        Verb
	Msg         *Message
	Attempts    []Attempt
	By          ids.Node // of Begin: the process that sends
	Incarnation ids.Incarnation
	Reserve     *quota.Reserve `cbor:"-"`
}

// Event is what Apply tells the process it runs in.
type Event struct {
	Verb        Verb
	ID          paxos.ID
	Row         *Row
	Attempt     Attempt
	By          ids.Node
	Incarnation ids.Incarnation
	Key         string // of End: the sequence the message stood in
	OK          bool   // Accept: taken now (else before); Begin, End: it took effect
	Reserve     *quota.Reserve
	Granted     int // of Reserve: the tokens it got
}
