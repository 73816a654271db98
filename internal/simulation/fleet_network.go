package simulation

import (
	"oxbowdeck/internal/codec"
	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
	"oxbowdeck/internal/transport"
)

// line is the way back to who sent a frame.
type line struct {
	from   *proc
	to     ids.Node
	update func(controlapi.Update) // a process of the data plane hears here
}

func (l *line) Send(k transport.Kind, v any) bool {
	b, err := codec.Marshal(v)
	return err == nil && l.SendRaw(k, b)
}

func (l *line) SendRaw(k transport.Kind, b []byte) bool {
	if l.update == nil {
		l.from.f.frame(l.from, l.to, k, b)
	} else if n, ok := transport.Get[controlapi.Update](b); ok && k == controlapi.KindUpdate {
		l.from.f.after(l.from.f.delay(l.from.m), func() { l.update(n) })
	}
	return true
}

// frame carries a frame of the control plane; those of a pair keep their order,
// and what a cut or an end holds up is lost.
func (f *Fleet) frame(p *proc, to ids.Node, k transport.Kind, b []byte) {
	f.count(p, to, len(b))
	m := f.at(to)
	if m == nil || m.proc == nil {
		return
	}
	pair := [2]ids.Node{p.m.addr, to}
	at := max(f.last[pair], f.now+f.delay(p.m))
	f.last[pair] = at
	peer := m.proc
	f.after(at-f.now, func() {
		if f.cuts[pair] || p.m.proc != p {
			return
		}
		peer.do(func(now ids.Millis) {
			l := peer.lines[p.m.addr]
			if l == nil {
				l = &line{from: peer, to: p.m.addr}
				peer.lines[p.m.addr] = l
			}
			peer.ctl.Frame(now, l, k, b)
		})
	})
}

// count tells who counts of something sent.
func (f *Fleet) count(p *proc, to ids.Node, bytes int) {
	if f.plan.Sent != nil {
		f.plan.Sent(f.now, p.m.addr, to, bytes)
	}
}

func (f *Fleet) message(p *proc, s paxos.Envelope) {
	m := f.at(s.To)
	raw, err := codec.Marshal(s.Msg)
	if err != nil {
		f.fail("encode: %v", err)
	}
	f.count(p, s.To, len(raw))
	copies := 1
	if !f.healed {
		if x := f.rng.Float64(); x < 0.01 {
			copies = 0
		} else if x < 0.02 {
			copies = 2
		}
	}
	for ; copies > 0; copies-- {
		f.after(f.delay(p.m), func() {
			peer := m.proc
			if f.cuts[[2]ids.Node{p.m.addr, m.addr}] || peer == nil {
				return
			}
			var x paxos.Msg
			if err := codec.Unmarshal(raw, &x); err != nil {
				f.fail("decode: %v", err)
			}
			peer.do(func(now ids.Millis) {
				peer.ctl.At(now)
				peer.core.Receive(now, p.m.addr, x)
				peer.flush()
			})
		})
	}
}

func (f *Fleet) snapshot(p *proc, to ids.Node) {
	m, s := f.at(to), p.image()
	f.count(p, to, len(s.control))
	f.after(f.delay(p.m), func() {
		peer := m.proc
		if f.cuts[[2]ids.Node{p.m.addr, to}] || peer == nil {
			return
		}
		peer.do(func(now ids.Millis) {
			if s.slot <= peer.core.Commit() {
				return
			}
			if err := peer.ctl.Load(s.control); err != nil {
				f.fail("load: %v", err)
			}
			peer.core.Install(now, s.slot, s.memberships, s.clock)
			f.logf("snapshot node=%s slot=%d", to, s.slot)
			f.store(peer, write{snap: s, came: true})
			peer.flush()
		})
	})
}
