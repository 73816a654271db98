package edge

import (
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/invariant"
	"oxbowdeck/internal/paxos"
	"oxbowdeck/internal/topic"
)

// maxRefusedCalls bounds the refusals that are remembered.
const maxRefusedCalls = 1024

// refusedCalls is the publishes that were answered RETRY lately, which promises that they
// never run. Outcomes are compared with it, and nothing else rests on it.
type refusedCalls struct {
	ids   map[paxos.ID]bool
	order []paxos.ID
}

// add takes a refusal.
func (r *refusedCalls) add(id paxos.ID) {
	if r.ids == nil {
		r.ids = map[paxos.ID]bool{}
	}
	if r.ids[id] {
		return
	}
	if len(r.order) >= maxRefusedCalls {
		delete(r.ids, r.order[0])
		r.order = r.order[1:]
	}
	r.ids[id] = true
	r.order = append(r.order, id)
}

// sentAgain takes it that a client sends a number again in spite of the refusal: it may run.
func (r *refusedCalls) sentAgain(id paxos.ID) { delete(r.ids, id) }

// check compares the outcome of a call with what was promised.
func (r *refusedCalls) check(id paxos.ID, verdict topic.Verdict) {
	if r.ids[id] && verdict.Accepted() {
		invariant.Violated(invariant.RetryIsFinal, "client", id.Origin, "seq", id.Seq, "verdict", verdict)
	}
}

// rejectPublish turns a publish down and remembers what that promises.
func (d *Daemon) rejectPublish(c *conn, topic ids.Topic, seq ids.Seq, cause string) {
	if cause == causeRetry {
		d.refused.add(publishID(c, seq))
	}
	c.reject(verbPublish, topic, seq, cause)
}
