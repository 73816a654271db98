package queue

import (
	"slices"

	"oxbowdeck/internal/ids"
)

// sweep ends what was held for too long, and forgets what ended long ago.
func (s *State) sweep(emit func(Event)) {
	s.expire(emit)
	s.forget()
}

// expire ends messages that were held for as long as their route says, in the
// order in which they were accepted.
func (s *State) expire(emit func(Event)) {
	var expired []ids.Position
	for pos, row := range s.rows {
		if row.Outcome == Open && s.Clock() >= row.ExpiresAt {
			expired = append(expired, pos)
		}
	}
	slices.Sort(expired)
	for _, pos := range expired {
		row := s.rows[pos]
		key := row.SequenceKey()
		s.finish(row, Expired)
		attempt := Attempt{Pos: pos, Number: row.Attempts, Outcome: Expired}
		emit(Event{Verb: End, Row: row, Key: key, Attempt: attempt, OK: true})
	}
}

// forget drops messages whose end was told of for as long as it is to be.
func (s *State) forget() {
	count := 0
	for _, pos := range s.ended {
		row := s.rows[pos]
		if s.Clock()-row.EndedAt <= s.Bounds.Report {
			break
		}
		s.bytes -= row.Size()
		delete(s.byName, row.Msg.Name())
		delete(s.rows, pos)
		count++
	}
	if count > 0 {
		s.ended = slices.Clone(s.ended[count:])
	}
}
