package simulation

import (
	"slices"

	"oxbowdeck/internal/codec"
	"oxbowdeck/internal/control"
	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
	"oxbowdeck/internal/transport"
)

// proc is one incarnation of a control process.
type proc struct {
	f     *Fleet
	m     *machine
	self  controlapi.Node
	core  *paxos.Core
	ctl   *control.Control
	lines map[ids.Node]*line
	bytes int
	turn  int
}

// do runs something on a process, once it does not stand still and if it lives.
func (p *proc) do(what func(now ids.Millis)) {
	if p.m.proc != p || p.f.err != nil {
		return
	}
	if p.m.frozen {
		p.f.after(10, func() { p.do(what) })
		return
	}
	what(p.f.clock(p.m))
	p.step()
}

// step does what is due, as the shell's actor does after each input.
func (p *proc) step() {
	now := p.f.clock(p.m)
	p.ctl.At(now)
	if p.core.NextWake() <= now {
		p.core.Tick(now)
	}
	p.flush()
	next := min(p.ctl.Tick(now), now+500)
	p.flush()
	p.turn++
	turn := p.turn
	wait := max(min(next, p.core.NextWake())-now, 1)
	p.f.after(wait, func() {
		if p.turn == turn {
			p.do(func(ids.Millis) {})
		}
	})
}

func (p *proc) Send(to ids.Node, k transport.Kind, v any) bool {
	b, err := codec.Marshal(v)
	if err != nil {
		p.f.fail("encode: %v", err)
	}
	p.f.frame(p, to, k, b)
	return true
}

func (p *proc) Submit(r paxos.Request) error {
	err := p.core.Submit(p.f.clock(p.m), r, false)
	p.flush()
	return err
}

func (p *proc) Keep(row string, v any) {
	switch x := v.(type) {
	case control.Identity:
		p.f.store(p, write{num: x.Num})
	case []ids.Node:
		p.f.store(p, write{controlNodes: x})
	}
}

func (p *proc) Ring([]controlapi.Node) {}

func (p *proc) Log(event string, kv ...any) {
	p.f.logf("%s node=%s %v", event, p.m.addr, kv)
}

// flush carries out what the engine wants.
func (p *proc) flush() {
	f := p.f
	for f.err == nil && p.m.proc == p {
		e := p.core.Drain()
		if len(e.Saves)+len(e.Sends)+len(e.Decided)+len(e.SnapshotPeers) == 0 {
			break
		}
		if len(e.Saves) > 0 {
			f.store(p, write{recs: e.Saves, token: e.Token})
		}
		for _, s := range e.Sends {
			f.message(p, s)
		}
		for _, d := range e.Decided {
			f.decided(p, d)
		}
		for _, to := range e.SnapshotPeers {
			f.snapshot(p, to)
		}
	}
	f.checkProcess(p)
	if p.bytes > f.plan.SnapAt {
		p.bytes = 0
		f.store(p, write{snap: p.image()})
	}
}

func (p *proc) image() *snap {
	b, err := p.ctl.Save()
	if err != nil {
		p.f.fail("save: %v", err)
	}
	return &snap{slot: p.core.Commit(), memberships: slices.Clone(p.core.Memberships()), control: b, clock: p.ctl.Clock()}
}
