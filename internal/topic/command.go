// Package topic is the state a shard's group agrees on: the history of its
// topics, which calls of each client were accepted, and which clients subscribe to
// which topic. Apply is deterministic: nothing local (clock, map order) enters it;
// time is the decided time of the batch.
package topic

import (
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
	"oxbowdeck/internal/quota"
)

// Verb of a command.
type Verb uint8

// What a command does.
const (
	Publish     Verb = iota + 1
	Subscribe        // a client's subscription is held by an edge
	Unsubscribe      // it is no more
	EdgeGone         // an edge's incarnation ended, and all its subscriptions with it
	Reserve          // tokens of a tenant's account
)

// Command is one request's content.
type Command struct {
	Verb        Verb            `cbor:"1,keyasint"`
	Topic       ids.Topic       `cbor:"2,keyasint,omitempty"`
	Client      ids.Client      `cbor:"3,keyasint,omitempty"`
	Seq         ids.Seq         `cbor:"4,keyasint,omitempty"`
	Body        []byte          `cbor:"5,keyasint,omitempty"`
	Edge        ids.Node        `cbor:"6,keyasint,omitempty"`
	Keep        ids.Millis      `cbor:"7,keyasint,omitempty"` // how long the space keeps it
	Incarnation ids.Incarnation `cbor:"8,keyasint,omitempty"`
	// Conn is the number of a subscription at the edge: later ones are higher.
	Conn    uint64         `cbor:"9,keyasint,omitempty"`
	Reserve *quota.Reserve `cbor:"10,keyasint,omitempty"`
	// AsOf is of a publish: decided time that had passed, as its edge knows, before the client
	// wrote it. An edge of an earlier version tells none.
	AsOf ids.Millis `cbor:"11,keyasint,omitempty"`
}

// Verdict of a publish.
type Verdict uint8

// What became of a publish.
const (
	Fresh   Verdict = iota + 1 // accepted now
	Again                      // accepted before: answered alike, delivered once
	Refused                    // below an accepted number and never accepted itself
	TooOld                     // perhaps written before its client's numbers were forgotten: not accepted now
)

// Accepted tells whether the message is in its topic's history.
func (v Verdict) Accepted() bool { return v == Fresh || v == Again }

// Event is what a replica tells the edges that follow it.
type Event struct {
	ID      paxos.ID
	Cmd     *Command
	Pos     ids.Position
	Verdict Verdict // of a publish
	Granted int     // of a reservation: the tokens it got
}
