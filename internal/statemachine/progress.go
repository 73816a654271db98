// Package statemachine has what the replicated state machines of topics and of
// queues share: how far a state has come in the decided order, and the encoding of
// snapshots. What a command means belongs to their own packages.
package statemachine

import (
	"oxbowdeck/internal/codec"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
)

// Progress is how far a state has come in the decided order. It begins the header
// of a snapshot.
type Progress struct {
	Clock ids.Millis // decided time
	Swept ids.Millis // when old things were last looked for
	Slot  ids.Slot   // the newest instance applied
}

// Advance takes up an instance. Decided time never goes back.
func (p *Progress) Advance(decided paxos.Decided) {
	p.Slot = decided.Slot
	p.Clock = max(p.Clock, decided.Value.Stamp)
}

// SweepDue tells whether old things are to be looked for now, which is to be done
// so often at the most.
func (p *Progress) SweepDue(interval ids.Millis) bool {
	if p.Clock-p.Swept < interval {
		return false
	}
	p.Swept = p.Clock
	return true
}

// EachCommand decodes the commands of an instance in their agreed order. One that
// can't be decoded is left out, since the same bytes fail alike everywhere, and reported
// once the others have run.
func EachCommand[C any](decided paxos.Decided, run func(paxos.ID, ids.Position, *C)) {
	var leftOut []LeftOut
	for i, request := range paxos.Order(decided.Value.Reqs) {
		var command C
		if err := codec.Unmarshal(request.Data, &command); err != nil {
			leftOut = append(leftOut, LeftOut{Slot: decided.Slot, ID: request.ID, Err: err})
			continue
		}
		run(request.ID, ids.MakePosition(decided.Slot, i), &command)
	}
	for _, command := range leftOut {
		command.Report()
	}
}
