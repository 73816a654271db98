package store

import (
	"strings"

	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
	"oxbowdeck/internal/proposals"
	"oxbowdeck/internal/replication"
	"oxbowdeck/internal/requestlog"
)

// recordID names a request as its client did; false for a command of the system's own.
func (d *Daemon) recordID(id paxos.ID) (string, bool) {
	if d.queue != nil {
		return id.Origin, id.Seq == 0 // others are numbered
	}
	if strings.ContainsAny(id.Origin, "#/") { // subscriptions of an edge; reservations
		return "", false
	}
	return requestlog.PublishID(id.Origin, id.Seq), true
}

// recordDecided keeps what is known of the requests of an instance that was decided under the
// lead of this store.
func (d *Daemon) recordDecided(r *replication.Replica, decided paxos.Decided) {
	now, t := ids.MonotonicNow(), decided.Timing
	ballot, _ := r.Core.Leader()
	record := requestlog.Record{
		Stage:    requestlog.StageDecided,
		Node:     d.self.Addr,
		Group:    r.Group(),
		Epoch:    ballot.Round(),
		Release:  d.release(),
		Position: ids.MakePosition(decided.Slot, 0),
		Outcome:  "decided",
	}
	record.Steps.Set(requestlog.StepBatch, t.Closed-t.Opened)
	record.Steps.Set(requestlog.StepWindow, t.Proposed-t.Closed)
	ready := t.Proposed
	if t.Synced > 0 {
		record.Steps.Set(requestlog.StepSync, t.Synced-t.Proposed)
		ready = t.Synced
	}
	if t.Agreed > 0 {
		record.Steps.Set(requestlog.StepAccept, t.Agreed-ready)
		ready = max(ready, t.Agreed)
	}
	record.Steps.Set(requestlog.StepDecide, now-ready)
	for _, request := range decided.Value.Reqs {
		id, ok := d.recordID(request.ID)
		if !ok {
			continue
		}
		record.ID = id
		requestlog.Add(record)
	}
}

// recordRefused keeps which requests of an edge were not taken.
func (d *Daemon) recordRefused(edge ids.Node, group ids.Group, answer proposals.Answer) {
	answer.EachRefused(func(id paxos.ID, reason string) {
		name, ok := d.recordID(id)
		if !ok {
			return
		}
		record := requestlog.Record{
			Stage:   requestlog.StageRefused,
			ID:      name,
			Node:    d.self.Addr,
			Group:   group,
			Release: d.release(),
			Peer:    string(edge),
			Outcome: "refused",
			Reason:  reason,
		}
		if r := d.replicas.Replicas[group]; r != nil {
			ballot, _ := r.Core.Leader()
			record.Epoch = ballot.Round()
		}
		requestlog.Add(record)
	})
}

// release is the release of the configuration as far as this store knows.
func (d *Daemon) release() int64 {
	if d.control.Update == nil {
		return 0
	}
	return d.control.Update.Release
}
