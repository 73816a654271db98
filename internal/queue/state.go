package queue

import (
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/quota"
	"oxbowdeck/internal/statemachine"
)

// SweepEvery is how often a state looks for what is over.
const SweepEvery = ids.Millis(500)

// Bounds of what a state holds; every replica of a group runs with the same.
type Bounds struct {
	Report ids.Millis // how a message ended is told for so long
	Sweep  ids.Millis
}

// State is one shard's agreed state.
type State struct {
	Bounds    Bounds
	progress  statemachine.Progress
	rows      map[ids.Position]*Row
	byName    map[string]ids.Position
	sequences map[string][]ids.Position // messages in sequence that have not ended
	ended     []ids.Position            // in the order they ended
	accounts  *quota.Ledger             // of the tenants whose home this shard is
	open      int
	bytes     int
}

// New starts an empty state.
func New(bounds Bounds) *State {
	return &State{
		Bounds:    bounds,
		rows:      map[ids.Position]*Row{},
		byName:    map[string]ids.Position{},
		sequences: map[string][]ids.Position{},
		accounts:  quota.NewLedger(),
	}
}

// Clock is the decided time.
func (s *State) Clock() ids.Millis { return s.progress.Clock }

// Bytes is about how many bytes the state takes.
func (s *State) Bytes() int { return s.bytes }

// Slot is the newest instance applied.
func (s *State) Slot() ids.Slot { return s.progress.Slot }

// Open is how many messages have not ended.
func (s *State) Open() int { return s.open }

// Ended is how many messages that have ended are told of.
func (s *State) Ended() int { return len(s.ended) }

// Find gives a message by its name, or nil.
func (s *State) Find(name string) *Row {
	if pos, ok := s.byName[name]; ok {
		return s.rows[pos]
	}
	return nil
}

// Row gives a message by its place, or nil.
func (s *State) Row(pos ids.Position) *Row { return s.rows[pos] }

// Each visits the messages that have not ended, in any order.
func (s *State) Each(visit func(*Row)) {
	for _, row := range s.rows {
		if row.Outcome == Open {
			visit(row)
		}
	}
}

// First tells whether no earlier message of its key stands before one.
func (s *State) First(row *Row) bool {
	key := row.SequenceKey()
	return key == "" || s.sequences[key][0] == row.Pos
}

// Next gives the first message of a key that has not ended, or nil.
func (s *State) Next(key string) *Row {
	if sequence := s.sequences[key]; len(sequence) > 0 {
		return s.rows[sequence[0]]
	}
	return nil
}

// add takes up a row, new or from a snapshot.
func (s *State) add(row *Row) {
	s.rows[row.Pos] = row
	s.byName[row.Msg.Name()] = row.Pos
	s.bytes += row.Size()
	if row.Outcome != Open {
		return
	}
	s.open++
	if key := row.SequenceKey(); key != "" {
		s.sequences[key] = append(s.sequences[key], row.Pos)
	}
}

// leaveSequence takes a message that ended out of its sequence.
func (s *State) leaveSequence(row *Row) {
	key := row.SequenceKey()
	if key == "" {
		return
	}
	sequence := s.sequences[key]
	for i, pos := range sequence {
		if pos == row.Pos {
			sequence = append(sequence[:i:i], sequence[i+1:]...)
			break
		}
	}
	s.sequences[key] = sequence
	if len(sequence) == 0 {
		delete(s.sequences, key)
	}
}
