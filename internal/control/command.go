package control

import (
	"fmt"

	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
)

// Verb of a command to the control group.
type Verb uint8

// Verbs of commands. Their numbers are on disks and in the log.
const (
	Put              Verb = iota + 1 // a configuration
	Enroll                           // a process began an incarnation
	Leave                            // a process's incarnation ended
	Found                            // place the shards
	Read                             // nothing: its place in the order makes a read current
	Retire                           // empty a storage machine
	ReportMembership                 // a shard's membership is in force
	Follow                           // a store is to follow a shard
	Promote                          // a learner that caught up replaces a silent voter
	Drop                             // a store need not follow a shard any more
	Register                         // a worker began, or changed what it says of itself
	Unregister                       // a worker left, or fell silent
	BeginTerm                        // a leader's term begins: what earlier ones still ask for of themselves is refused
	Depart                           // a control process is told to end: another is to replace it
	RecordMembership                 // each member of the control group's membership holds what was decided before it
	AddVoter                         // a learner that caught up becomes one more voter of a shard founded with too few
)

var verbNames = [...]string{
	"none",
	"put",
	"enroll",
	"leave",
	"found",
	"read",
	"retire",
	"report-membership",
	"follow",
	"promote",
	"drop",
	"register",
	"unregister",
	"begin-term",
	"depart",
	"record-membership",
	"add-voter",
}

// String names the verb, as logs have it.
func (v Verb) String() string {
	if int(v) >= len(verbNames) {
		return fmt.Sprintf("verb-%d", uint8(v))
	}
	return verbNames[v]
}

// known tells whether this version has the verb.
func (v Verb) known() bool { return v > 0 && int(v) < len(verbNames) }

// Command to the control group.
type Command struct {
	Verb    Verb            `cbor:"1,keyasint"`
	Match   int64           `cbor:"2,keyasint,omitempty"`
	Release int64           `cbor:"3,keyasint,omitempty"`
	Body    []byte          `cbor:"4,keyasint,omitempty"`
	Node    controlapi.Node `cbor:"5,keyasint,omitempty"`
	Shards  int             `cbor:"6,keyasint,omitempty"`
	Losses  int             `cbor:"7,keyasint,omitempty"`

	Membership *controlapi.MembershipReport `cbor:"8,keyasint,omitempty"`

	Group ids.Group    `cbor:"9,keyasint,omitempty"`
	From  paxos.Member `cbor:"10,keyasint,omitempty"`
	To    paxos.Member `cbor:"11,keyasint,omitempty"`

	Worker *controlapi.Worker `cbor:"12,keyasint,omitempty"`

	Term    ids.Ballot     `cbor:"13,keyasint,omitempty"` // the fencing token of a leader's own command
	Low     uint64         `cbor:"14,keyasint,omitempty"` // the origin waits for no answer below this number
	Sum     []byte         `cbor:"15,keyasint,omitempty"` // digest of a configuration as it came
	Within  ids.Millis     `cbor:"16,keyasint,omitempty"` // so long after an order it may be repeated
	Members []paxos.Member `cbor:"17,keyasint,omitempty"`
	Fewer   bool           `cbor:"18,keyasint,omitempty"` // found the shards also on fewer stores than 2·losses+1

	// of Promote: the replaced voter follows on also where it is to be emptied, until the
	// shard's leader releases it
	UntilReleased bool `cbor:"19,keyasint,omitempty"`
	// of Enroll: an order to empty the machine that has not come to its end is for its new
	// disk, too
	KeepsOrders bool `cbor:"20,keyasint,omitempty"`
}

// leaderOnly tells whether a command is the leader's own doing, so that it bears the
// leader's term and one of an earlier term changes nothing.
func (c *Command) leaderOnly() bool {
	switch c.Verb {
	case Found, Follow, Promote, Drop, AddVoter, BeginTerm, RecordMembership:
		return true
	case Unregister:
		return c.Worker != nil && !c.Worker.Left
	case Leave:
		return c.Term != 0 // its watchers miss it: the leader's word, not its own
	}
	return false
}

// Result of a command.
type Result uint8

// Results of commands.
const (
	Done Result = iota + 1
	Stale
	Low
	Unknown // no such machine
	TooFew  // too few would be left
	Fenced  // a leader's own command, and its term is over
)

var resultNames = [...]string{"none", "done", "stale", "low", "unknown", "too-few", "fenced"}

// String names the result, as records of requests have it.
func (r Result) String() string { return resultNames[min(int(r), len(resultNames)-1)] }
