package soak

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"
)

// maxFindings bounds the violations that are told one by one.
const maxFindings = 200

// Violation is a promise that was broken, as somebody outside saw it.
type Violation struct {
	At   time.Duration // since the start of traffic
	Rule string
	What string
}

func (v Violation) String() string {
	return fmt.Sprintf("%8.3fs %-10s %s", v.At.Seconds(), v.Rule, v.What)
}

// History is what all who use a deployment saw together.
type History struct {
	began    time.Time
	log      io.Writer
	calendar calendar

	mu         sync.Mutex
	violations []Violation
	counts     map[string]int
}

// newHistory begins now.
func newHistory(log io.Writer) *History {
	return &History{began: time.Now(), log: log, counts: map[string]int{}}
}

func (h *History) now() time.Duration { return time.Since(h.began) }

// violate notes a promise that was broken.
func (h *History) violate(rule, format string, values ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	v := Violation{At: h.now(), Rule: rule, What: fmt.Sprintf(format, values...)}
	h.counts["violations"]++
	if len(h.violations) < maxFindings {
		h.violations = append(h.violations, v)
		fmt.Fprintf(h.log, "%s VIOLATION %s\n", time.Now().UTC().Format(logTime), v)
	}
}

// logTime is the form of a line's time; the processes' logs have the same.
const logTime = "2006-01-02T15:04:05.000Z"

// note writes a line to the run's log.
func (h *History) note(format string, values ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	line := fmt.Sprintf(format, values...)
	fmt.Fprintf(h.log, "%s %8.3fs %s\n", time.Now().UTC().Format(logTime), h.now().Seconds(), line)
}

// noteTimes tells how long something took; troubles are among the reasons.
func (h *History) noteTimes(what string, took []time.Duration) {
	slices.Sort(took)
	if n := len(took); n > 0 {
		h.note("%s within: half %v, 90%% %v, 99%% %v", what, took[n/2], took[n*9/10], took[n*99/100])
	}
}

// count counts something that the report tells.
func (h *History) count(what string) { h.countMany(what, 1) }

func (h *History) countMany(what string, n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counts[what] += n
}

// Counts gives what was counted.
func (h *History) Counts() map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return maps.Clone(h.counts)
}

// Violations gives what was found, in order.
func (h *History) Violations() []Violation {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.violations)
}
