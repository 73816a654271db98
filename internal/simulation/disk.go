package simulation

import (
	"bytes"

	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
)

// disk is what survives: synced writes, and, after power loss, any of the rest.
type disk struct {
	head    paxos.Record
	entries map[ids.Slot]paxos.Entry
	snap    *snap
	pending []write
	busy    bool

	id           uint64     // of a control machine
	controlNodes []ids.Node // control processes it knew
}

type write struct {
	recs  []paxos.Record
	snap  *snap
	token uint64
	came  bool // the snapshot came from another node

	num          ids.ReplicaID
	controlNodes []ids.Node
}

type snap struct {
	slot        ids.Slot
	memberships []paxos.Membership
	state       []byte
	control     []byte
	clock       ids.Millis
}

func (d *disk) apply(w write) {
	for _, r := range w.recs {
		d.head = paxos.Record{Promised: r.Promised, Commit: r.Commit}
		if r.Entry != nil {
			d.entries[r.Entry.Slot] = *r.Entry
		}
	}
	if w.snap != nil && (d.snap == nil || w.snap.slot > d.snap.slot) { // the disk writes them one after the other
		d.snap = w.snap
		for s := range d.entries {
			if s <= w.snap.slot {
				delete(d.entries, s)
			}
		}
	}
}

// has tells whether a disk holds a decided value.
func (d *disk) has(s ids.Slot, val []byte) bool {
	e, ok := d.entries[s]
	return d.snap != nil && d.snap.slot >= s || ok && bytes.Equal(e.Val, val)
}

// synced tells a replica of writes that its disk has taken.
func synced(c *paxos.Core, now ids.Millis, done []write) {
	for _, x := range done {
		switch {
		case x.snap != nil:
			c.Trim(x.snap.slot)
			if x.came {
				c.SnapshotRecorded()
			}
		case len(x.recs) > 0:
			c.Synced(now, x.token)
		}
	}
}

// store queues a write; the disk syncs one after the other.
func (w *World) store(n *node, x write) {
	n.disk.pending = append(n.disk.pending, x)
	if !n.disk.busy {
		w.sync(n)
	}
}

func (w *World) sync(n *node) {
	incarnation, d := n.incarnation, n.disk
	count := len(d.pending)
	d.busy = true
	w.after(1+ids.Millis(w.rng.Int63n(int64(w.plan.Sync)))+n.slow, func() {
		if n.incarnation != incarnation || n.disk != d {
			return
		}
		// as on the real disk, a snapshot takes many turns, and records pass it
		var done, rest []write
		for i, x := range d.pending {
			if i < count && (x.snap == nil || w.rng.Intn(8) == 0) {
				done = append(done, x)
			} else {
				rest = append(rest, x)
			}
		}
		d.pending = rest
		for _, x := range done {
			d.apply(x)
		}
		synced(n.core, w.clock(n), done)
		d.busy = false
		if len(d.pending) > 0 {
			w.sync(n)
		}
		w.flush(n)
	})
}

// diskOf gives a member's disk, while it is that member's.
func (w *World) diskOf(m paxos.Member) *disk {
	if x := w.find(m.Node); x.member.ID == m.ID {
		return x.disk
	}
	return nil
}
