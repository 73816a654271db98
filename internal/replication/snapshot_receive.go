package replication

import (
	"bytes"
	"crypto/sha256"
	"hash"
	"log/slog"

	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
	"oxbowdeck/internal/storage"
)

// maxStateBytes bounds what a peer may announce as a snapshot's size.
const maxStateBytes = 1 << 30

// incomingSnapshot is a snapshot on its way here.
type incomingSnapshot struct {
	from        ids.Node
	slot        ids.Slot
	memberships []paxos.Membership
	at          ids.Millis // when the last part of it came
	data        []byte
	digest      []byte
	sum         hash.Hash
}

// follows tells whether a part is the next one of the snapshot.
func (s *incomingSnapshot) follows(from ids.Node, part snapPart) bool {
	return s != nil && s.from == from && bytes.Equal(s.digest, part.Digest) &&
		part.Off == len(s.data) && part.Off+len(part.Data) <= cap(s.data)
}

// unfit tells why a snapshot cannot be this replica's next state: every
// membership decided here is in the past of one that is newer than the log.
func (r *Replica) unfit(part snapPart) string {
	if part.Total < 0 || part.Total > maxStateBytes || len(part.Digest) != sha256.Size {
		return "no size or no digest"
	}
	if len(part.Memberships) == 0 {
		return "no membership"
	}
	mine := r.Core.Memberships()
	newest, known := part.Memberships[len(part.Memberships)-1], mine[len(mine)-1]
	same := len(known.Members) == 0 || paxos.SameMembers(newest.Members, known.Members)
	if newest.From < known.From || newest.From == known.From && !same {
		return "of another membership"
	}
	return ""
}

// takePart takes a part of a snapshot, or the answer to one.
func (m *Manager) takePart(from ids.Node, part snapPart) {
	r := m.Replicas[part.Group]
	if r == nil {
		return
	}
	now := ids.MonotonicNow()
	if part.Got {
		r.takeAnswer(now, from, part)
		return
	}
	if part.Slot <= r.Core.Commit() {
		return
	}
	if r.begins(now, from, part) && !m.beginIncoming(r, from, part) {
		return
	}
	s := r.incoming
	if !s.follows(from, part) {
		return // of a transfer that was given up
	}
	s.at = now
	s.data = append(s.data, part.Data...)
	s.sum.Write(part.Data)
	answer := snapPart{Group: part.Group, Slot: part.Slot, Off: len(s.data), Got: true, Digest: part.Digest}
	m.Hub.Send(from, m.SnapKind, answer)
	if len(s.data) < part.Total {
		return
	}
	r.incoming = nil
	m.install(now, r, s)
}

// begins tells whether a part is the first one of a snapshot that is to be taken: newer
// than the one on its way, the same begun anew, or that one has stalled.
func (r *Replica) begins(now ids.Millis, from ids.Node, part snapPart) bool {
	s := r.incoming
	if part.Off != 0 {
		return false
	}
	return s == nil || s.slot < part.Slot || s.from == from && s.slot == part.Slot || now-s.at >= transferTimeout
}

// beginIncoming begins to take a snapshot; false when it cannot be taken.
func (m *Manager) beginIncoming(r *Replica, from ids.Node, part snapPart) bool {
	if r.saving || m.overloaded() {
		return false // one at a time goes to the disk
	}
	if why := r.unfit(part); why != "" {
		slog.Warn("snapshot-refused", "group", part.Group, "peer", from, "slot", part.Slot, "err", why)
		return false
	}
	r.incoming = &incomingSnapshot{
		from:        from,
		slot:        part.Slot,
		memberships: part.Memberships,
		digest:      part.Digest,
		data:        make([]byte, 0, part.Total),
		sum:         storage.NewDigest(part.Group, part.Slot, part.Memberships),
	}
	return true
}

// install makes a snapshot that came whole this replica's state.
func (m *Manager) install(now ids.Millis, r *Replica, s *incomingSnapshot) {
	if !bytes.Equal(s.sum.Sum(nil), s.digest) {
		slog.Warn("snapshot-refused", "group", r.group, "peer", s.from, "slot", s.slot, "err", "its digest is another")
		return
	}
	if err := r.Machine.Load(s.data); err != nil {
		slog.Warn("snapshot-refused", "peer", s.from, "err", err)
		return
	}
	r.Core.Install(now, s.slot, s.memberships, r.Machine.Clock())
	r.applied = s.slot
	r.synced.trim(s.slot)
	slog.Info("snapshot-taken", "group", r.group, "peer", s.from, "slot", s.slot)
	r.saving = true
	r.logged = 0
	snap := storage.Snapshot{Slot: s.slot, Memberships: s.memberships, State: s.data}
	m.Disk.SaveSnapshot(r.group, snap, func() {
		m.Actor.Do(func() {
			r.saving = false
			r.Core.SnapshotRecorded()
		})
	})
	m.flush(r)
}
