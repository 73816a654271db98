package requestlog

import (
	"sync"
	"time"
)

// ringLength bounds the records that a process keeps of each stage, so that a flood of one kind
// leaves the others. Memory is taken as they come.
const ringLength = 1024

// ring keeps the newest records.
type ring struct {
	mu      sync.Mutex
	records []Record
	next    int // where the next one goes, once the ring is full
}

// kept is the process's records by stage, as slog's default logger is its log.
var kept = newRings()

func newRings() map[Stage]*ring {
	rings := map[Stage]*ring{}
	for _, stage := range stages {
		rings[stage] = &ring{}
	}
	return rings
}

// observers are told of each record.
var (
	observerMu sync.RWMutex
	observer   func(*Record)
)

// Observe has a function told of each record that is added; nil ends that. It must not wait.
func Observe(observe func(*Record)) {
	observerMu.Lock()
	defer observerMu.Unlock()
	observer = observe
}

// Add keeps a record, and lets the oldest go past the bound.
func Add(r Record) {
	r.At = time.Now().UnixMilli()
	kept[r.Stage].add(r)
	tell(&r)
}

// Count has a record counted that is not kept: of a request in which nobody will be interested.
func Count(r Record) { tell(&r) }

func tell(r *Record) {
	observerMu.RLock()
	observe := observer
	observerMu.RUnlock()
	if observe != nil {
		observe(r)
	}
}

func (k *ring) add(r Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.records) < ringLength {
		k.records = append(k.records, r)
		return
	}
	k.records[k.next] = r
	k.next = (k.next + 1) % ringLength
}

// Records gives the records that are kept, of each stage the oldest first.
func Records() (all []Record) {
	for _, stage := range stages {
		all = append(all, kept[stage].list()...)
	}
	return all
}

func (k *ring) list() []Record {
	k.mu.Lock()
	defer k.mu.Unlock()
	list := make([]Record, 0, len(k.records))
	list = append(list, k.records[k.next:]...)
	return append(list, k.records[:k.next]...)
}
