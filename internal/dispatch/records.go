package dispatch

import (
	"fmt"

	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/queue"
	"oxbowdeck/internal/requestlog"
)

// recordAttempt keeps what became of an attempt at a worker.
func (s *Shard) recordAttempt(now ids.Millis, pos ids.Position, number uint32, r *reservation, result Result) {
	record := requestlog.Record{
		Stage:    requestlog.StageAttempt,
		ID:       r.name,
		Node:     s.host.Self.Addr,
		Group:    s.group,
		Release:  s.host.config.Release,
		Position: pos,
		Number:   number,
		Peer:     r.worker.ID,
		Outcome:  result.outcome.String(),
	}
	record.Steps.Set(requestlog.StepQueue, r.waited)
	record.Steps.Set(requestlog.StepBegin, r.startedAt-r.at)
	record.Steps.Set(requestlog.StepWorker, now-r.startedAt)
	if result.err != nil || result.status != 0 {
		record.Reason = fmt.Sprintf("status=%d err=%v", result.status, result.err)
	}
	requestlog.Add(record)
}

// recordEnded keeps how a message ended, where the end of its last attempt was submitted.
func (s *Shard) recordEnded(now ids.Millis, row *queue.Row, end *pendingEnd) {
	record := requestlog.Record{
		Stage:    requestlog.StageEnded,
		ID:       row.Msg.Name(),
		Node:     s.host.Self.Addr,
		Group:    s.group,
		Release:  s.host.config.Release,
		Position: row.Pos,
		Number:   row.Attempts,
		Outcome:  row.Outcome.String(),
	}
	record.Steps.Set(requestlog.StepEnd, now-end.since)
	requestlog.Add(record)
}

// waited is how long a message has been due without a worker's slot, by decided time.
func (s *Shard) waited(now ids.Millis, row *queue.Row) ids.Millis {
	return s.host.Group(s.group).Time(now) - max(row.AcceptedAt, row.NotBefore)
}
