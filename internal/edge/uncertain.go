package edge

import (
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
)

// uncertainFor is longer than any client repeats a number it got no answer to.
const uncertainFor = ids.Millis(30000)

// maxUncertain bounds the numbers remembered as in doubt; past it all are.
const maxUncertain = 50000

// markUncertain remembers that a call was forwarded and given up: the same number, sent
// again, must not be promised never to run.
func (d *Daemon) markUncertain(now ids.Millis, x *call) {
	if x.forwards > 0 && x.seq > 0 && len(d.uncertain) < maxUncertain {
		d.uncertain[x.request.ID] = now
	}
}

// neverForwarded tells whether no earlier try of a number that came at a time was forwarded,
// from here or, over an earlier connection of the client, from another edge: numbers
// may be repeated for a while.
func (d *Daemon) neverForwarded(at ids.Millis, c *conn, id paxos.ID) bool {
	_, forwarded := d.uncertain[id]
	return !forwarded && len(d.uncertain) < maxUncertain && c != nil && at-c.since >= d.bounds.resendWindow
}
