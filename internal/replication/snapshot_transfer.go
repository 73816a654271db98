package replication

import (
	"bytes"
	"log/slog"

	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
	"oxbowdeck/internal/storage"
)

// A snapshot goes to a peer in parts, on the link for what is large: the next
// part leaves when one before it is answered and a pause has passed, so a
// transfer takes neither the link nor the processor from the requests.
const (
	partBytes       = 128 << 10
	partsAhead      = 2
	partInterval    = ids.Millis(8)
	transferTimeout = ids.Millis(1500) // without an answer for so long, it is begun anew when asked for
	shareFor        = ids.Millis(1500) // so long another peer is given the same snapshot
)

// snapPart is a part of a snapshot, or the answer to one.
type snapPart struct {
	_           struct{} `cbor:",toarray"`
	Group       ids.Group
	Slot        ids.Slot
	Memberships []paxos.Membership
	Total       int
	Off         int
	Data        []byte
	Got         bool // the answer: everything up to Off is here
	// Digest of the whole, with group, instance and memberships, in each part and
	// each answer: parts of two transfers, or of two incarnations of a peer, never mix.
	Digest []byte
}

// sharedSnapshot is one that several peers may be given.
type sharedSnapshot struct {
	snap   storage.Snapshot
	digest []byte
	at     ids.Millis
}

// pendingLog is the log that a peer will need next: kept for it, past the usual tail,
// by as much as the snapshot took. Without that a log that moves on by a tail
// while one is on its way asks for another snapshot, for ever.
type pendingLog struct {
	after ids.Slot
	room  int
	heard ids.Millis
}

// transfer is a snapshot on its way to a peer.
type transfer struct {
	snap   storage.Snapshot
	digest []byte
	sent   int // bytes
	got    int // bytes that the peer answered
	heard  ids.Millis
	nextAt ids.Millis
}

// startTransfer begins to give a peer the state, unless that is on its way. Peers
// that need one at the same time are given the same.
func (m *Manager) startTransfer(r *Replica, n ids.Node) {
	now := ids.MonotonicNow()
	if t := r.transfers[n]; t != nil && now-t.heard < transferTimeout {
		return
	}
	if !r.latestIsFresh(now) {
		s, err := r.takeSnapshot()
		if err != nil {
			slog.Warn("snapshot-failed", "group", r.group, "err", err)
			return
		}
		r.latest = sharedSnapshot{s, s.Digest(r.group), now}
	}
	snap := r.latest.snap
	r.transfers[n] = &transfer{snap: snap, digest: r.latest.digest, heard: now}
	r.pending[n] = &pendingLog{after: snap.Slot, room: len(snap.State), heard: now}
	slog.Info("snapshot-sent", "group", r.group, "peer", n, "slot", snap.Slot, "bytes", len(snap.State))
}

// latestIsFresh tells whether the newest snapshot may be given to one more peer.
func (r *Replica) latestIsFresh(now ids.Millis) bool {
	return r.latest.snap.State != nil && now-r.latest.at <= shareFor && r.latest.snap.Slot >= r.Core.Base()
}

// continueTransfers sends the parts that are due, and tells when the next one is.
func (m *Manager) continueTransfers(now ids.Millis, r *Replica) (wait ids.Millis) {
	r.forgetStale(now)
	wait = maxWait
	for n, t := range r.transfers {
		if now-t.heard >= transferTimeout {
			delete(r.transfers, n)
			continue
		}
		wait = min(wait, m.sendParts(now, r, n, t))
	}
	return wait
}

// forgetStale lets go of what nobody has asked for, or answered, for long.
func (r *Replica) forgetStale(now ids.Millis) {
	if r.latest.snap.State != nil && now-r.latest.at > shareFor {
		r.latest = sharedSnapshot{}
	}
	if r.incoming != nil && now-r.incoming.at >= 2*transferTimeout {
		r.incoming = nil
	}
	for n, p := range r.pending {
		if now-p.heard >= 2*transferTimeout {
			delete(r.pending, n)
		}
	}
}

// sendParts sends the parts of a transfer that are due, and tells when the next one is.
// A state of no bytes is one part.
func (m *Manager) sendParts(now ids.Millis, r *Replica, n ids.Node, t *transfer) (wait ids.Millis) {
	for t.sent < len(t.snap.State) || t.sent == 0 {
		if t.sent-t.got >= partsAhead*partBytes {
			return maxWait
		}
		if now < t.nextAt {
			return t.nextAt - now
		}
		end := min(t.sent+partBytes, len(t.snap.State))
		if !m.Hub.BulkLink(n).Send(m.SnapKind, t.part(r.group, end)) {
			delete(r.transfers, n)
			return maxWait
		}
		t.sent = end
		t.nextAt = now + partInterval
		if end == 0 {
			return maxWait
		}
	}
	return maxWait
}

// part gives the part from what was sent to an end. The first one names the memberships.
func (t *transfer) part(g ids.Group, end int) snapPart {
	p := snapPart{
		Group:  g,
		Slot:   t.snap.Slot,
		Total:  len(t.snap.State),
		Off:    t.sent,
		Data:   t.snap.State[t.sent:end],
		Digest: t.digest,
	}
	if t.sent == 0 {
		p.Memberships = t.snap.Memberships
	}
	return p
}

// takeAnswer takes a peer's answer to a part.
func (r *Replica) takeAnswer(now ids.Millis, from ids.Node, answer snapPart) {
	t := r.transfers[from]
	if t == nil || !bytes.Equal(t.digest, answer.Digest) {
		return
	}
	t.got = answer.Off
	t.heard = now
	if p := r.pending[from]; p != nil {
		p.heard = now
	}
	if answer.Off >= len(t.snap.State) {
		delete(r.transfers, from)
	}
}
