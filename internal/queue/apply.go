package queue

import (
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
	"oxbowdeck/internal/statemachine"
)

// Slack is added to the time an attempt may run: its answer may be on the way,
// and who read it may have to tell it to a new leader.
const Slack = ids.Millis(600)

// Apply runs a decided instance.
func (s *State) Apply(decided paxos.Decided, emit func(Event)) {
	s.progress.Advance(decided)
	statemachine.EachCommand(decided, func(id paxos.ID, pos ids.Position, command *Command) {
		s.run(id, pos, command, emit)
	})
	if s.progress.SweepDue(s.Bounds.Sweep) {
		s.sweep(emit)
	}
}

// run applies one command.
func (s *State) run(id paxos.ID, pos ids.Position, command *Command, emit func(Event)) {
	switch command.Verb {
	case Accept:
		if command.Msg != nil {
			row, fresh := s.accept(command.Msg, pos)
			emit(Event{Verb: Accept, ID: id, Row: row, OK: fresh})
		}
	case Begin:
		for _, attempt := range command.Attempts {
			row := s.rows[attempt.Pos]
			begun := s.begin(row, attempt)
			emit(Event{
				Verb:        Begin,
				ID:          id,
				Row:         row,
				Attempt:     attempt,
				By:          command.By,
				Incarnation: command.Incarnation,
				OK:          begun,
			})
		}
	case End:
		for _, attempt := range command.Attempts {
			row := s.rows[attempt.Pos]
			key := row.SequenceKey()
			ended := s.end(row, attempt)
			emit(Event{Verb: End, ID: id, Row: row, Attempt: attempt, Key: key, OK: ended})
		}
	case Reserve:
		if command.Reserve != nil {
			granted := s.accounts.Apply(s.Clock(), *command.Reserve)
			emit(Event{Verb: Reserve, ID: id, Reserve: command.Reserve, Granted: granted})
		}
	default:
		err := statemachine.UnknownVerbError(command.Verb)
		statemachine.LeftOut{Slot: pos.Slot(), ID: id, Err: err}.Report()
	}
}

// accept takes a message in; fresh is false if it was taken before.
func (s *State) accept(message *Message, pos ids.Position) (row *Row, fresh bool) {
	if known := s.Find(message.Name()); known != nil {
		return known, false
	}
	clock := s.Clock()
	row = &Row{
		Pos:        pos,
		Msg:        *message,
		AcceptedAt: clock,
		NotBefore:  clock + max(0, message.Defer),
		ExpiresAt:  clock + message.Hold,
	}
	s.add(row)
	return row, true
}

// begin takes up an attempt: of a message that has not ended, is the first of
// its key, and has no attempt under way that may still run, unless that would do
// no harm.
func (s *State) begin(row *Row, attempt Attempt) bool {
	if row == nil || row.Outcome != Open || !s.First(row) || attempt.Number != row.Attempts {
		return false
	}
	if row.Running && s.Clock() < row.RunningUntil && !attempt.Repeatable {
		return false
	}
	row.Attempts++
	row.Running = true
	row.RunningUntil = s.Clock() + attempt.RunsFor + Slack
	return true
}

// end takes what became of an attempt. A success counts whichever attempt it was
// of; everything else only of the one under way.
func (s *State) end(row *Row, attempt Attempt) bool {
	if row == nil || row.Outcome != Open {
		return false
	}
	if attempt.Outcome == Done {
		row.Seal = attempt.Seal
		s.finish(row, Done)
		return true
	}
	if attempt.Number != row.Attempts || !row.Running && attempt.Outcome != Dropped {
		return false
	}
	switch attempt.Outcome {
	case Never, Dropped:
		s.finish(row, attempt.Outcome)
	case Failed:
		row.Running = false
		row.Failures++
		if row.Failures >= attempt.FailureLimit {
			s.finish(row, Spent)
		}
	case Lost: // who sent it knows better when it is over
		if attempt.RunsFor > 0 {
			row.RunningUntil = min(row.RunningUntil, s.Clock()+attempt.RunsFor)
		} else {
			row.Running = false
		}
	case NotRun:
		row.Running = false
	default:
		return false
	}
	return true
}

// finish ends a message. The bytes of one that was done are let go of; those of
// one that was not can be asked for as long as it is told of.
func (s *State) finish(row *Row, outcome Outcome) {
	s.bytes -= row.Size()
	row.Outcome = outcome
	row.EndedAt = s.Clock()
	row.Running = false
	s.leaveSequence(row)
	if outcome == Done {
		row.Msg = Message{ID: row.Msg.ID, Tenant: row.Msg.Tenant}
	}
	s.bytes += row.Size()
	s.ended = append(s.ended, row.Pos)
	s.open--
}
