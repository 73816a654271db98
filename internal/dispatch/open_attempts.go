package dispatch

import (
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/queue"
)

// openAttempts is which process began each attempt that the decided order knows no end of.
// Every replica keeps it, so whoever leads knows what the leaders before may still have to
// report. After a snapshot, which does not tell who began an attempt, it is nobody: any
// process may have.
type openAttempts map[ids.Position]ids.Node

// began takes the decision that an attempt begins.
func (o openAttempts) began(event queue.Event) {
	if event.OK {
		o[event.Attempt.Pos] = event.By
	}
}

// ended takes the decision of an end. One that took no effect is of an earlier attempt than the
// one under way, and says nothing of that.
func (o openAttempts) ended(event queue.Event) {
	if event.Row == nil || !event.Row.Running || event.OK {
		delete(o, event.Attempt.Pos)
	}
}

// reset takes up the attempts of a state that came as a whole.
func (o openAttempts) reset(state *queue.State) {
	clear(o)
	state.Each(func(row *queue.Row) {
		if row.Running {
			o[row.Pos] = ""
		}
	})
}

// Awaits tells, at a group's leader, whether an attempt that a process began may still be
// under way, or its end not be decided. An attempt whose time is over is not waited for:
// its message may be sent again whatever becomes of it.
func (h *Host) Awaits(id ids.Group, node ids.Node, now ids.Millis) bool {
	group := h.Group(id)
	shard := h.shards[id]
	if group == nil || shard == nil {
		return true // nothing is known of the group here
	}
	clock := group.Time(now)
	for pos, by := range shard.open {
		row := shard.state.Row(pos)
		running := row != nil && row.Running && clock < row.RunningUntil
		if running && (by == node || by == "") {
			return true
		}
	}
	return false
}
