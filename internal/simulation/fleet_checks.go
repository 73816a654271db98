package simulation

import (
	"slices"

	"oxbowdeck/internal/paxos"
)

func (f *Fleet) decided(p *proc, d paxos.Decided) {
	if !f.agree(&f.loop, p.m.addr, d) {
		return
	}
	if d.Slot != p.ctl.State().Slot+1 {
		f.fail("node %s applies %d after %d", p.m.addr, d.Slot, p.ctl.State().Slot)
	}
	gone := map[string]bool{}
	for _, w := range p.ctl.State().Workers {
		gone[w.ID] = w.Gone
	}
	p.ctl.Apply(d)
	p.bytes += len(d.Raw) + 64
	for _, w := range p.ctl.State().Workers {
		if w.Gone && !gone[w.ID] {
			f.ended(w.ID, d.Slot)
		}
	}
	if d.Slot%4 == 0 {
		b, err := p.ctl.Save()
		if err != nil {
			f.fail("save: %v", err)
		}
		f.checkState(&f.loop, p.m.addr, d.Slot, b)
	}
}

// checkProcess checks what must hold after each step of a process.
func (f *Fleet) checkProcess(p *proc) {
	if age, ok := p.core.Contact(f.clock(p.m)); ok && !p.m.frozen {
		f.checkContactAge(&f.loop, p.m.addr, age, p.core.Commit())
	}
	if p.core.Role() != paxos.Leader {
		return
	}
	b, _ := p.core.Leader()
	if !f.leadSeen[b] {
		f.leadSeen[b] = true
		f.Elections++
		f.logf("leader node=%s epoch=%d", p.m.addr, b.Round())
	}
	// a membership that came into force: what was decided lasts under it
	if age, ok := p.core.Contact(f.clock(p.m)); ok && age < 400 && !paxos.SameMembers(p.core.Voters(), f.members) {
		old := f.members
		f.members = slices.Clone(p.core.Voters())
		if old != nil {
			f.Reseats++
			f.logf("in force by=%s seats=%v", p.m.addr, f.members)
			with := slices.Clone(f.members)
			for _, m := range old { // who was replaced and lives stays until the others hold all
				if x := f.at(m.Node); !slices.Contains(with, m) && x.proc != nil && x.num == m.ID {
					with = append(with, m)
				}
			}
			// one that grows bears what it bore before, until it is settled
			f.checkDisks(p, with, min(len(old), len(f.members))/2+1, "a membership in force")
		}
	}
}

// checkDisks checks that everything decided is on enough of the members' disks.
func (f *Fleet) checkDisks(p *proc, members []paxos.Member, least int, when string) {
	f.checkCopies(&f.loop, when, members, p.core.Commit(), least, func(x paxos.Member) *disk {
		if m := f.at(x.Node); m.num == x.ID && !m.gone {
			return m.disk
		}
		return nil
	})
}

// final checks what must hold once all is calm.
func (f *Fleet) final() {
	l := f.leader()
	if l == nil {
		f.fail("nobody leads")
		return
	}
	live := 0
	newest := int64(0)
	for _, a := range f.acked {
		newest = max(newest, int64(a.slot))
	}
	top := l.proc.core.Commit()
	for _, m := range f.machines {
		if m.proc == nil {
			continue
		}
		live++
		if c := m.proc.core.Commit(); c+3 < top {
			f.fail("node %s stands at %d, the leader at %d", m.addr, c, top)
		}
		if r := m.proc.ctl.State().Release; r < newest {
			f.fail("node %s has configuration %d, %d was acknowledged", m.addr, r, newest)
		}
	}
	if v := len(l.proc.core.Voters()); v < min(live, 2*f.plan.Losses+1) {
		f.fail("%d voters of %d control processes", v, live)
	}
	for _, m := range l.proc.core.Voters() {
		if x := f.at(m.Node); x.proc == nil || x.num != m.ID {
			f.fail("%v has a seat, and is not there", m)
		}
	}
	if !l.proc.core.MembershipRecorded() {
		f.fail("the membership %v is not settled", l.proc.core.Voters())
	}
	f.checkDisks(l.proc, l.proc.core.Voters(), f.plan.Losses+1, "at the end")
}
