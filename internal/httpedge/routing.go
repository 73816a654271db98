package httpedge

import (
	"encoding/binary"
	"hash/fnv"

	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
)

// routeTable remembers which group the messages of this edge went to: an id that comes
// again, because its answer was lost, goes nowhere else, and is promised nothing. It
// holds what was given out in the last routedFor, or the last maxRouted.
type routeTable struct {
	recent, older map[paxos.ID]ids.Group
	since         ids.Millis // when recent was begun
}

// Bounds of a routeTable's half.
const (
	routedFor = ids.Millis(120000)
	maxRouted = 20000
)

// note remembers which group a message went to.
func (x *routeTable) note(now ids.Millis, id paxos.ID, g ids.Group) {
	if x.recent == nil || now-x.since > routedFor || len(x.recent) >= maxRouted {
		x.older, x.recent, x.since = x.recent, map[paxos.ID]ids.Group{}, now
	}
	x.recent[id] = g
}

// group gives the group that a message went to.
func (x *routeTable) group(id paxos.ID) (g ids.Group, ok bool) {
	if g, ok = x.recent[id]; !ok {
		g, ok = x.older[id]
	}
	return g, ok
}

// chooseGroup gives a message to a group whose leader is in this zone, so that it
// crosses between zones no more than it must; else to any that has one. Its id
// chooses among them, so that the same message, handed in again at another edge of
// the zone, goes to the same group and is run once. Groups that have no room, or
// whose leader is late, are passed by while there are others.
func (d *Daemon) chooseGroup(c *call) bool {
	var near, far, late []ids.Group
	now := ids.MonotonicNow()
	for g, x := range d.leaders {
		switch {
		case x.node == "" || int(g) >= d.core.Shards():
		case x.overdue(now, d.bounds.leaderLate) || now < x.fullUntil:
			late = append(late, g)
		case d.zones[x.node] == d.core.Self.Zone:
			near = append(near, g)
		default:
			far = append(far, g)
		}
	}
	for _, list := range [][]ids.Group{far, late} {
		if len(near) == 0 {
			near = list
		}
	}
	if len(near) == 0 {
		return false
	}
	best := uint64(0)
	for _, g := range near {
		h := fnv.New64a()
		h.Write(append(binary.BigEndian.AppendUint32(nil, uint32(g)), c.request.ID.Origin...))
		if x := h.Sum64(); x >= best {
			best, c.group = x, g
		}
	}
	return true
}
