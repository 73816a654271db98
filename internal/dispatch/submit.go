package dispatch

import (
	"log/slog"
	"maps"
	"slices"

	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
	"oxbowdeck/internal/queue"
	"oxbowdeck/internal/shardapi"
)

const (
	// endRetry is how long the decision of an end may take before it is submitted
	// again.
	endRetry = ids.Millis(120)
	// endKept is how long an end is submitted that only keeps the message from being
	// sent again sooner.
	endKept = ids.Millis(20000)
)

// pendingEnd is the end of an attempt that is not decided yet.
type pendingEnd struct {
	attempt     queue.Attempt
	since       ids.Millis
	submittedAt ids.Millis // last
	submitted   bool
}

// reportEnd has what became of an attempt decided: submitted again until it is.
func (s *Shard) reportEnd(now ids.Millis, attempt queue.Attempt) {
	s.ends[attempt.Pos] = &pendingEnd{attempt: attempt, since: now}
}

// submitAttempts puts beginnings and ends to the group; it tells whether there was
// anything to submit.
func (s *Shard) submitAttempts(now ids.Millis, group Group) bool {
	submitted := false
	if s.leading && len(s.beginnings) > 0 {
		s.submitBeginnings(now, group)
		submitted = true
	}
	ends := s.dueEnds(now)
	if len(ends) > 0 && s.leader != "" {
		s.submitEnds(group, ends)
		submitted = true
	}
	return submitted
}

// submitBeginnings puts the beginnings to the group that is led here.
func (s *Shard) submitBeginnings(now ids.Millis, group Group) {
	request, err := s.host.request(queue.Command{
		Verb:        queue.Begin,
		Attempts:    s.beginnings,
		By:          s.host.Self.Addr,
		Incarnation: s.host.Self.Incarnation,
	})
	if err != nil {
		slog.Warn("encode-failed", "group", s.group, "err", err)
	}
	if err != nil || !s.submitRequest(group, request) {
		for _, attempt := range s.beginnings {
			s.release(attempt.Pos)
			s.scheduleAt(now+releaseRetry, attempt.Pos)
		}
	}
	s.beginnings = nil
}

// submitEnds puts ends to the group in one command. If that can't be encoded, each end goes
// alone, so that the one at fault does not keep the others from being decided.
func (s *Shard) submitEnds(group Group, ends []queue.Attempt) {
	request, err := s.host.request(queue.Command{Verb: queue.End, Attempts: ends})
	switch {
	case err == nil:
		s.submitRequest(group, request)
	case len(ends) == 1:
		s.giveUpEnd(ends[0], err)
	default:
		for _, end := range ends {
			s.submitEnds(group, []queue.Attempt{end})
		}
	}
}

// giveUpEnd replaces an end that can't be encoded by one that says that nothing is known of
// the attempt.
func (s *Shard) giveUpEnd(end queue.Attempt, err error) {
	slog.Warn("encode-failed", "group", s.group, "pos", end.Pos, "outcome", end.Outcome, "err", err)
	if pending := s.ends[end.Pos]; pending != nil {
		pending.attempt = queue.Attempt{Pos: end.Pos, Number: end.Number, Outcome: queue.Lost}
		pending.submitted = false
	}
}

// dueEnds gives the ends that are to be submitted now. One that was done, or never
// can be, is kept until it is decided, since its message must not be sent again from
// here; no others begin while these can't be decided, so they stay few.
func (s *Shard) dueEnds(now ids.Millis) []queue.Attempt {
	var due []queue.Attempt
	for _, pos := range slices.Sorted(maps.Keys(s.ends)) {
		end := s.ends[pos]
		if end.submitted && now-end.submittedAt < endRetry {
			continue
		}
		if now-end.since > endKept && !final(end.attempt.Outcome) {
			delete(s.ends, pos)
			delete(s.reservations, pos)
			continue
		}
		end.submitted = true
		end.submittedAt = now
		due = append(due, end.attempt)
	}
	return due
}

// final tells whether a message must not be sent again after such an attempt.
func final(outcome queue.Outcome) bool { return outcome == queue.Done || outcome == queue.Never }

// submitRequest puts a request to the group, here or at its leader; it tells whether it was
// taken.
func (s *Shard) submitRequest(group Group, request paxos.Request) bool {
	if s.leading {
		return group.Submit(request) == nil
	}
	proposal := shardapi.Propose{Group: s.group, Reqs: []paxos.Request{request}}
	s.host.Send(s.leader, shardapi.KindPropose, proposal)
	return true
}
