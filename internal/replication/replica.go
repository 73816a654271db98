package replication

import (
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/invariant"
	"oxbowdeck/internal/paxos"
	"oxbowdeck/internal/storage"
)

// Machine is a replicated state.
type Machine interface {
	Apply(d paxos.Decided)
	Save() ([]byte, error)
	Load([]byte) error
	Clock() ids.Millis // the decided time it stands at
	Size() int         // about how many bytes Save gives
}

// Replica is one group's replica.
type Replica struct {
	Core    *paxos.Core
	Machine Machine

	group     ids.Group
	leader    ids.Ballot               // of the leader that was last told of
	applied   ids.Slot                 // the newest instance applied, or the snapshot's
	synced    *syncedEntries           // what of the log is surely on the disk
	logged    int                      // bytes applied since the last snapshot
	saving    bool                     // a snapshot is on its way to the disk
	tail      []appliedEntry           // what the engine holds of the decided log
	tailBytes int                      // of all of it
	transfers map[ids.Node]*transfer   // snapshots on their way to peers
	pending   map[ids.Node]*pendingLog // the log that has to follow them
	latest    sharedSnapshot           // the newest one, for whoever else needs one now
	incoming  *incomingSnapshot        // one on its way here
}

// Group is the group that it is a replica of.
func (r *Replica) Group() ids.Group { return r.group }

// appliedEntry is an instance of the log in memory.
type appliedEntry struct {
	slot  ids.Slot
	bytes int
}

// entryOverhead is about what an instance takes in memory beside its value.
const entryOverhead = 64

// apply runs a decided instance, and lets go of the oldest ones past a bound.
func (r *Replica) apply(d paxos.Decided, maxTail int) {
	if d.Slot != r.applied+1 {
		invariant.Violated(invariant.AppliedInOrder, "group", r.group, "slot", d.Slot, "applied", r.applied)
	}
	r.applied = d.Slot
	size := len(d.Raw) + entryOverhead
	r.Machine.Apply(d)
	r.logged += size
	r.keep(d.Slot, size, maxTail)
}

// keep lets go of the oldest of the decided log in memory, past a bound. The
// disk keeps it until a snapshot covers it; a replica that lags further gets a
// snapshot, and what it needs after that is kept a while longer.
func (r *Replica) keep(s ids.Slot, size, maxTail int) {
	r.tail = append(r.tail, appliedEntry{s, size})
	r.tailBytes += size
	dropped := 0
	for r.tailBytes > maxTail+r.pendingRoom(r.tail[dropped].slot) && dropped < len(r.tail)-1 {
		r.tailBytes -= r.tail[dropped].bytes
		dropped++
	}
	if dropped > 0 {
		r.Core.Trim(r.tail[dropped-1].slot)
		r.synced.trim(r.tail[dropped-1].slot)
		r.tail = append([]appliedEntry(nil), r.tail[dropped:]...)
	}
}

// pendingRoom is how many bytes more are kept for the sake of an instance that a peer
// needs after its snapshot.
func (r *Replica) pendingRoom(s ids.Slot) (room int) {
	for _, p := range r.pending {
		if s > p.after {
			room = max(room, p.room)
		}
	}
	return room
}

// takeSnapshot gives the state as it is now.
func (r *Replica) takeSnapshot() (storage.Snapshot, error) {
	state, err := r.Machine.Save()
	memberships := append([]paxos.Membership(nil), r.Core.Memberships()...)
	return storage.Snapshot{Slot: r.Core.Commit(), Memberships: memberships, State: state}, err
}
