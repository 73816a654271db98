package storage

import (
	"crypto/sha256"
	"fmt"
	"hash"
	"slices"

	"oxbowdeck/internal/codec"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
)

// snapPartBytes go into one row, so that a large state does not hold the disk,
// or the memory, up at once.
const snapPartBytes = 128 << 10

// Snapshot is a group's state at an instance.
type Snapshot struct {
	_           struct{} `cbor:",toarray"`
	Slot        ids.Slot
	Memberships []paxos.Membership
	State       []byte
}

// Digest binds a snapshot's bytes to its group, instance and memberships.
func (s *Snapshot) Digest(g ids.Group) []byte {
	h := NewDigest(g, s.Slot, s.Memberships)
	h.Write(s.State)
	return h.Sum(nil)
}

// NewDigest begins a snapshot's digest; the bytes of its state are to follow.
func NewDigest(g ids.Group, at ids.Slot, memberships []paxos.Membership) hash.Hash {
	h := sha256.New()
	fmt.Fprintln(h, g, at, len(memberships))
	for _, e := range memberships {
		fmt.Fprintln(h, e.From, len(e.Members))
		for _, m := range e.Members {
			fmt.Fprintf(h, "%d %q\n", m.ID, m.Node)
		}
	}
	return h
}

// snapshotQueue holds the snapshots that are to be written, one after the other.
type snapshotQueue struct {
	jobs []job
	row  uint32 // next of the first one
}

func (q *snapshotQueue) add(j job) { q.jobs = append(q.jobs, j) }

// drop lets go of a group's snapshots. The first one left begins anew.
func (q *snapshotQueue) drop(g ids.Group) {
	before := len(q.jobs)
	q.jobs = slices.DeleteFunc(q.jobs, func(j job) bool { return j.group == g })
	if len(q.jobs) < before {
		q.row = 0
	}
}

// writeSnapshotRow writes the next row of the first snapshot that is queued.
func (d *DB) writeSnapshotRow(q *snapshotQueue) {
	var done bool
	atOnce := d.retry(func() (err error) {
		done, err = d.writeSnapshotStep(&q.jobs[0], q.row)
		return err
	})
	if !atOnce {
		q.row = 0 // rows that were not synced may be gone
		return
	}
	q.row++
	if done {
		q.jobs[0].then()
		q.jobs = q.jobs[1:]
		q.row = 0
	}
}

// writeSnapshotStep writes one row of a snapshot; after the last one its head, synced,
// and drops what the head makes needless. A step that failed is done again under
// the same generation: after the head, the one before it names other rows.
func (d *DB) writeSnapshotStep(j *job, n uint32) (done bool, err error) {
	if n == 0 {
		old, err := d.readSnapHead(j.group)
		if err != nil {
			return false, err
		}
		j.generation = old.Gen + 1
	}
	state := j.snapshot.State
	rows := uint32((len(state) + snapPartBytes - 1) / snapPartBytes)
	if n < rows {
		from := int(n) * snapPartBytes
		part := state[from:min(from+snapPartBytes, len(state))]
		// each synced: the head's sync covers its own journal, and the tables may
		// have begun a new one since
		return false, d.tables.Put(snapPartKey(j.group, j.generation, n), part, synced())
	}
	return d.finishSnapshot(j, rows)
}

// finishSnapshot writes a snapshot's head, and drops the rows of the one before it and
// the entries that it covers.
func (d *DB) finishSnapshot(j *job, rows uint32) (done bool, err error) {
	head, err := codec.Marshal(snapHead{
		Slot:        j.snapshot.Slot,
		Memberships: j.snapshot.Memberships,
		Gen:         j.generation,
		Rows:        rows,
		Bytes:       uint64(len(j.snapshot.State)),
		Digest:      j.snapshot.Digest(j.group),
	})
	if err != nil {
		return false, err
	}
	if err := d.tables.Put(key(j.group, snapHeadKind, 0), head, synced()); err != nil {
		return false, err
	}
	if err := d.deleteRange(snapPartKey(j.group, 0, 0), snapPartKey(j.group, j.generation, 0), nil); err != nil {
		return false, err
	}
	return true, d.deleteRange(key(j.group, entryKind, 0), key(j.group, entryKind, j.snapshot.Slot+1), nil)
}

// readSnapHead reads the head of a group's snapshot; an empty one when there is none.
func (d *DB) readSnapHead(g ids.Group) (h snapHead, err error) {
	k := key(g, snapHeadKind, 0)
	if _, err = d.read(k, &h); damaged(err) {
		var old oldSnapHead
		if _, err = d.read(k, &old); err == nil {
			h = snapHead{Slot: old.Slot, Memberships: old.Memberships, Gen: old.Gen, Rows: old.Rows, Bytes: old.Bytes}
		}
	}
	return h, err
}
