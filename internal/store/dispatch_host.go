package store

import (
	"math/rand/v2"
	"time"

	"oxbowdeck/internal/dispatch"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
	"oxbowdeck/internal/replication"
	"oxbowdeck/internal/transport"
)

// newDispatchHost makes the part of a store that takes in messages and sends them
// to workers.
func (d *Daemon) newDispatchHost() *dispatch.Host {
	return dispatch.New(dispatch.Environment{
		Self:  d.self,
		Do:    d.actor.Do,
		Send:  func(to ids.Node, kind transport.Kind, message any) { d.hub.Send(to, kind, message) },
		Group: d.dispatchGroup,
		Full:  func() bool { return d.pressure.full },
		Now:   ids.MonotonicNow,
		Run:   dispatch.Go,
		Rand:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Bounds: dispatch.Bounds{
			BatchDelay:    ids.Millis(d.settings.Int("mark_ms", 5)),
			StartDeadline: ids.Millis(d.settings.Int("run_late_ms", 400)),
			DialTimeout:   time.Duration(d.settings.Int("worker_dial_ms", 400)) * time.Millisecond,
			EjectFor:      ids.Millis(d.settings.Int("eject_ms", 600)),
			ReportFor:     Report(d.settings),
		},
		Reserved: d.reserved,
	})
}

// dispatchGroup gives the replica of a group as dispatch sees it, or nil.
func (d *Daemon) dispatchGroup(group ids.Group) dispatch.Group {
	if replica := d.replicas.Replicas[group]; replica != nil {
		return dispatchGroup{manager: d.replicas, replica: replica, group: group}
	}
	return nil
}

// dispatchGroup is a group's replica as dispatch sees it.
type dispatchGroup struct {
	manager *replication.Manager
	replica *replication.Replica
	group   ids.Group
}

// Lead tells who leads the group, and whether that is this replica.
func (g dispatchGroup) Lead() (ids.Node, bool) {
	_, node := g.replica.Core.Leader()
	return node, g.replica.Core.Role() == paxos.Leader
}

// Time is the decided time, of a leader.
func (g dispatchGroup) Time(now ids.Millis) ids.Millis { return g.replica.Core.Time(now) }

// Fresh tells whether the replica has what is decided.
func (g dispatchGroup) Fresh(now ids.Millis) bool { return g.replica.Core.UpToDate(now) }

// Submit puts a request to the group's leader, if it is here.
func (g dispatchGroup) Submit(request paxos.Request) error {
	return g.manager.Submit(g.group, request, false)
}
