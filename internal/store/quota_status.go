package store

import (
	"log/slog"

	"oxbowdeck/internal/admission"
	"oxbowdeck/internal/ids"
)

// quotaStatusInterval is how often the log is told at most what was counted.
const quotaStatusInterval = ids.Millis(60_000)

// quotaStatus tells the log what the admission of this store did: a store has no address
// at which its metrics could be read. Nil tells nothing.
type quotaStatus struct {
	admission *admission.Admission
	counts    admission.Counts // since the process began
	logged    admission.Counts // the same, as the log was told last
	next      ids.Millis
}

// quotaStatusOf gives the status of a store's admission; nil where nothing is limited, or
// metrics are off.
func quotaStatusOf(d *Daemon) *quotaStatus {
	if d.admission == nil || !d.settings.Metrics() {
		return nil
	}
	return newQuotaStatus(ids.MonotonicNow(), d.admission)
}

// newQuotaStatus has what an admission does counted from now on.
func newQuotaStatus(now ids.Millis, a *admission.Admission) *quotaStatus {
	s := &quotaStatus{admission: a, next: now + quotaStatusInterval}
	a.CountInto(&s.counts)
	return s
}

// step tells the log what was counted, if that is due and there is anything new.
func (s *quotaStatus) step(now ids.Millis) {
	if s == nil || now < s.next {
		return
	}
	s.next = now + quotaStatusInterval
	if s.counts == s.logged {
		return
	}
	s.logged = s.counts
	slog.Info("quota-status", "counters", s.admission.Counters(), "granted", s.counts.Granted,
		"reservations", s.counts.Reservations, "takeovers", s.counts.Takeovers, "refused", s.counts.Refused)
}
