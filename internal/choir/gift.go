package choir

import (
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
}

type image struct {
	snap vault.Snapshot
	at   unit.Millis
}

// gift is a snapshot on its way to a peer.
type gift struct {
	snap   vault.Snapshot
	sent   int
	got    int
	heard  unit.Millis
	nextAt unit.Millis
}

// arrival is a snapshot on its way here.
type arrival struct {
	from unit.Node
	slot unit.Slot
	eras []accord.Era
	at   unit.Millis
	data []byte
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
		p.last = image{s, now}
	}
	g := &gift{snap: p.last.snap, heard: now}
	p.given[n] = g
	unit.Log("snapshot-sent", "group", p.group, "peer", n, "slot", g.snap.Slot, "bytes", len(g.snap.State))
}

// give sends the parts that are due, and tells when the next one is.
func (ch *Choir) give(now unit.Millis, p *Part) (wait unit.Millis) {
	wait = 1000
	if p.last.snap.State != nil && now-p.last.at > imageFor {
		p.last = image{}
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
			f := snapPart{Group: p.group, Slot: g.snap.Slot, Total: len(g.snap.State), Off: g.sent, Data: g.snap.State[g.sent:end]}
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

// part takes a part of a snapshot, or the answer to one.
func (ch *Choir) part(from unit.Node, f snapPart) {
	p := ch.Parts[f.Group]
	if p == nil {
		return
	}
	now := unit.Steady()
	if f.Got {
		if g := p.given[from]; g != nil && g.snap.Slot == f.Slot {
			g.got, g.heard = f.Off, now
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
	if f.Off == 0 && (c == nil || c.slot < f.Slot || c.from == from || now-c.at >= giftStalls) {
		c = &arrival{from: from, slot: f.Slot, eras: f.Eras, data: make([]byte, 0, f.Total)}
		p.coming = c
	}
	if c == nil || c.from != from || c.slot != f.Slot || f.Off != len(c.data) {
		return // of a transfer that was given up
	}
	c.at = now
	c.data = append(c.data, f.Data...)
	ch.Hub.Send(from, ch.SnapKind, snapPart{Group: f.Group, Slot: f.Slot, Off: len(c.data), Got: true})
	if len(c.data) < f.Total {
		return
	}
	p.coming = nil
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
