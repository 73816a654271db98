// Package modelcheck tries every interleaving of a small group of the real engine:
// each order in which messages arrive, are lost or come twice, each moment at
// which a disk completes, a process dies, power or a disk is lost, and each at
// which a timer fires, within a budget for each of them. States are hashed and
// visited once. After every step the rules of consensus are checked against
// what the disks hold, and from some states the world goes on fairly to an end
// in which everything must have been decided.
//
// What is abstracted, and in which direction:
//   - The network is the set of all that was ever sent. Whatever is in it may
//     arrive at any time, any number of times, or never. That is more than a
//     network does, so it hides nothing.
//   - A process that dies is back at once. One that stays away for long is one
//     at which nothing arrives.
//   - What a process wrote is durable when its next incarnation has read it: opening
//     the database syncs it. With the power, each unsynced write goes or stays
//     by itself.
//   - Time is each replica's own and jumps to when its timer is due; what a
//     leader or one that would lead says takes the receiver's clock along, as if
//     all clocks ran alike and messages took no time.
//   - A step that changes nothing is not a step: the state without that message
//     could do nothing that the state with it can't.
package modelcheck

import (
	"oxbowdeck/internal/paxos"
)

// Op is a kind of step.
type Op uint8

const (
	Take             Op = iota // a message arrives
	Sync                       // the disk completes its oldest write, or the first behind a snapshot
	Doubt                      // the timer of one that does not lead fires
	Heartbeat                  // a leader's timer fires
	Kill                       // the process dies; its files stay as they were written
	Power                      // the machine loses power: of what is not synced some is there
	Wipe                       // its disk is lost; it comes back under a number that never voted
	Leave                      // the machine is gone for good
	Drain                      // it is told to hand the lead over
	Keep                       // a snapshot of its own is written; the log before it is let go
	Submit                     // a leader is given the next command
	Again                      // a leader is given a command that some leader was given before
	ChangeMembership           // a leader is asked for the membership wanted
	arrive                     // fair end: a message arrives when it does
	pass                       // fair end: time passes
	ops
)

var opNames = [ops]string{"takes", "syncs", "doubts", "beats", "dies", "loses power", "loses its disk",
	"is gone for good", "drains", "keeps a snapshot", "is given", "is given again", "is asked for the membership",
	"gets", "waits"}

// Plan is a small world and what may happen in it.
type Plan struct {
	Name     string
	Conf     paxos.Config
	Voters   int
	Others   int          // replicas without a vote
	Replaced int          // so many of the last voters are to be replaced by the first of the others
	Grow     bool         // the first of them is to become one more voter
	Copies   int          // what is decided must be on so many disks, where there are so many voters
	Commands int          // one request each
	Most     [ops]int     // how often each kind of step may happen; Take and Sync are free
	Instant  bool         // disks complete at once
	Bold     bool         // the first loss may come while a membership changes
	Walks    int64        // walks drawn from this seed; 0: all of it, breadth first
	States   int          // most states visited
	Mute     []paxos.Kind // kinds of messages that are always lost before the end
	Path     []string     // steps made before, as a Fault tells them
	EndEvery int          // every so many states the world goes on to its end

	// Tests take a safeguard away with these.
	Hasty     bool                                  // what is saved counts as synced at once
	OldNumber bool                                  // a lost disk comes back under its old number
	Tamper    func(*paxos.Msg) bool                 // changes what is sent; false: nothing left to send
	Asked     func(s []paxos.Member) []paxos.Member // changes the membership asked for
}

// Step is one choice: what happens, at which replica, and with which message,
// command or writes.
type Step struct {
	Op  Op
	At  int8
	Arg int32
}
