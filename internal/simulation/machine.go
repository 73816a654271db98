package simulation

import (
	"fmt"
	"slices"
	"sort"

	"oxbowdeck/internal/control"
	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
)

// machine is one that serves control.
type machine struct {
	name   string
	addr   ids.Node
	zone   ids.Zone
	disk   *disk
	num    ids.ReplicaID // who its disk is
	proc   *proc
	frozen bool
	slow   ids.Millis
	stuck  bool // the disk answers nothing, or refuses
	gone   bool // for good
	lost   ids.Millis
	skew   ids.Millis
}

func (f *Fleet) machine() *machine {
	i := len(f.machines)
	m := &machine{name: fmt.Sprint("core-", i), addr: ids.Node(fmt.Sprint("m", i)), zone: ids.Zone(fmt.Sprint("z", i%3)),
		disk: &disk{entries: map[ids.Slot]paxos.Entry{}}, skew: ids.Millis(f.rng.Intn(1000000))}
	f.machines = append(f.machines, m)
	return m
}

func (f *Fleet) at(a ids.Node) *machine {
	for _, m := range f.machines {
		if m.addr == a {
			return m
		}
	}
	return nil
}

func (f *Fleet) delay(m *machine) ids.Millis { return f.between(1, 3) + m.slow }

func (f *Fleet) clock(m *machine) ids.Millis { return f.now + m.skew }

// start begins a process's incarnation on what its disk holds.
func (f *Fleet) start(m *machine) {
	if m.gone || m.proc != nil {
		return
	}
	d := m.disk
	if d.id == 0 { // written, with the founding membership, before anything is answered
		f.disks++
		d.id = f.disks
	}
	f.incarnations++
	p := &proc{f: f, m: m, lines: map[ids.Node]*line{}}
	p.self = controlapi.Node{
		Name:        m.name,
		Role:        controlapi.Control,
		Zone:        m.zone,
		Addr:        m.addr,
		Front:       m.name,
		Disk:        d.id,
		Incarnation: ids.Incarnation(f.incarnations),
		Num:         m.num,
	}
	seeds := f.drawSeeds(m)
	p.ctl = control.NewControl(f.controlConfig(p.self), p, seeds, d.controlNodes)
	boot := paxos.InitialState{Promised: d.head.Promised, Commit: d.head.Commit}
	boot.Memberships = []paxos.Membership{{From: 0, Members: f.founders}}
	if s := d.snap; s != nil {
		if err := p.ctl.Load(s.control); err != nil {
			f.fail("load: %v", err)
		}
		boot.Base, boot.Memberships, boot.Clock = s.slot, s.memberships, s.clock
		boot.Commit = max(boot.Commit, s.slot)
	}
	for _, e := range d.entries {
		boot.Entries = append(boot.Entries, e)
	}
	sort.Slice(boot.Entries, func(i, j int) bool { return boot.Entries[i].Slot < boot.Entries[j].Slot })
	p.core = paxos.New(f.engineConfig(m), boot, f.clock(m))
	m.proc = p
	f.logf("start node=%s num=%d disk=%d commit=%d", m.addr, m.num, d.id, p.core.Commit())
	p.ctl.At(f.clock(m))
	p.flush()
	p.ctl.Begin(f.clock(m), p.core)
	p.step()
}

// drawSeeds gives the addresses that a process is told to turn to: as the operator's
// list has them, down or cut off perhaps, not gone for long; at first the founders.
func (f *Fleet) drawSeeds(m *machine) (seeds []ids.Node) {
	for len(seeds) < 3 {
		if x := f.anyone(); x != m && (!x.gone || f.now < x.lost) {
			seeds = append(seeds, x.addr)
		}
	}
	if f.now >= 1000 {
		return seeds
	}
	seeds = nil
	for _, x := range f.founders {
		seeds = append(seeds, x.Node)
	}
	return seeds
}

func (f *Fleet) controlConfig(self controlapi.Node) control.Config {
	return control.Config{
		Self:             self,
		Losses:           f.plan.Losses,
		Lease:            lease,
		Heartbeat:        workerHeartbeat,
		WorkerHeartbeats: workerHeartbeats,
		Repeat:           10000,
		Replace:          5000,
		ControlReplace:   1500,
		Rand:             f.rng.Int63n,
	}
}

func (f *Fleet) engineConfig(m *machine) paxos.Config {
	return paxos.Config{
		Self:              paxos.Member{ID: m.num, Node: m.addr},
		Window:            8,
		WindowBytes:       4 << 20,
		BatchBytes:        64 << 10,
		BatchTimeout:      2,
		HeartbeatInterval: 200,
		ElectionTimeout:   700,
		ElectionBackoff:   150,
		OpenBytes:         8 << 20,
		FeedBytes:         512 << 10,
		DisconnectTimeout: 80,
		RetransmitTimeout: 60,
		QuorumTimeout:     3000,
		ProbeEvery:        1,
		Salt:              ids.Millis(f.rng.Int63n(int64(paxos.MostSalt))),
	}
}

func (f *Fleet) store(p *proc, x write) {
	d := p.m.disk
	d.pending = append(d.pending, x)
	if !d.busy {
		f.sync(p)
	}
}

func (f *Fleet) sync(p *proc) {
	d := p.m.disk
	d.busy = true
	count := len(d.pending)
	f.after(f.between(1, 6)+p.m.slow, func() {
		if p.m.proc != p || p.m.disk != d {
			return
		}
		if p.m.stuck || p.m.frozen {
			f.after(20, func() {
				if p.m.proc == p && p.m.disk == d {
					f.sync(p)
				}
			})
			return
		}
		done := slices.Clone(d.pending[:count])
		d.pending = slices.Clone(d.pending[count:])
		for _, x := range done {
			f.keep(p.m, d, x)
		}
		d.busy = false
		if len(d.pending) > 0 {
			f.sync(p)
		}
		p.do(func(now ids.Millis) {
			p.ctl.At(now)
			synced(p.core, now, done)
			p.flush()
		})
	})
}

// keep puts a write on a machine's disk.
func (f *Fleet) keep(m *machine, d *disk, x write) {
	d.apply(x)
	if x.num != 0 {
		m.num = x.num
	}
	if x.controlNodes != nil {
		d.controlNodes = x.controlNodes
	}
}
