package httpedge

import (
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/requestlog"
)

// lateAnswer is how late an accepted message must be answered to be kept among the records.
const lateAnswer = ids.Millis(100)

// verdictNames are the answers as records name them.
var verdictNames = map[verdict]string{
	verdictUnknown:   "504",
	verdictDecided:   "202",
	verdictNever:     "503",
	verdictOverQuota: "429",
}

// record keeps what became of a message that was handed in; one that was accepted in time is
// counted alone.
func (d *Daemon) record(now ids.Millis, c *call, a outcome) {
	r := requestlog.Record{
		Stage:   requestlog.StageEdge,
		ID:      c.request.ID.Origin,
		Node:    d.core.Self.Addr,
		Group:   c.group,
		Release: d.core.Updates.View().Config.Release,
		Number:  uint32(c.forwards),
		Peer:    string(c.sentTo),
		Outcome: verdictNames[a.verdict],
		Reason:  a.reason,
	}
	if c.firstSentAt > 0 {
		r.Steps.Set(requestlog.StepForward, c.firstSentAt-c.since)
		r.Steps.Set(requestlog.StepOutcome, now-c.firstSentAt)
	}
	if a.verdict == verdictDecided && now-c.since < lateAnswer {
		requestlog.Count(r)
		return
	}
	requestlog.Add(r)
}
