package control

import (
	"slices"

	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
)

// pendingHeartbeat is a worker's report that it lives, and nothing else. The worker is
// answered once the leader has it: an answer from anyone else would keep it from
// turning to a process that can tell the leader.
type pendingHeartbeat struct {
	number   uint64
	worker   controlapi.Worker
	sent     ids.Millis
	deadline ids.Millis
	done     func(bool)
}

// workerHeard is when a worker was last heard, and the instance of its last change then.
type workerHeard struct {
	at   ids.Millis
	slot ids.Slot
}

// Heartbeats are forwarded to the leader together, and again after a while.
const (
	heartbeatForwardEvery = ids.Millis(20)
	heartbeatRetryAfter   = ids.Millis(200)
	maxPendingHeartbeats  = 4096 // more are turned away
)

// Heartbeat takes a worker's call: when it tells nothing new, the leader is told that
// it lives, else the group agrees on it. done gets whether it lasts.
func (c *Control) Heartbeat(now ids.Millis, w controlapi.Worker, wait ids.Millis, done func(bool)) {
	c.now = now
	_, old := c.state.worker(w.ID)
	if old == nil || w.Seq > old.Seq && !old.Left && !sameWorker(*old, w) {
		c.register(w, wait, done)
		return
	}
	if len(c.heartbeats) >= maxPendingHeartbeats {
		done(false)
		return
	}
	c.heartbeatNumber++
	h := &pendingHeartbeat{
		number:   c.heartbeatNumber,
		worker:   w,
		sent:     now + heartbeatForwardEvery - heartbeatRetryAfter,
		deadline: now + wait,
		done:     done,
	}
	c.heartbeats = append(c.heartbeats, h)
	if c.core.Role() == paxos.Leader {
		h.sent = now - heartbeatRetryAfter
		c.forwardHeartbeats()
	}
}

func (c *Control) register(w controlapi.Worker, wait ids.Millis, done func(bool)) {
	c.Ask(Command{Verb: Register, Worker: &w}, wait, func(_ Result, ok bool) { done(ok) })
}

// Left takes a worker's report that it ends.
func (c *Control) Left(now ids.Millis, id string, wait ids.Millis, done func(bool)) {
	c.now = now
	gone := &controlapi.Worker{ID: id, Left: true}
	c.Ask(Command{Verb: Unregister, Worker: gone}, wait, func(_ Result, ok bool) { done(ok) })
}

// forwardHeartbeats tells the leader of those that wait, and gives those up whose time
// is over. It returns when it is next needed; 0: none waits.
func (c *Control) forwardHeartbeats() (next ids.Millis) {
	c.dropLateHeartbeats()
	if len(c.heartbeats) == 0 {
		return 0
	}
	var batch controlapi.WorkerHeartbeats
	for _, h := range c.heartbeats {
		if min(h.sent+heartbeatRetryAfter, h.deadline) <= c.now {
			h.sent = c.now
			batch.Nos = append(batch.Nos, h.number)
			batch.IDs = append(batch.IDs, h.worker.ID)
		}
	}
	_, leader := c.core.Leader()
	switch {
	case len(batch.Nos) == 0:
	case leader == c.conf.Self.Addr:
		if heard, ok := c.recordHeartbeats(batch); ok {
			c.heartbeatsHeard(heard)
		}
	case leader != "":
		c.out.Send(leader, controlapi.KindWorkerHeartbeats, batch)
	}
	return c.now + heartbeatForwardEvery
}

func (c *Control) dropLateHeartbeats() {
	var late []*pendingHeartbeat
	c.heartbeats = slices.DeleteFunc(c.heartbeats, func(h *pendingHeartbeat) bool {
		if h.deadline <= c.now {
			late = append(late, h)
		}
		return h.deadline <= c.now
	})
	for _, h := range late {
		h.done(false)
	}
}

// forwardedHeartbeats takes what another control process heard.
func (c *Control) forwardedHeartbeats(conn controlapi.Conn, batch controlapi.WorkerHeartbeats) {
	if heard, ok := c.recordHeartbeats(batch); ok && len(batch.Nos) == len(batch.IDs) {
		conn.Send(controlapi.KindWorkerHeartbeatsHeard, heard)
	}
}

// recordHeartbeats notes when workers were heard; false of whoever is not sure to lead.
func (c *Control) recordHeartbeats(
	batch controlapi.WorkerHeartbeats,
) (heard controlapi.WorkerHeartbeatsHeard, ok bool) {
	if _, ok = c.term(); !ok {
		return heard, false
	}
	c.checkLease("worker heartbeat")
	for i, id := range batch.IDs {
		_, w := c.state.worker(id)
		if w == nil || w.Gone && !w.Left {
			heard.Unknown = append(heard.Unknown, batch.Nos[i])
			continue
		}
		c.heard[id] = workerHeard{c.now, w.At}
		heard.Nos = append(heard.Nos, batch.Nos[i])
	}
	return heard, true
}

// heartbeatsHeard takes the leader's answer: who called is answered; one that the
// leader takes for gone, which this replica may not know yet, registers anew.
func (c *Control) heartbeatsHeard(heard controlapi.WorkerHeartbeatsHeard) {
	for _, number := range append(slices.Clone(heard.Nos), heard.Unknown...) {
		i := slices.IndexFunc(c.heartbeats, func(h *pendingHeartbeat) bool { return h.number == number })
		if i < 0 {
			continue
		}
		h := c.heartbeats[i]
		c.heartbeats = slices.Delete(c.heartbeats, i, i+1)
		if slices.Contains(heard.Unknown, number) {
			c.register(h.worker, h.deadline-c.now, h.done)
		} else {
			h.done(true)
		}
	}
}

// expireWorkers ends the workers that nobody has heard for some heartbeats: a leader's
// task, while it is sure to lead.
func (c *Control) expireWorkers() {
	term, ok := c.term()
	if !ok {
		c.leadsSince = c.now
		return
	}
	silence := c.conf.Heartbeat * ids.Millis(c.conf.WorkerHeartbeats)
	living := map[string]bool{}
	for i := range c.state.Workers {
		w := &c.state.Workers[i]
		if w.Gone {
			continue
		}
		living[w.ID] = true
		heard := c.heard[w.ID]
		if heard.slot != w.At { // what it said was agreed on
			heard = workerHeard{c.now, w.At}
			c.heard[w.ID] = heard
		}
		if c.now-max(heard.at, c.leadsSince) > silence {
			c.expireWorker(w, term)
		}
	}
	for id, heard := range c.heard {
		if !living[id] && c.now-heard.at > silence {
			delete(c.heard, id)
		}
	}
}

func (c *Control) expireWorker(w *controlapi.Worker, term ids.Ballot) {
	c.out.Log("worker-silent", "worker", w.ID, "service", w.Service)
	c.heard[w.ID] = workerHeard{c.now, w.At} // told again if it does not come about
	gone := &controlapi.Worker{ID: w.ID, Seq: w.Seq}
	c.Ask(Command{Verb: Unregister, Worker: gone, Term: term}, workerGoneWait, ignoreResult)
}
