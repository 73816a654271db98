package choir

import (
	"bytes"
	"crypto/sha256"
	"hash"

	"oxbowdeck/internal/accord"
	"oxbowdeck/internal/unit"
	"oxbowdeck/internal/vault"
)

// A snapshot goes to a peer in parts, on the link for what is large: the next
// part leaves when one before it is answered and a pause has passed, so a
// transfer takes neither the link nor the processor from the requests.
const (
	partBytes  = 128 << 10
	partsAhead = 2
	partEvery  = unit.Millis(8)
	giftStalls = unit.Millis(1500) // without an answer for so long, it is begun anew when asked for
	imageFor   = unit.Millis(1500) // so long another peer is given the same image
)

type snapPart struct {
	_     struct{} `cbor:",toarray"`
	Group unit.Group
	Slot  unit.Slot
	Eras  []accord.Era
	Total int
	Off   int
	Data  []byte
	Got   bool // the answer: everything up to Off is here
	// Digest of the whole, with group, instance and memberships, in each part and
	// each answer: parts of two transfers, or of two lives of a peer, never mix.
	Digest []byte
}

type image struct {
	snap   vault.Snapshot
	digest []byte
	at     unit.Millis
}

// owed is the log that a peer will need next: kept for it, past the usual tail,
// by as much as the snapshot took. Without that a log that moves on by a tail
// while one is on its way asks for another snapshot, for ever.
type owed struct {
	after unit.Slot
	room  int
	heard unit.Millis
}

// gift is a snapshot on its way to a peer.
type gift struct {
	snap   vault.Snapshot
	digest []byte
	sent   int
	got    int
	heard  unit.Millis
	nextAt unit.Millis
}

// arrival is a snapshot on its way here.
type arrival struct {
	from   unit.Node
	slot   unit.Slot
	eras   []accord.Era
	at     unit.Millis
	data   []byte
	digest []byte
	sum    hash.Hash
}

func (p *Part) image() (vault.Snapshot, error) {
	b, err := p.Machine.Save()
	return vault.Snapshot{Slot: p.Core.Commit(), Eras: append([]accord.Era(nil), p.Core.Eras()...), State: b}, err
}

// sendSnap begins to give a peer the state, unless that is on its way. Peers
// that need one at the same time are given the same.
func (ch *Choir) sendSnap(p *Part, n unit.Node) {
	now := unit.Steady()
	if g := p.given[n]; g != nil && now-g.heard < giftStalls {
		return
	}
	if p.last.snap.State == nil || now-p.last.at > imageFor || p.last.snap.Slot < p.Core.Base() {
		s, err := p.image()
		if err != nil {
			unit.Log("snapshot-failed", "group", p.group, "err", err)
			return
		}
		p.last = image{s, s.Digest(p.group), now}
	}
	g := &gift{snap: p.last.snap, digest: p.last.digest, heard: now}
	p.given[n] = g
	p.owed[n] = &owed{after: g.snap.Slot, room: len(g.snap.State), heard: now}
	unit.Log("snapshot-sent", "group", p.group, "peer", n, "slot", g.snap.Slot, "bytes", len(g.snap.State))
}

// give sends the parts that are due, and tells when the next one is.
func (ch *Choir) give(now unit.Millis, p *Part) (wait unit.Millis) {
	wait = 1000
	if p.last.snap.State != nil && now-p.last.at > imageFor {
		p.last = image{}
	}
	if p.coming != nil && now-p.coming.at >= 2*giftStalls {
		p.coming = nil
	}
	for n, o := range p.owed {
		if now-o.heard >= 2*giftStalls {
			delete(p.owed, n)
		}
	}
	for n, g := range p.given {
		if now-g.heard >= giftStalls {
			delete(p.given, n)
			continue
		}
		for g.sent < len(g.snap.State) || g.sent == 0 {
			if g.sent-g.got >= partsAhead*partBytes {
				break
			}
			if now < g.nextAt {
				wait = min(wait, g.nextAt-now)
				break
			}
			end := min(g.sent+partBytes, len(g.snap.State))
			f := snapPart{Group: p.group, Slot: g.snap.Slot, Total: len(g.snap.State), Off: g.sent, Data: g.snap.State[g.sent:end], Digest: g.digest}
			if g.sent == 0 {
				f.Eras = g.snap.Eras
			}
			if !ch.Hub.Bulk(n).Send(ch.SnapKind, f) {
				delete(p.given, n)
				break
			}
			g.sent, g.nextAt = end, now+partEvery
			if end == 0 {
				break
			}
		}
	}
	return wait
}

// mostState bounds what a peer may announce as a snapshot's size.
const mostState = 1 << 30

// unfit tells why a snapshot cannot be this replica's next state: every
// membership decided here is in the past of one that is newer than the log.
func (p *Part) unfit(f snapPart) string {
	if f.Total < 0 || f.Total > mostState || len(f.Digest) != sha256.Size {
		return "no size or no digest"
	}
	mine := p.Core.Eras()
	if len(f.Eras) == 0 {
		return "no membership"
	}
	newest, known := f.Eras[len(f.Eras)-1], mine[len(mine)-1]
	if newest.From < known.From || newest.From == known.From && len(known.Seats) > 0 && !accord.Same(newest.Seats, known.Seats) {
		return "of another membership"
	}
	return ""
}

// part takes a part of a snapshot, or the answer to one.
func (ch *Choir) part(from unit.Node, f snapPart) {
	p := ch.Parts[f.Group]
	if p == nil {
		return
	}
	now := unit.Steady()
	if f.Got {
		if g := p.given[from]; g != nil && bytes.Equal(g.digest, f.Digest) {
			g.got, g.heard = f.Off, now
			if o := p.owed[from]; o != nil {
				o.heard = now
			}
			if f.Off >= len(g.snap.State) {
				delete(p.given, from)
			}
		}
		return
	}
	if f.Slot <= p.Core.Commit() {
		return
	}
	c := p.coming
	if f.Off == 0 && (c == nil || c.slot < f.Slot || c.from == from && c.slot == f.Slot || now-c.at >= giftStalls) {
		if p.saving || ch.clogged() {
			return // one at a time goes to the disk
		}
		if why := p.unfit(f); why != "" {
			unit.Log("snapshot-refused", "group", f.Group, "peer", from, "slot", f.Slot, "err", why)
			return
		}
		c = &arrival{from: from, slot: f.Slot, eras: f.Eras, digest: f.Digest, data: make([]byte, 0, f.Total), sum: vault.NewDigest(f.Group, f.Slot, f.Eras)}
		p.coming = c
	}
	if c == nil || c.from != from || !bytes.Equal(c.digest, f.Digest) || f.Off != len(c.data) || f.Off+len(f.Data) > cap(c.data) {
		return // of a transfer that was given up
	}
	c.at = now
	c.data = append(c.data, f.Data...)
	c.sum.Write(f.Data)
	ch.Hub.Send(from, ch.SnapKind, snapPart{Group: f.Group, Slot: f.Slot, Off: len(c.data), Got: true, Digest: f.Digest})
	if len(c.data) < f.Total {
		return
	}
	p.coming = nil
	if !bytes.Equal(c.sum.Sum(nil), c.digest) {
		unit.Log("snapshot-refused", "group", f.Group, "peer", from, "slot", f.Slot, "err", "its digest is another")
		return
	}
	s := vault.Snapshot{Slot: c.slot, Eras: c.eras, State: c.data}
	if err := p.Machine.Load(s.State); err != nil {
		unit.Log("snapshot-refused", "peer", from, "err", err)
		return
	}
	p.Core.Install(now, s.Slot, s.Eras, p.Machine.Clock())
	unit.Log("snapshot-taken", "group", f.Group, "peer", from, "slot", s.Slot)
	p.saving, p.logged = true, 0
	ch.Vault.SaveSnapshot(f.Group, s, func() {
		ch.Actor.Do(func() {
			p.saving = false
			p.Core.Firm()
		})
	})
	ch.flush(p)
}
