// Package inspect reads stores' data directories offline: it checks what is on the
// disk, compares replicas, and runs their logs through the same Apply again.
package inspect

import (
	"fmt"

	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
	"oxbowdeck/internal/storage"
	"oxbowdeck/internal/topic"
)

// Group is what one directory holds of one group.
type Group struct {
	Dir       string     `json:"dir"`
	Group     ids.Group  `json:"group"`
	Promised  ids.Ballot `json:"-"`
	Epoch     uint64     `json:"epoch"`
	Snapshot  ids.Slot   `json:"snapshot"`
	Decided   ids.Slot   `json:"decided"`
	Undecided int        `json:"undecided"`
	Digest    string     `json:"state_digest"`
	At        ids.Slot   `json:"state_at"`
	Open      int        `json:"open_messages,omitempty"` // of a queue: not ended
	Ended     int        `json:"ended_messages,omitempty"`
	entries   map[ids.Slot]paxos.Entry
	snapshot  *storage.Snapshot
}

// Fault is one thing found wrong.
type Fault struct {
	Dir   string    `json:"dir"`
	Group ids.Group `json:"group"`
	Slot  ids.Slot  `json:"slot,omitempty"`
	Other string    `json:"other,omitempty"`
	What  string    `json:"what"`
}

// String gives the fault as one line.
func (f Fault) String() string {
	s := fmt.Sprintf("%s: group %d", f.Dir, f.Group)
	if f.Slot > 0 {
		s += fmt.Sprintf(" instance %d", f.Slot)
	}
	if f.Other != "" {
		s += " against " + f.Other
	}
	return s + ": " + f.What
}

// Event is what one decided command did to a topic, a client or a message.
type Event struct {
	Pos     string        `json:"position"`
	Slot    ids.Slot      `json:"instance"`
	Verb    string        `json:"verb"`
	Topic   ids.Topic     `json:"topic,omitempty"`
	Client  ids.Client    `json:"client,omitempty"`
	Seq     ids.Seq       `json:"call_seq,omitempty"`
	Verdict topic.Verdict `json:"verdict,omitempty"`
	Edge    ids.Node      `json:"edge,omitempty"`
	Message string        `json:"message,omitempty"` // of a queue
	Try     uint32        `json:"try,omitempty"`
	Outcome string        `json:"outcome,omitempty"`
}

// String gives the event as one line.
func (e Event) String() string {
	if e.Message != "" {
		return fmt.Sprintf("%s %s message=%s try=%d outcome=%s by=%s",
			e.Pos, e.Verb, e.Message, e.Try, e.Outcome, e.Edge)
	}
	return fmt.Sprintf("%s %s topic=%s client=%s seq=%d verdict=%d edge=%s",
		e.Pos, e.Verb, e.Topic, e.Client, e.Seq, e.Verdict, e.Edge)
}

// Options narrow a reading.
type Options struct {
	Bounds  topic.Bounds
	Stop    ids.Slot // replay no further, if not 0
	Topic   ids.Topic
	Client  ids.Client
	Message string             // the X-Attempt-Id of one
	Report  ids.Millis         // how long a queue tells how messages ended
	OnEvent func(Group, Event) // gets what happened to them, if set
}
