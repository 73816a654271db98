// Package replication runs replicas of groups for a process: it feeds the engine
// with messages, time and disk completions, and carries out its effects. All
// of it happens on one goroutine, the actor that owns the tables; others hand
// it commands.
//
// The actor is in actor.go, a process's replicas in manager.go, one replica and the log
// it keeps in memory in replica.go. Snapshots that go to a peer are in
// snapshot_transfer.go, those that come from one in snapshot_receive.go.
package replication

import (
	"time"

	"oxbowdeck/internal/errs"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
	"oxbowdeck/internal/storage"
	"oxbowdeck/internal/transport"
)

const (
	// maxWait is the longest time between two calls of Tick, in milliseconds.
	maxWait = ids.Millis(1000)
	// maxBehind bounds the bytes of records that wait for a disk that refuses: far more
	// than the windows of a store's groups hold while it writes.
	maxBehind = 16 << 20
)

// Manager is all replicas of a process.
type Manager struct {
	Actor    *Actor
	Hub      *transport.Hub
	Disk     *storage.DB
	Kind     transport.Kind // frames of the engine
	SnapKind transport.Kind
	TailAt   int                                         // log bytes kept in memory, for replicas that lag a little
	SnapAt   int                                         // log bytes between snapshots
	OnLead   func(g ids.Group, b ids.Ballot, n ids.Node) // the acting leader changed
	Replicas map[ids.Group]*Replica
	Failed   func(error)
	// OnApplied is told of an instance that was proposed and applied here; nil: nobody is.
	OnApplied func(r *Replica, d paxos.Decided)
}

// Open starts a group's replica from the disk. genesis is the membership the
// group was founded with, used when the disk knows of no later one.
func (m *Manager) Open(conf paxos.Config, genesis []paxos.Member, machine Machine) (*Replica, error) {
	state, snap, err := m.Disk.Load(conf.Group)
	if err != nil {
		return nil, err
	}
	if snap != nil && len(snap.State) > 0 {
		if err := machine.Load(snap.State); err != nil {
			return nil, errs.Errorf("load snapshot", "disk", "%w: %v", storage.ErrDamaged, err)
		}
	}
	if len(state.Memberships) == 0 {
		state.Memberships = []paxos.Membership{{From: 0, Members: genesis}}
	}
	state.Clock = machine.Clock()
	r := &Replica{
		Core:      paxos.New(conf, state, ids.MonotonicNow()),
		Machine:   machine,
		group:     conf.Group,
		transfers: map[ids.Node]*transfer{},
		pending:   map[ids.Node]*pendingLog{},
		applied:   state.Base,
		synced:    newSyncedEntries(state.Base, state.Entries),
	}
	m.Replicas[conf.Group] = r
	m.flush(r)
	return r, nil
}

// Close ends a group's replica and drops what the disk holds of it.
func (m *Manager) Close(g ids.Group) {
	delete(m.Replicas, g)
	m.Disk.DropGroup(g)
}

// Tick does what is due; it returns how long nothing will be.
func (m *Manager) Tick() time.Duration {
	now := ids.MonotonicNow()
	wait := maxWait
	for _, r := range m.Replicas {
		if r.Core.NextWake() <= now {
			r.Core.Tick(now)
		}
		m.flush(r)
		wait = min(wait, m.continueTransfers(now, r), r.Core.NextWake()-now)
	}
	return max(wait, 1).Duration()
}

// flush carries out what the engine of a replica asks for.
func (m *Manager) flush(r *Replica) {
	for {
		effects := r.Core.Drain()
		if len(effects.Saves)+len(effects.Sends)+len(effects.Decided)+len(effects.SnapshotPeers) == 0 {
			break
		}
		if len(effects.Saves) > 0 {
			m.save(r, effects.Saves, effects.Token)
		}
		for _, s := range effects.Sends {
			m.send(r, s)
		}
		for _, d := range effects.Decided {
			r.apply(d, m.TailAt)
			if m.OnApplied != nil && d.Timing.Proposed > 0 {
				m.OnApplied(r, d)
			}
		}
		for _, n := range effects.SnapshotPeers {
			m.startTransfer(r, n)
		}
	}
	if ballot, node := r.Core.Leader(); ballot != r.leader && node != "" {
		r.leader = ballot
		if m.OnLead != nil {
			m.OnLead(r.group, ballot, node)
		}
	}
	if r.logged > max(m.SnapAt, 2*r.Machine.Size()) && !m.saving() {
		m.saveSnapshot(r)
	}
}

// saving tells whether a snapshot is being written. Groups that began together, and
// are as busy as one another, need theirs at the same time; one after the other takes
// the memory of one state, and the disk for shorter.
func (m *Manager) saving() bool {
	for _, r := range m.Replicas {
		if r.saving {
			return true
		}
	}
	return false
}

// save queues records for the disk. The actor is never blocked on the disk's queue: its
// completions come back here.
func (m *Manager) save(r *Replica, records []paxos.Record, token uint64) {
	m.Disk.Save(r.group, records, func() {
		m.Actor.Do(func() {
			r.synced.confirm(records)
			r.Core.Synced(ids.MonotonicNow(), token)
		})
	})
}

// send sends a message of the engine on the link that it is for.
func (m *Manager) send(r *Replica, s paxos.Envelope) {
	r.checkAccepted(s.Msg)
	if s.Msg.Kind == paxos.Fetch && m.overloaded() {
		return // what it asks for could not be kept
	}
	var link *transport.Link
	switch {
	case s.SecondPath:
		link = m.Hub.RetransmitLink(s.To)
	case s.Msg.Kind == paxos.Feed:
		link = m.Hub.BulkLink(s.To)
		if p := r.pending[s.To]; p != nil {
			p.after = max(p.after, s.Msg.Entries[0].Slot-1)
			p.heard = ids.MonotonicNow()
		}
	default:
		link = m.Hub.To(s.To)
	}
	link.Send(m.Kind, s.Msg)
}

// saveSnapshot queues a snapshot of a replica for the disk.
func (m *Manager) saveSnapshot(r *Replica) {
	s, err := r.takeSnapshot()
	if err != nil {
		m.Failed(errs.Wrap("snapshot", "", err))
		return
	}
	r.saving = true
	r.logged = 0
	m.Disk.SaveSnapshot(r.group, s, func() { m.Actor.Do(func() { r.saving = false }) })
}

// FreeDiskSpace makes room on the disk: a snapshot of each group lets its log go. One
// that takes far more than it gives back is not made: others may fill the disk,
// and this is called until there is room.
func (m *Manager) FreeDiskSpace() {
	for _, r := range m.Replicas {
		if !r.saving && r.logged > r.Machine.Size()/4 {
			m.saveSnapshot(r)
		}
	}
	m.Disk.Compact()
}

// overloaded tells that no more records can be taken until the disk writes.
func (m *Manager) overloaded() bool { return m.Disk.Behind() > maxBehind }

// Frame takes a frame from a peer if it is the engine's; run on the actor.
func (m *Manager) Frame(from ids.Node, k transport.Kind, b []byte) bool {
	switch k {
	case m.Kind:
		msg, ok := transport.Get[paxos.Msg](b)
		if (msg.Kind == paxos.Accept || msg.Kind == paxos.Feed) && m.overloaded() {
			return true // as if lost on the way: it is sent or asked for again
		}
		if r := m.Replicas[msg.Group]; ok && r != nil {
			r.Core.Receive(ids.MonotonicNow(), from, msg)
			m.flush(r)
		}
	case m.SnapKind:
		if part, ok := transport.Get[snapPart](b); ok {
			m.takePart(from, part)
		}
	default:
		return false
	}
	return true
}

// Down tells every replica that the connection to a peer broke.
func (m *Manager) Down(n ids.Node) {
	for _, r := range m.Replicas {
		r.Core.Disconnected(ids.MonotonicNow(), n)
	}
}

// Submit puts a request to a group's leader, if it is here.
func (m *Manager) Submit(g ids.Group, request paxos.Request, urgent bool) error {
	r := m.Replicas[g]
	if r == nil {
		return paxos.ErrNotLeader
	}
	if m.overloaded() {
		return paxos.ErrFull
	}
	err := r.Core.Submit(ids.MonotonicNow(), request, urgent)
	m.flush(r)
	return err
}

// Leave drains: every leadership is handed over.
func (m *Manager) Leave() {
	for _, r := range m.Replicas {
		r.Core.StopLeading(ids.MonotonicNow())
		m.flush(r)
	}
}

// RecordCommits puts on record what is decided, before an orderly end.
func (m *Manager) RecordCommits() {
	for _, r := range m.Replicas {
		r.Core.RecordCommit()
		m.flush(r)
	}
}

// Leads tells whether any group is led here.
func (m *Manager) Leads() bool {
	for _, r := range m.Replicas {
		if r.Core.Role() == paxos.Leader {
			return true
		}
	}
	return false
}
