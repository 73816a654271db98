// Package simulation runs the real engine and the real shard state on a simulated
// network, simulated disks and simulated clocks, with troubles drawn from a
// seed, and checks the rules after every step. The same seed gives the same
// run, so a failing one can be run again.
package simulation

import (
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
	"oxbowdeck/internal/topic"
)

// Plan says what a run is made of.
type Plan struct {
	Seed     int64
	Voters   int
	Learners int
	For      ids.Millis // troubles go on this long; then the world heals
	Conf     paxos.Config
	Bounds   topic.Bounds
	Loss     float64 // share of messages lost
	Twice    float64 // share of messages delivered twice
	Troubles []string
	Every    ids.Millis // mean pause between troubles
	Rate     ids.Millis // mean pause between publishes
	SnapAt   int
	Sync     ids.Millis   // a disk's sync takes up to this long
	Reckless bool         // troubles strike however many nodes are down already
	Grow     int          // the group is to grow to so many voters, one at a time
	Copies   int          // what is decided must be on so many disks at that time; no trouble may wipe one
	Log      func(string) // each step, if wanted
}

// All troubles a run may draw.
var All = []string{"crash", "power", "cut", "slow", "wipe", "drain", "freeze"}

// Moves is what changes memberships, among what changes leaders.
var Moves = []string{"swap", "swap", "crash", "cut", "power", "drain"}

// Storm is what only durability is promised under: more strike at once than
// the group can serve through.
var Storm = []string{"power", "power", "dark", "split", "drain", "wipe"}
