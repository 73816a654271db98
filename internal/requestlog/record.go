// Package requestlog keeps, in each process, what became of the requests that went through it
// lately: who took each one, by which shard, epoch and configuration, how long each step took,
// and why it ended as it did. It is a bounded ring in memory, written out when an invariant
// does not hold, at SIGUSR1, and on an operator's call; oxbowctl explain puts the records of
// one request from several processes together.
//
// Records have names that clients gave to themselves and their requests. Keys and bodies are
// never in them.
package requestlog

import (
	"strconv"

	"oxbowdeck/internal/ids"
)

// Stage is where in the system a record was made.
type Stage string

// The stages of a request.
const (
	StageEdge      Stage = "edge"      // the edge that a client asked
	StageUntaken   Stage = "untaken"   // an edge that turned a request down at once
	StageRefused   Stage = "refused"   // a store that did not take what an edge forwarded
	StageDecided   Stage = "decided"   // the leader that had it decided
	StageAttempt   Stage = "attempt"   // a message at a worker
	StageEnded     Stage = "ended"     // a message has ended, at its shard's leader
	StageOperators Stage = "operators" // a control process that an operator asked
)

var stages = [...]Stage{
	StageEdge, StageUntaken, StageRefused, StageDecided, StageAttempt, StageEnded, StageOperators,
}

// Step is a step of a request's way that takes time.
type Step uint8

// The steps, in the order in which a request takes them.
const (
	StepForward Step = iota // edge: from its arrival to its first forwarding to a leader
	StepOutcome             // edge: from its last forwarding to its end
	StepBatch               // leader: its batch was open
	StepWindow              // leader: its batch waited for room in the window
	StepSync                // leader: its own disk
	StepAccept              // leader: from its own disk, or the proposal, to the majority's answer
	StepDecide              // leader: from the majority to the decision and its turn
	StepApply               // leader: until it was applied and queued for the followers
	StepQueue               // message: from its acceptance, or its last attempt, to a worker's slot
	StepBegin               // message: until the beginning of the attempt was decided
	StepWorker              // message: until the worker's answer, or the end of its time
	StepEnd                 // message: until the end of the attempt was decided
	StepAgree               // operators: until the group had decided

	StepCount // how many there are
)

var stepNames = [StepCount]string{
	"forward", "outcome", "batch", "window", "sync", "accept", "decide", "apply",
	"queue", "begin", "worker", "end", "agree",
}

// String gives the step's name.
func (s Step) String() string { return stepNames[s] }

// StepNames lists the names of all steps.
func StepNames() []string { return stepNames[:] }

// Steps is how long each step took, in milliseconds plus one; 0: it was not taken.
type Steps [StepCount]int32

// Set notes how long a step took.
func (s *Steps) Set(step Step, took ids.Millis) { s[step] = int32(max(took, 0)) + 1 }

// Get gives how long a step took; false if it was not taken.
func (s *Steps) Get(step Step) (ids.Millis, bool) { return ids.Millis(s[step] - 1), s[step] > 0 }

// PublishID is what records name a publish by: CLIENT/NUMBER.
func PublishID(client string, number uint64) string {
	return client + "/" + strconv.FormatUint(number, 10)
}

// Record is what one process knows of one request.
type Record struct {
	At       int64 // unix milliseconds of the end, by the process's time of day
	Stage    Stage
	ID       string // what the client named it by: PublishID, or the message's name
	Node     ids.Node
	Topic    ids.Topic // of a publish
	Group    ids.Group
	Epoch    uint64 // of the leader, as far as it is known here
	Release  int64  // of the configuration that the process served by
	Position ids.Position
	Number   uint32 // attempt: its number; edge: how often it was forwarded
	Peer     string // who it was given to: a leader, or a worker
	Steps    Steps
	Outcome  string // what was answered, or came of it
	Reason   string // why, if that is not plain
}
