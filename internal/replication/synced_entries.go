package replication

import (
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/invariant"
	"oxbowdeck/internal/paxos"
)

// syncedEntries is which entries of the log the disk has confirmed. It is kept apart from
// the engine's own account, so that what the engine says to others can be compared with it.
type syncedEntries struct {
	ballots map[ids.Slot]ids.Ballot
	trimmed ids.Slot // entries up to here are forgotten
}

// newSyncedEntries begins with what the disk held at the start.
func newSyncedEntries(base ids.Slot, entries []paxos.Entry) *syncedEntries {
	s := &syncedEntries{ballots: map[ids.Slot]ids.Ballot{}, trimmed: base}
	for _, e := range entries {
		s.ballots[e.Slot] = e.Ballot
	}
	return s
}

// confirm notes records that are on the disk now.
func (s *syncedEntries) confirm(records []paxos.Record) {
	for _, r := range records {
		if r.Entry != nil && r.Entry.Slot > s.trimmed {
			s.ballots[r.Entry.Slot] = max(s.ballots[r.Entry.Slot], r.Entry.Ballot)
		}
	}
}

// trim forgets the entries up to a slot.
func (s *syncedEntries) trim(upTo ids.Slot) {
	if upTo-s.trimmed > ids.Slot(len(s.ballots)) { // a snapshot skipped most of it
		for slot := range s.ballots {
			if slot <= upTo {
				delete(s.ballots, slot)
			}
		}
		s.trimmed = upTo
	}
	for s.trimmed < upTo {
		s.trimmed++
		delete(s.ballots, s.trimmed)
	}
}

// checkAccepted compares an acceptance that is about to be told with what is on the disk.
// What is decided may be told of at once: a majority has it.
func (r *Replica) checkAccepted(msg paxos.Msg) {
	if msg.Kind != paxos.Accepted || r.Core.Decided(msg.Slot) {
		return
	}
	if ballot, found := r.synced.ballots[msg.Slot]; !found || ballot < msg.Ballot {
		invariant.Violated(invariant.AcceptedIsSynced,
			"group", r.group, "slot", msg.Slot, "epoch", msg.Ballot, "synced_epoch", ballot)
	}
}
