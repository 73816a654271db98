package soak

import (
	"slices"
	"sync"
	"time"
)

// answerMargin is how long before its time-out an answer has to be complete.
const answerMargin = 50 * time.Millisecond

// queueRun is one run at a worker.
type queueRun struct {
	message *queueMessage
	worker  string
	began   time.Time

	mu      sync.Mutex
	success bool      // it ends with success, and the answer that says so is whole
	written time.Time // the answer; zero: not yet
	read    bool      // by the receiver
}

// succeeds notes that a whole answer of success is about to be written.
func (r *queueRun) succeeds() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.success = true
}

// wasWritten notes when the answer was written.
func (r *queueRun) wasWritten(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.written.IsZero() {
		r.written = at
	}
}

// wasFollowed takes what came over the connection: bytes, or its end, in order or not.
func (r *queueRun) wasFollowed(bytes, inOrder bool, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.written.IsZero() {
		return
	}
	r.read = r.read || bytes || inOrder && at.Sub(r.written) >= readTime
}

// bindsFrom tells whether the message must not run again, and from when on: its success was
// answered in time and read.
func (r *queueRun) bindsFrom() (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	inTime := r.written.Sub(r.began) <= queueGuard-answerMargin
	return r.written, r.success && r.read && !r.written.IsZero() && inTime
}

// checkTwice judges messages that ran again after a success that was read: nobody may have been
// in trouble from contactTime before the first of the two runs to the second.
func (h *QueueHistory) checkTwice() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, m := range h.messages {
		slices.SortFunc(m.runs, func(a, b *queueRun) int { return a.began.Compare(b.began) })
		for i, run := range m.runs[:max(0, len(m.runs)-1)] {
			next := m.runs[i+1]
			from, binds := run.bindsFrom()
			if !binds || !next.began.After(from) {
				continue
			}
			if !h.calendar.calm(contactTime, run.began, next.began) {
				h.count("runs after a success, excused by a trouble")
				continue
			}
			h.violate("TWICE", "message %s ran at %s, answered with success %v later, and again %v after its beginning at %s",
				m.id, run.worker, from.Sub(run.began).Round(time.Millisecond),
				next.began.Sub(run.began).Round(time.Millisecond), next.worker)
		}
	}
}
