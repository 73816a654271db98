package soak

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

// answerTimes is how long questions of one kind waited for their answers, by the status of the
// answer.
type answerTimes struct {
	mu       sync.Mutex
	byStatus map[int][]time.Duration
}

// add notes one answer.
func (t *answerTimes) add(status int, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byStatus == nil {
		t.byStatus = map[int][]time.Duration{}
	}
	t.byStatus[status] = append(t.byStatus[status], took)
}

// tell notes the times in a run's log.
func (t *answerTimes) tell(h *History, what string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, status := range slices.Sorted(maps.Keys(t.byStatus)) {
		took := t.byStatus[status]
		h.noteTimes(fmt.Sprintf("%d %s answered %d", len(took), what, status), took)
	}
}
