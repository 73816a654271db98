package dispatch

import (
	"log/slog"

	"oxbowdeck/internal/ids"
)

const (
	// stallReportAfter is how long a service's messages stand still before that is logged.
	stallReportAfter = ids.Millis(2000)
	// stallReportInterval is how often it is logged at most.
	stallReportInterval = ids.Millis(10000)
)

// stall is since when the first message of a service waits to be sent.
type stall struct {
	since      ids.Millis // 0: it does not
	reportedAt ids.Millis
}

// note takes it that a turn sent a message, or that messages wait and none was sent; it
// tells whether that is to be reported.
func (s *stall) note(now ids.Millis, waiting bool) bool {
	switch {
	case !waiting:
		s.since = 0
	case s.since == 0:
		s.since = now
	case now-s.since >= stallReportAfter && (s.reportedAt == 0 || now-s.reportedAt >= stallReportInterval):
		s.reportedAt = now
		return true
	}
	return false
}

// workerCounts is how many workers of a service can take a message now, and why others can't.
type workerCounts struct {
	free     int
	draining int
	ejected  int
	busy     int // it turned an attempt away a moment ago
	full     int // no connection is left, or one on probation has its attempt
}

// countWorkers counts the workers of a service.
func (h *Host) countWorkers(s *service, now ids.Millis) workerCounts {
	var counts workerCounts
	limit := h.connectionLimit(s)
	for _, list := range [][]*worker{s.near, s.far} {
		for _, w := range list {
			switch {
			case w.Draining || w.Gone:
				counts.draining++
			case now < w.ejectedUntil:
				counts.ejected++
			case now < w.busyUntil:
				counts.busy++
			case !w.free(now, limit):
				counts.full++
			default:
				counts.free++
			}
		}
	}
	return counts
}

// reportStall logs that the messages of a service wait, and how its workers are.
func (s *Shard) reportStall(now ids.Millis, service *service, ready *readyQueue) {
	first := ready.order[0]
	counts := s.host.countWorkers(service, now)
	slog.Warn("messages-wait", "group", s.group, "service", service.Label, "waiting", len(ready.order),
		"for_ms", now-ready.stall.since, "first", first, "not_at", s.workerToAvoid(first),
		"rate_per_s", service.PerS, "free", counts.free, "draining", counts.draining,
		"ejected", counts.ejected, "busy", counts.busy, "full", counts.full)
}
