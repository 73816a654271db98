package simulation

import (
	"slices"

	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
)

// impaired tells whether a machine counts as lost now.
func (f *Fleet) impaired(m *machine) bool {
	return !m.gone && (m.proc == nil || m.frozen || m.stuck || m.slow > 0 || f.isCut(m) || f.now < m.lost)
}

func (f *Fleet) isCut(m *machine) bool {
	for pair := range f.cuts {
		if pair[0] == m.addr || pair[1] == m.addr {
			return true
		}
	}
	return false
}

// leader gives the machine that leads, or any.
func (f *Fleet) leader() *machine {
	var best *machine
	for _, m := range f.machines {
		if m.proc != nil && m.proc.core.Role() == paxos.Leader {
			if b, _ := m.proc.core.Leader(); best == nil || b > first(best.proc.core.Leader()) {
				best = m
			}
		}
	}
	return best
}

func first(b ids.Ballot, _ ids.Node) ids.Ballot { return b }

// cut parts some machines from all others, until later; one_way: they are not heard.
func (f *Fleet) cut(of []*machine, oneWay bool, d ids.Millis) {
	var pairs [][2]ids.Node
	for _, a := range of {
		for _, b := range f.machines {
			if !slices.Contains(of, b) {
				pairs = append(pairs, [2]ids.Node{a.addr, b.addr})
				if !oneWay {
					pairs = append(pairs, [2]ids.Node{b.addr, a.addr})
				}
			}
		}
	}
	for _, p := range pairs {
		f.cuts[p] = true
	}
	f.after(d, func() {
		for _, p := range pairs {
			delete(f.cuts, p)
		}
		for _, m := range of {
			m.lost = f.now + catchUp
		}
	})
}

// trouble befalls machines; no more than may be lost are lost at once, but for
// processes that are all killed, whose disks stay.
func (f *Fleet) trouble() {
	kind := f.plan.Troubles[f.rng.Intn(len(f.plan.Troubles))]
	lost, heirs := 0, 0
	for _, m := range f.machines {
		if f.impaired(m) {
			lost++
		}
		if m.gone && f.now < m.lost {
			heirs++ // its successor has not had its time yet
		}
	}
	room := f.plan.Losses - lost - heirs
	m := f.anyone()
	if l := f.leader(); l != nil && (kind == "cut-leader" || kind == "freeze-leader" || f.rng.Intn(3) == 0) {
		m = l
	}
	if m.gone || m.proc == nil || f.impaired(m) || room < 1 && kind != "herd" {
		return
	}
	long := f.between(300, 9000)
	f.logf("trouble kind=%s node=%s for=%d", kind, m.addr, long)
	f.beginTrouble(kind, m, room, long)
}

// beginTrouble lets a trouble begin at a machine, and has it end later; room is how
// many machines may yet be lost.
func (f *Fleet) beginTrouble(kind string, m *machine, room int, long ids.Millis) {
	back := func() { m.lost = f.now + catchUp; f.start(m) }
	switch kind {
	case "cut", "cut-leader":
		f.cut([]*machine{m}, false, long)
	case "one-way":
		f.cut([]*machine{m}, true, long)
	case "pair": // a follower together with its leader
		if l := f.leader(); room >= 2 && l != nil && l != m {
			f.cut([]*machine{m, l}, false, long)
		}
	case "freeze", "freeze-leader", "asleep":
		if kind == "asleep" { // while hundreds of instances pass
			long = f.between(25000, 40000)
		}
		m.frozen = true
		f.after(long, func() { m.frozen, m.lost = false, f.now+catchUp })
	case "slow":
		m.slow = f.between(20, 150)
		f.after(long, func() { m.slow, m.lost = 0, f.now+catchUp })
	case "stall", "full":
		m.stuck = true
		f.after(long, func() { m.stuck, m.lost = false, f.now+catchUp })
	case "crash":
		f.kill(m)
		f.after(long/4, back)
	case "power":
		f.power(m)
		f.after(long/4, back)
	case "wipe":
		f.power(m)
		m.disk, m.num = &disk{entries: map[ids.Slot]paxos.Entry{}}, 0
		f.after(long/4, back)
	case "herd":
		for _, x := range f.machines {
			if x.proc != nil {
				f.kill(x)
				f.after(f.between(100, 1000), func() { f.start(x) })
			}
		}
	case "replace": // gone for good, an empty one comes at another address
		f.power(m)
		m.gone, m.lost = true, f.now+1000+catchUp
		x := f.machine()
		f.after(1000, func() { f.start(x); x.lost = f.now + catchUp })
	case "planned": // the new one comes first
		x := f.machine()
		f.start(x)
		x.lost = f.now + catchUp
		f.after(f.between(500, 2000), func() { f.terminate(m, true) })
	case "restart":
		f.terminate(m, false)
	}
}

// terminate ends a process in order, as SIGTERM does.
func (f *Fleet) terminate(m *machine, forGood bool) {
	p := m.proc
	if p == nil {
		return
	}
	end := func(now ids.Millis) {
		p.ctl.Leave(now, 400, func() {
			f.after(0, func() {
				if m.proc != p {
					return
				}
				f.kill(m)
				if m.gone = forGood; forGood {
					m.lost = f.now + catchUp
					return
				}
				f.after(f.between(100, 600), func() { m.lost = f.now + catchUp; f.start(m) })
			})
		})
	}
	until := f.now + grace
	var poll func(ids.Millis)
	poll = func(now ids.Millis) {
		switch {
		case p.ctl.Departed(now):
			voters, l := p.core.Voters(), f.leader()
			if l != nil && !paxos.ContainsNode(voters, m.addr) && paxos.SameMembers(l.proc.core.Voters(), voters) {
				f.Departed++
				f.checkDisks(p, voters, f.plan.Losses+1, "a member that may end")
			}
			end(now)
		case f.now >= until:
			end(now)
		default:
			f.after(30, func() { p.do(poll) })
		}
	}
	p.do(func(now ids.Millis) { p.ctl.Depart(now) })
	f.after(30, func() { p.do(poll) })
}

// kill ends a process; its files stay as they were written.
func (f *Fleet) kill(m *machine) {
	for _, x := range m.disk.pending {
		if !m.stuck {
			f.keep(m, m.disk, x)
		}
	}
	f.stop(m)
}

// power takes a machine's power: each write not yet synced is there or not.
func (f *Fleet) power(m *machine) {
	for _, x := range m.disk.pending {
		if f.rng.Intn(2) == 0 && !m.stuck {
			f.keep(m, m.disk, x)
		}
	}
	f.stop(m)
}

func (f *Fleet) stop(m *machine) {
	m.proc, m.frozen = nil, false
	m.disk.pending, m.disk.busy = nil, false
	for _, x := range f.machines {
		if p := x.proc; p != nil && f.rng.Intn(2) == 0 {
			f.after(f.between(1, 5), func() {
				p.do(func(now ids.Millis) {
					p.core.Disconnected(now, m.addr)
					if l := p.lines[m.addr]; l != nil {
						p.ctl.Down(now, l)
						delete(p.lines, m.addr)
					}
				})
			})
		}
	}
}
