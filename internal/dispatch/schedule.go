package dispatch

import (
	"cmp"
	"container/heap"
	"maps"
	"math"
	"slices"

	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/queue"
)

const (
	// readyInterval is how soon messages that wait for room are looked at again.
	readyInterval = ids.Millis(10)
	// runningMargin is added to the end of an attempt that may still run.
	runningMargin = ids.Millis(5)
	// answerMargin is how long after a worker's time is over its answer may still be
	// on its way.
	answerMargin = ids.Millis(60)
)

// readyQueue is the messages of one service that may be sent as soon as there is
// room.
type readyQueue struct {
	order  []ids.Position
	queued map[ids.Position]bool
	stall  stall
}

// add takes in a message that is not there yet.
func (q *readyQueue) add(pos ids.Position) {
	if !q.queued[pos] {
		q.queued[pos] = true
		q.order = append(q.order, pos)
	}
}

// dropFirst takes out the first messages.
func (q *readyQueue) dropFirst(count int) {
	q.order = q.order[count:]
	if len(q.order) == 0 {
		q.order = nil
	}
}

// clear takes out all messages.
func (q *readyQueue) clear() {
	q.order = nil
	q.queued = map[ids.Position]bool{}
}

// timer is when a message is to be looked at.
type timer struct {
	at  ids.Millis
	pos ids.Position
}

// timers is a heap of them, the earliest first.
type timers []timer

// Len is how many timers there are.
func (t timers) Len() int { return len(t) }

// Less tells whether one timer is due before another.
func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }

// Swap exchanges two timers.
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push appends a timer.
func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }

// Pop takes the last timer off.
func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}

// scheduleAt has a message looked at later.
func (s *Shard) scheduleAt(at ids.Millis, pos ids.Position) { heap.Push(&s.timers, timer{at, pos}) }

// resetSchedule forgets which messages are due, and when.
func (s *Shard) resetSchedule() {
	s.timers = nil
	s.ready = map[string]*readyQueue{}
}

// runDue looks at the messages whose time has come; at all of them, if anything
// changed that concerns all.
func (s *Shard) runDue(now ids.Millis) {
	if s.rescan {
		s.scheduleAll(now)
	}
	for len(s.timers) > 0 && s.timers[0].at <= now {
		due := heap.Pop(&s.timers).(timer)
		s.schedule(now, s.state.Row(due.pos))
	}
}

// scheduleAll looks at everything that has not ended, in the order of the log.
func (s *Shard) scheduleAll(now ids.Millis) {
	s.rescan = false
	s.resetSchedule()
	var rows []*queue.Row
	s.state.Each(func(row *queue.Row) { rows = append(rows, row) })
	slices.SortFunc(rows, func(a, b *queue.Row) int { return cmp.Compare(a.Pos, b.Pos) })
	for _, row := range rows {
		s.schedule(now, row)
	}
}

// sendable tells whether a message waits for an attempt, and no other of its
// sequence stands before it.
func (s *Shard) sendable(row *queue.Row) bool {
	if row == nil || row.Outcome != queue.Open {
		return false
	}
	return s.reservations[row.Pos] == nil && s.ends[row.Pos] == nil && s.state.First(row)
}

// schedule decides what is to be done for a message now: nothing, later, or that it
// waits for room at its service.
func (s *Shard) schedule(now ids.Millis, row *queue.Row) {
	if !s.leading || !s.sendable(row) {
		return
	}
	if row.Msg.Release > s.host.config.Release {
		return // when its configuration comes, all messages are looked at anew
	}
	route := s.host.config.Route(row.Msg.Host, row.Msg.Path)
	if at, later := s.notBefore(now, row, route); later {
		s.scheduleAt(at, row.Pos)
		return
	}
	if route == nil || route.Class != controlapi.Deferred {
		s.reportEnd(now, queue.Attempt{Pos: row.Pos, Number: row.Attempts, Outcome: queue.Dropped})
		return
	}
	ready := s.ready[route.Service]
	if ready == nil {
		ready = &readyQueue{queued: map[ids.Position]bool{}}
		s.ready[route.Service] = ready
	}
	ready.add(row.Pos)
}

// notBefore tells whether a message has to wait, and until when.
func (s *Shard) notBefore(now ids.Millis, row *queue.Row, route *controlapi.Space) (at ids.Millis, later bool) {
	clock := s.host.Group(s.group).Time(now)
	backoff := s.backoffs[row.Pos]
	switch {
	case row.Running && clock < row.RunningUntil && !s.repeatable(route): // sent by an earlier leader
		return now + row.RunningUntil - clock + runningMargin, true
	case clock < row.NotBefore:
		return now + row.NotBefore - clock, true
	case backoff != nil && now < backoff.until:
		return backoff.until, true
	}
	return 0, false
}

// repeatable tells whether a message may be sent again while it may still run: its
// service knows the ids of what it did, and of what it is doing.
func (s *Shard) repeatable(route *controlapi.Space) bool {
	if route == nil {
		return false
	}
	service := s.host.services[route.Service]
	return service != nil && service.Dedup
}

// reserveReady reserves slots for what waits, service by service.
func (s *Shard) reserveReady(now ids.Millis) {
	for _, name := range slices.Sorted(maps.Keys(s.ready)) {
		ready := s.ready[name]
		service := s.host.services[name]
		if service == nil {
			ready.clear()
			s.rescan = true
			continue
		}
		s.reserveFor(now, service, ready)
	}
}

// reserveFor reserves slots for the messages of one service, until the service has no room.
// What holds one message alone must not end the turn: all behind it would wait.
func (s *Shard) reserveFor(now ids.Millis, service *service, ready *readyQueue) {
	done := 0
	for _, pos := range ready.order {
		row := s.state.Row(pos)
		if !s.sendable(row) {
			delete(ready.queued, pos)
			done++
			continue
		}
		route := s.host.config.Route(row.Msg.Host, row.Msg.Path)
		if route == nil || route.Service != service.Label || route.Class != controlapi.Deferred {
			delete(ready.queued, pos)
			s.scheduleAt(now, pos)
			done++
			continue
		}
		w := s.host.pick(service, now, s.workerToAvoid(pos))
		if w == nil || !s.host.allow(service, now, len(ready.order)-done) {
			break
		}
		delete(ready.queued, pos)
		s.reserve(now, row, route, w, service.Dedup)
		done++
	}
	ready.dropFirst(done)
	if ready.stall.note(now, done == 0 && len(ready.order) > 0) {
		s.reportStall(now, service, ready)
	}
}

// workerToAvoid is the worker that failed a message last.
func (s *Shard) workerToAvoid(pos ids.Position) string {
	if backoff := s.backoffs[pos]; backoff != nil {
		return backoff.avoid
	}
	return ""
}

// reserve takes a worker's slot for a message and has the beginning of its attempt
// submitted.
func (s *Shard) reserve(now ids.Millis, row *queue.Row, route *controlapi.Space, w *worker, repeatable bool) {
	timeout := ids.Millis(route.GuardMs)
	w.inFlight++
	s.reservations[row.Pos] = &reservation{
		worker:       w,
		name:         row.Msg.Name(),
		waited:       s.waited(now, row),
		at:           now,
		previous:     row.Attempts,
		timeout:      timeout,
		failureLimit: uint16(max(1, route.Attempts)),
	}
	s.beginnings = append(s.beginnings, queue.Attempt{
		Pos:        row.Pos,
		Number:     row.Attempts,
		RunsFor:    timeout + answerMargin,
		Repeatable: repeatable,
	})
}

// nextScheduled is when a message is next to be looked at.
func (s *Shard) nextScheduled(now ids.Millis) ids.Millis {
	next := ids.Millis(math.MaxInt64)
	if len(s.timers) > 0 {
		next = s.timers[0].at
	}
	for _, ready := range s.ready {
		if len(ready.order) > 0 {
			next = min(next, now+readyInterval)
		}
	}
	return next
}
