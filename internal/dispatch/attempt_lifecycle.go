package dispatch

import (
	"log/slog"

	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/invariant"
	"oxbowdeck/internal/queue"
)

// Waits between the attempts of a message; each is jittered.
const (
	// releaseRetry is the wait after a beginning that was not taken.
	releaseRetry = ids.Millis(50)
	// notRunRetry is the wait after an attempt that did not run.
	notRunRetry = ids.Millis(15)
	// fixedNotRunRetry is that at a fixed endpoint, which has no other beside it.
	fixedNotRunRetry = ids.Millis(60)
	// firstBackoff is the wait after a first failure; after each further one it is
	// doubled backoffDoublings times.
	firstBackoff     = ids.Millis(60)
	backoffDoublings = 2
	backoffSteps     = 4
	backoffLimit     = ids.Millis(4000)
	// fixedFailureFactor lengthens the wait at a fixed endpoint that fails: there is
	// no other to turn to, and the attempts are counted.
	fixedFailureFactor = 3
)

// reservation is a worker's slot for a message, from before the beginning of the
// attempt is decided until its end is.
type reservation struct {
	worker       *worker
	at           ids.Millis
	previous     uint32 // the number of the attempt before
	timeout      ids.Millis
	failureLimit uint16
	name         string     // of the message
	waited       ids.Millis // for the slot
	startedAt    ids.Millis // when the attempt was sent
	running      bool
	sequence     string // that the message stands in, if any; set as the attempt starts
	over         bool   // the attempt has ended, its end is not decided
}

// backoff keeps a message that failed back for a while.
type backoff struct {
	until    ids.Millis
	failures int
	avoid    string // the worker that failed it last
}

// release gives the slot of an attempt back that is not sent.
func (s *Shard) release(pos ids.Position) {
	if r := s.reservations[pos]; r != nil && !r.running {
		r.worker.inFlight--
		delete(s.reservations, pos)
	}
}

// beginDecided takes the decision that an attempt begins, or may not. Only who asked
// for it sends it.
func (s *Shard) beginDecided(now ids.Millis, event queue.Event) {
	pos := event.Attempt.Pos
	r := s.reservations[pos]
	if r != nil && (r.running || r.over || r.previous != event.Attempt.Number) {
		r = nil // of another attempt
	}
	self := s.host.Self
	if event.By != self.Addr || event.Incarnation != self.Incarnation {
		s.beginDecidedElsewhere(now, event, r)
		return
	}
	if !event.OK {
		if r != nil {
			s.release(pos)
			s.scheduleAt(now+releaseRetry, pos)
		}
		return
	}
	s.start(now, event, r)
}

// beginDecidedElsewhere takes the beginning of another process's attempt: another
// leads.
func (s *Shard) beginDecidedElsewhere(now ids.Millis, event queue.Event, r *reservation) {
	if !event.OK {
		return
	}
	if r != nil {
		s.release(event.Attempt.Pos)
	}
	if s.leading {
		s.schedule(now, event.Row)
	}
}

// start sends an attempt whose beginning is decided, if this process leads and not
// much time has passed: whoever leads next counts the attempt's time from the
// decision.
func (s *Shard) start(now ids.Millis, event queue.Event, r *reservation) {
	pos := event.Attempt.Pos
	number := event.Row.Attempts
	group := s.host.Group(s.group)
	_, leads := group.Lead()
	startWithin := s.host.Bounds.StartDeadline
	if r != nil { // the decision's own age counts: it may be of an earlier reservation
		startWithin -= max(now-r.at, group.Time(now)-s.state.Clock())
	}
	if r == nil || !leads || startWithin < 0 {
		if r != nil {
			s.release(pos)
		}
		s.reportEnd(now, queue.Attempt{Pos: pos, Number: number, Outcome: queue.NotRun})
		return
	}
	s.checkStart(event.Row, r)
	r.running = true
	r.startedAt = now
	message := event.Row.Msg
	attempt := &Attempt{
		message:     &message,
		addr:        r.worker.Addr,
		timeout:     r.timeout.Duration(),
		dialTimeout: s.host.Bounds.DialTimeout,
		startWithin: startWithin,
	}
	if !r.worker.fixed {
		attempt.worker = r.worker.ID
	}
	s.host.Run(attempt, &r.worker.pool, func(result Result) {
		s.host.Do(func() { s.finished(pos, number, r, result) })
	})
}

// checkStart compares an attempt that is about to be sent with what may be sent: a sequence
// has one attempt under way, and a message as many failures as its route allows at most.
func (s *Shard) checkStart(row *queue.Row, r *reservation) {
	if row.Failures >= r.failureLimit {
		invariant.Violated(invariant.AttemptsWithinBudget,
			"group", s.group, "pos", row.Pos, "failures", row.Failures, "limit", r.failureLimit)
	}
	r.sequence = row.SequenceKey()
	if r.sequence == "" {
		return
	}
	other, found := s.sequences[r.sequence]
	if earlier := s.state.Row(other); found && other != row.Pos && earlier != nil && earlier.Outcome == queue.Open {
		invariant.Violated(invariant.OneAttemptPerSequence, "group", s.group, "pos", row.Pos, "under_way", other)
	}
	s.sequences[r.sequence] = row.Pos
}

// finished takes what came of an attempt.
func (s *Shard) finished(pos ids.Position, number uint32, r *reservation, result Result) {
	now := s.host.Now()
	if key := r.sequence; key != "" && s.sequences[key] == pos {
		delete(s.sequences, key)
	}
	r.over = true
	r.worker.inFlight--
	s.recordAttempt(now, pos, number, r, result)
	r.worker.record(now, result, s.host.Bounds.EjectFor, s.host.Rand)
	if result.outcome == queue.Lost || result.outcome == queue.Failed {
		slog.Info("attempt", "group", s.group, "pos", pos, "try", number, "outcome", result.outcome,
			"worker", r.worker.ID, "status", result.status, "err", result.err)
	}
	if result.final() {
		delete(s.backoffs, pos)
	} else {
		s.backOff(now, pos, r.worker, result)
	}
	s.reportEnd(now, queue.Attempt{
		Pos:          pos,
		Number:       number,
		Outcome:      result.outcome,
		Seal:         result.seal,
		FailureLimit: r.failureLimit,
		RunsFor:      ids.Millis(max(0, result.mayRunFor).Milliseconds()),
	})
}

// backOff keeps a message back whose attempt failed, or did not run.
func (s *Shard) backOff(now ids.Millis, pos ids.Position, w *worker, result Result) {
	b := s.backoffs[pos]
	if b == nil {
		b = &backoff{}
		s.backoffs[pos] = b
	}
	b.avoid = w.ID
	wait := notRunRetry
	if result.outcome != queue.NotRun && result.kind != refused {
		b.failures++
		wait = failureBackoff(b.failures)
		if w.fixed && result.outcome == queue.Failed {
			wait *= fixedFailureFactor
		}
	} else if w.fixed {
		wait = fixedNotRunRetry
	}
	b.until = now + wait/2 + ids.Millis(s.host.Rand.Int64N(int64(wait)))
}

// failureBackoff is the wait after so many failures.
func failureBackoff(failures int) ids.Millis {
	steps := min(failures-1, backoffSteps)
	return min(firstBackoff<<(backoffDoublings*steps), backoffLimit)
}

// endDecided takes the decision of an attempt's end, or of a message's.
func (s *Shard) endDecided(now ids.Millis, event queue.Event) {
	pos := event.Attempt.Pos
	ended := event.Row == nil || event.Row.Outcome != queue.Open
	if end := s.ends[pos]; end != nil && (ended || end.attempt.Number <= event.Attempt.Number) {
		delete(s.ends, pos)
		if ended && event.Row != nil {
			s.recordEnded(now, event.Row, end)
		}
	}
	if r := s.reservations[pos]; r != nil && r.over && (ended || r.previous < event.Attempt.Number) {
		delete(s.reservations, pos)
	}
	switch {
	case !s.leading:
	case !ended:
		s.schedule(now, event.Row)
	case event.OK && event.Key != "":
		s.schedule(now, s.state.Next(event.Key))
	}
	if ended {
		delete(s.backoffs, pos)
	}
}
