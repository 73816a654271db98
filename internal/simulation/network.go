package simulation

import (
	"oxbowdeck/internal/codec"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
)

func (w *World) delay(n *node) ids.Millis { return 1 + ids.Millis(w.rng.Intn(3)) + n.slow }

func (w *World) send(n *node, s paxos.Envelope) {
	to := w.find(s.To)
	copies := 1
	if !w.healed && w.rng.Float64() < w.plan.Loss {
		copies = 0
	}
	if !w.healed && w.rng.Float64() < w.plan.Twice {
		copies++
	}
	raw, err := codec.Marshal(s.Msg)
	if err != nil {
		w.fail("encode: %v", err)
	}
	for ; copies > 0; copies-- {
		w.after(w.delay(n), func() {
			if n.cut || to.cut || !to.up {
				return
			}
			var m paxos.Msg
			if err := codec.Unmarshal(raw, &m); err != nil {
				w.fail("decode: %v", err)
				return
			}
			incarnation := to.incarnation
			w.whenRunning(to, func() { // a frozen one reads it when it wakes
				if to.up && to.incarnation == incarnation {
					to.core.Receive(w.clock(to), n.member.Node, m)
					w.flush(to)
				}
			})
		})
	}
}

func (w *World) sendSnap(n *node, a ids.Node) {
	to, s := w.find(a), w.image(n)
	w.after(w.delay(n), func() {
		if n.cut || to.cut || !to.up || s.slot <= to.core.Commit() {
			return
		}
		if err := to.load(s); err != nil {
			w.fail("load: %v", err)
			return
		}
		to.core.Install(w.clock(to), s.slot, s.memberships, s.clock)
		w.logf("snapshot node=%s slot=%d", to.member.Node, s.slot)
		w.store(to, write{snap: s, came: true})
		w.flush(to)
	})
}
