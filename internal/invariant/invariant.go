// Package invariant checks in running processes what the system promises. A check that does
// not hold is a fault of the program: it is counted, logged once in a while with what was
// compared, and told to whoever registered for it, so that what the process remembers can
// be written out. The process goes on. In tests it panics, so that the test fails.
//
// A check compares what the process has anyway, and stands where a promise would be
// broken. It never mends anything, and no behaviour depends on it.
package invariant

import (
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// logInterval is how often a violation of one invariant is logged at most.
const logInterval = 10 * time.Second

// counter counts the violations of one invariant.
type counter struct {
	violations atomic.Uint64
	loggedAt   atomic.Int64 // unix nanoseconds
}

var counters = newCounters()

func newCounters() map[Name]*counter {
	all := map[Name]*counter{}
	for _, name := range names {
		all[name] = &counter{}
	}
	return all
}

// Violation is one check that did not hold.
type Violation struct {
	Name   Name
	Fields []any // what was compared: key, value, key, value ...
}

// String gives the violation as one line.
func (v Violation) String() string {
	text := "invariant violated: " + string(v.Name)
	for i := 0; i+1 < len(v.Fields); i += 2 {
		text += fmt.Sprintf(" %v=%v", v.Fields[i], v.Fields[i+1])
	}
	return text
}

var (
	observerMu sync.Mutex
	observer   func(Violation)
)

// Observe has a function told of each violation that is logged; nil ends that. It must not
// wait for the goroutine that runs the check.
func Observe(observe func(Violation)) {
	observerMu.Lock()
	defer observerMu.Unlock()
	observer = observe
}

// Check takes it that an invariant holds or not; fields are what was compared. On a hot
// path compare first and call Violated, which costs nothing while the invariant holds.
func Check(name Name, holds bool, fields ...any) {
	if !holds {
		Violated(name, fields...)
	}
}

// Violated takes it that an invariant does not hold.
func Violated(name Name, fields ...any) {
	c := counters[name]
	c.violations.Add(1)
	violation := Violation{Name: name, Fields: fields}
	if testing.Testing() {
		panic(violation)
	}
	now := time.Now().UnixNano()
	last := c.loggedAt.Load()
	if now-last < int64(logInterval) || !c.loggedAt.CompareAndSwap(last, now) {
		return
	}
	slog.Error("invariant-violated", append([]any{"name", string(name)}, fields...)...)
	observerMu.Lock()
	observe := observer
	observerMu.Unlock()
	if observe != nil {
		observe(violation)
	}
}

// Count gives how often an invariant did not hold since the process began.
func Count(name Name) uint64 { return counters[name].violations.Load() }
