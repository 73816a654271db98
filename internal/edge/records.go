package edge

import (
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/requestlog"
)

// lateAnswer is how late an accepted publish must be answered to be kept among the records.
const lateAnswer = ids.Millis(100)

const outcomeAccepted = "ACK"

// record keeps what became of a publish; one that was accepted in time is counted alone.
func (d *Daemon) record(now ids.Millis, x *call, outcome, reason string) {
	if x.seq == 0 {
		return // a subscription's change: nobody waits for it
	}
	lead := d.leaders[x.group]
	r := requestlog.Record{
		Stage:   requestlog.StageEdge,
		Node:    d.core.Self.Addr,
		Topic:   x.topic,
		Group:   x.group,
		Epoch:   lead.Epoch.Round(),
		Release: x.release,
		Number:  uint32(x.copies()),
		Peer:    string(lead.Node),
		Outcome: outcome,
		Reason:  reason,
	}
	if x.firstSentAt > 0 {
		r.Steps.Set(requestlog.StepForward, x.firstSentAt-x.since)
		r.Steps.Set(requestlog.StepOutcome, now-x.firstSentAt)
	}
	if outcome == outcomeAccepted && now-x.since < lateAnswer {
		requestlog.Count(r)
		return
	}
	r.ID = requestlog.PublishID(x.request.ID.Origin, x.request.ID.Seq)
	if x.conn == nil {
		r.Reason = "the client's connection had ended; " + reason
	}
	requestlog.Add(r)
}

// recordUntaken keeps that a publish was turned down before it was on its way.
func (d *Daemon) recordUntaken(c *conn, w request, outcome, reason string) {
	requestlog.Add(requestlog.Record{
		Stage:   requestlog.StageUntaken,
		ID:      requestlog.PublishID(string(c.client), uint64(w.seq)),
		Node:    d.core.Self.Addr,
		Topic:   w.topic,
		Group:   d.groupOf(w.topic),
		Release: d.core.Updates.View().Config.Release,
		Outcome: outcome,
		Reason:  reason,
	})
}
