package simulation

import (
	"container/heap"
	"fmt"
	"math/rand"

	"oxbowdeck/internal/ids"
)

// loop runs what is due, in the order of a simulated clock; what is due at once
// runs in the order it was asked for. The first rule broken ends it.
type loop struct {
	seed  int64
	rng   *rand.Rand
	now   ids.Millis
	queue events
	seq   int
	steps int
	err   error
	log   func(string)
}

func newLoop(seed int64, log func(string)) loop {
	return loop{seed: seed, rng: rand.New(rand.NewSource(seed)), log: log}
}

type event struct {
	at  ids.Millis
	seq int
	run func()
}
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	o := *e
	x := o[len(o)-1]
	*e = o[:len(o)-1]
	return x
}

func (w *loop) fail(format string, a ...any) {
	if w.err == nil {
		w.err = fmt.Errorf("seed %d, step %d, at %d ms: %s", w.seed, w.steps, w.now, fmt.Sprintf(format, a...))
	}
}

func (w *loop) logf(format string, a ...any) {
	if w.log != nil {
		w.log(fmt.Sprintf("step=%d at=%d ", w.steps, w.now) + fmt.Sprintf(format, a...))
	}
}

func (w *loop) after(d ids.Millis, f func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now + max(d, 0), w.seq, f})
}

// between draws a time.
func (w *loop) between(from, to ids.Millis) ids.Millis {
	return from + ids.Millis(w.rng.Int63n(int64(to-from+1)))
}

// until runs what is due before a time.
func (w *loop) until(end ids.Millis) {
	for len(w.queue) > 0 && w.err == nil && w.now < end {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		w.steps++
		e.run()
	}
}
