package statemachine

import (
	"fmt"

	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/invariant"
	"oxbowdeck/internal/paxos"
)

// LeftOut is a decided command that a replica does not run: it can't be decoded, or another
// version wrote it that knows more.
type LeftOut struct {
	Slot ids.Slot
	ID   paxos.ID
	Err  error
}

// Report counts and logs the command: whoever waits for its effect waits in vain.
func (l LeftOut) Report() {
	invariant.Violated(invariant.CommandsRun, "slot", l.Slot, "origin", l.ID.Origin, "seq", l.ID.Seq, "err", l.Err)
}

// UnknownVerbError says that a command is of a kind which this version does not know.
type UnknownVerbError uint8

// Error names the verb.
func (verb UnknownVerbError) Error() string { return fmt.Sprintf("unknown verb %d", uint8(verb)) }
