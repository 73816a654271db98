package maze

import (
	"fmt"
	"slices"
	"sort"

	"github.com/fxamacker/cbor/v2"

	"oxbowdeck/internal/accord"
	"oxbowdeck/internal/edict"
	"oxbowdeck/internal/lane"
	"oxbowdeck/internal/rule"
	"oxbowdeck/internal/unit"
)

// FleetPlan says what a run of control machines is made of.
type FleetPlan struct {
	Seed     int64
	Losses   int // machines that may be lost at once
	Founders int // the seeds of the first start: they found the group, which grows to 2·Losses+1
	Spares   int // control machines beside the founders
	For      unit.Millis
	Troubles []string
	Every    unit.Millis // mean pause between troubles
	Orders   unit.Millis // mean pause between an operator's orders
	Body     int         // bytes of a configuration
	SnapAt   int         // log bytes between snapshots
	Log      func(string)
}

// Of a fleet's timing, as the deployments have it.
const (
	lease       = unit.Millis(1500)
	workerBeat  = unit.Millis(1200)
	workerBeats = 4
	grace       = unit.Millis(3600)
	catchUp     = unit.Millis(4000) // a machine stays lost for so long after it is back
	orderWait   = unit.Millis(800)
)

// FleetTroubles are all that a run of control machines may draw.
var FleetTroubles = []string{"cut", "cut", "cut-leader", "cut-leader", "one-way", "pair", "freeze", "freeze-leader", "asleep",
	"crash", "power", "wipe", "slow", "stall", "full", "herd", "replace", "planned", "restart"}

// machine is one that serves control.
type machine struct {
	name   string
	addr   unit.Node
	zone   unit.Zone
	disk   *disk
	num    unit.Num // who its disk is
	proc   *proc
	frozen bool
	slow   unit.Millis
	stuck  bool // the disk answers nothing, or refuses
	gone   bool // for good
	lost   unit.Millis
	skew   unit.Millis
}

// proc is one life of a control process.
type proc struct {
	f     *Fleet
	m     *machine
	self  rule.Node
	core  *accord.Core
	ctl   *edict.Control
	lines map[unit.Node]*line
	bytes int
	turn  int
}

// line is the way back to who sent a frame.
type line struct {
	from *proc
	to   unit.Node
	news func(rule.News) // a process of the data plane hears here
}

func (l *line) Send(k lane.Kind, v any) bool {
	b, err := cbor.Marshal(v)
	return err == nil && l.SendRaw(k, b)
}

func (l *line) SendRaw(k lane.Kind, b []byte) bool {
	if l.news == nil {
		l.from.f.frame(l.from, l.to, k, b)
	} else if n, ok := lane.Get[rule.News](b); ok && k == rule.KindNews {
		l.from.f.after(l.from.f.delay(l.from.m), func() { l.news(n) })
	}
	return true
}

// Order is what an operator asked, for the history.
type Order struct {
	Client  int
	Call    unit.Millis
	Return  unit.Millis // 0: no clear answer
	Read    bool
	Match   int64
	Release int64
	Sum     string
	Res     edict.Result
}

// Fleet is a run of whole control processes on simulated machines, with operators,
// workers and processes of the data plane that turn to any of them.
type Fleet struct {
	loop
	ledger
	plan     FleetPlan
	machines []*machine
	founders []accord.Member
	cuts     map[[2]unit.Node]bool
	last     map[[2]unit.Node]unit.Millis // frames of a pair keep their order
	disks    uint64
	lives    uint64
	healed   bool

	seats []accord.Member // in force, as the leader has it
	acked []high          // configurations acknowledged, and when

	History []Order
	workers []*worker

	Elections, Configs, Reseats, Begun, Repeats, Departed, Reads int

	leadSeen map[unit.Ballot]bool
}

// NewFleet founds one.
func NewFleet(p FleetPlan) *Fleet {
	f := &Fleet{loop: newLoop(p.Seed, p.Log), ledger: newLedger(), plan: p, cuts: map[[2]unit.Node]bool{}, last: map[[2]unit.Node]unit.Millis{},
		leadSeen: map[unit.Ballot]bool{}}
	for i := 0; i < p.Founders+p.Spares; i++ {
		m := f.machine()
		if i < p.Founders {
			m.num = unit.Num(i + 1)
			f.founders = append(f.founders, accord.Member{Num: m.num, Node: m.addr})
		}
	}
	for _, m := range f.machines {
		f.after(f.between(0, 300), func() { f.start(m) })
	}
	for i := 0; i < 3; i++ {
		w := &worker{f: f, id: fmt.Sprint("worker-", i)}
		f.workers = append(f.workers, w)
		f.after(f.between(3000, 4000), w.beat)
	}
	for i := 0; i < 3; i++ {
		o := &client{f: f, no: i}
		f.after(f.between(2500, 3500), o.next)
	}
	f.after(4000, f.begin)
	return f
}

func (f *Fleet) machine() *machine {
	i := len(f.machines)
	m := &machine{name: fmt.Sprint("core-", i), addr: unit.Node(fmt.Sprint("m", i)), zone: unit.Zone(fmt.Sprint("z", i%3)),
		disk: &disk{entries: map[unit.Slot]accord.Entry{}}, skew: unit.Millis(f.rng.Intn(1000000))}
	f.machines = append(f.machines, m)
	return m
}

func (f *Fleet) at(a unit.Node) *machine {
	for _, m := range f.machines {
		if m.addr == a {
			return m
		}
	}
	return nil
}

func (f *Fleet) delay(m *machine) unit.Millis { return f.between(1, 3) + m.slow }

// start begins a process's life on what its disk holds.
func (f *Fleet) start(m *machine) {
	if m.gone || m.proc != nil {
		return
	}
	d := m.disk
	if d.id == 0 { // written, with the founding membership, before anything is answered
		f.disks++
		d.id = f.disks
	}
	f.lives++
	p := &proc{f: f, m: m, lines: map[unit.Node]*line{}}
	p.self = rule.Node{Name: m.name, Duty: rule.Norm, Zone: m.zone, Addr: m.addr, Front: m.name, Disk: d.id, Life: unit.Life(f.lives), Num: m.num}
	var seeds []unit.Node // as the operator's list has them: down or cut off perhaps, not gone for long
	for len(seeds) < 3 {
		if x := f.anyone(); x != m && (!x.gone || f.now < x.lost) {
			seeds = append(seeds, x.addr)
		}
	}
	if f.now < 1000 {
		seeds = nil
		for _, x := range f.founders {
			seeds = append(seeds, x.Node)
		}
	}
	p.ctl = edict.NewControl(edict.Conf{Self: p.self, Losses: f.plan.Losses, Lease: lease, Beat: workerBeat, WorkerBeats: workerBeats,
		Repeat: 10000, Replace: 5000, NormReplace: 1500, Rand: f.rng.Int63n}, p, seeds, d.norms)
	boot := accord.Boot{Promised: d.head.Promised, Commit: d.head.Commit}
	boot.Eras = []accord.Era{{From: 0, Seats: f.founders}}
	if s := d.snap; s != nil {
		if err := p.ctl.Load(s.norm); err != nil {
			f.fail("load: %v", err)
		}
		boot.Base, boot.Eras, boot.Clock = s.slot, s.eras, s.clock
		boot.Commit = max(boot.Commit, s.slot)
	}
	for _, e := range d.entries {
		boot.Entries = append(boot.Entries, e)
	}
	sort.Slice(boot.Entries, func(i, j int) bool { return boot.Entries[i].Slot < boot.Entries[j].Slot })
	p.core = accord.New(accord.Conf{Self: accord.Member{Num: m.num, Node: m.addr}, Wnd: 8, WndBytes: 4 << 20, Bsz: 64 << 10, Delta: 2,
		Beat: 200, Patience: 700, Stagger: 150, OpenBytes: 8 << 20, FeedBytes: 512 << 10, Impatience: 80, Nudge: 60, Quorum: 3000, Sound: 1,
		Salt: unit.Millis(f.rng.Int63n(int64(accord.MostSalt)))}, boot, f.clock(m))
	m.proc = p
	f.logf("start node=%s num=%d disk=%d commit=%d", m.addr, m.num, d.id, p.core.Commit())
	p.ctl.At(f.clock(m))
	p.flush()
	p.ctl.Begin(f.clock(m), p.core)
	p.step()
}

func (f *Fleet) clock(m *machine) unit.Millis { return f.now + m.skew }

// do runs something on a process, once it does not stand still and if it lives.
func (p *proc) do(what func(now unit.Millis)) {
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
			p.do(func(unit.Millis) {})
		}
	})
}

func (p *proc) Send(to unit.Node, k lane.Kind, v any) bool {
	b, err := cbor.Marshal(v)
	if err != nil {
		p.f.fail("encode: %v", err)
	}
	p.f.frame(p, to, k, b)
	return true
}

func (p *proc) Submit(r accord.Request) error {
	err := p.core.Submit(p.f.clock(p.m), r, false)
	p.flush()
	return err
}

func (p *proc) Keep(row string, v any) {
	switch x := v.(type) {
	case edict.Identity:
		p.f.store(p, write{num: x.Num})
	case []unit.Node:
		p.f.store(p, write{norms: x})
	}
}

func (p *proc) Ring([]rule.Node) {}

func (p *proc) Log(event string, kv ...any) {
	p.f.logf("%s node=%s %v", event, p.m.addr, kv)
}

// frame carries a frame of the control plane; those of a pair keep their order,
// and what a cut or an end holds up is lost.
func (f *Fleet) frame(p *proc, to unit.Node, k lane.Kind, b []byte) {
	m := f.at(to)
	if m == nil || m.proc == nil {
		return
	}
	pair := [2]unit.Node{p.m.addr, to}
	at := max(f.last[pair], f.now+f.delay(p.m))
	f.last[pair] = at
	peer := m.proc
	f.after(at-f.now, func() {
		if f.cuts[pair] || p.m.proc != p {
			return
		}
		peer.do(func(now unit.Millis) {
			l := peer.lines[p.m.addr]
			if l == nil {
				l = &line{from: peer, to: p.m.addr}
				peer.lines[p.m.addr] = l
			}
			peer.ctl.Frame(now, l, k, b)
		})
	})
}

// flush carries out what the engine wants.
func (p *proc) flush() {
	f := p.f
	for f.err == nil && p.m.proc == p {
		e := p.core.Drain()
		if len(e.Saves)+len(e.Sends)+len(e.Decided)+len(e.Snaps) == 0 {
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
		for _, to := range e.Snaps {
			f.snapshot(p, to)
		}
	}
	f.look(p)
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
	return &snap{slot: p.core.Commit(), eras: slices.Clone(p.core.Eras()), norm: b, clock: p.ctl.Clock()}
}

func (f *Fleet) message(p *proc, s accord.Envelope) {
	m := f.at(s.To)
	raw, err := cbor.Marshal(s.Msg)
	if err != nil {
		f.fail("encode: %v", err)
	}
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
			if f.cuts[[2]unit.Node{p.m.addr, m.addr}] || peer == nil {
				return
			}
			var x accord.Msg
			if err := cbor.Unmarshal(raw, &x); err != nil {
				f.fail("decode: %v", err)
			}
			peer.do(func(now unit.Millis) {
				peer.ctl.At(now)
				peer.core.Take(now, p.m.addr, x)
				peer.flush()
			})
		})
	}
}

func (f *Fleet) snapshot(p *proc, to unit.Node) {
	m, s := f.at(to), p.image()
	f.after(f.delay(p.m), func() {
		peer := m.proc
		if f.cuts[[2]unit.Node{p.m.addr, to}] || peer == nil {
			return
		}
		peer.do(func(now unit.Millis) {
			if s.slot <= peer.core.Commit() {
				return
			}
			if err := peer.ctl.Load(s.norm); err != nil {
				f.fail("load: %v", err)
			}
			peer.core.Install(now, s.slot, s.eras, s.clock)
			f.logf("snapshot node=%s slot=%d", to, s.slot)
			f.store(peer, write{snap: s, came: true})
			peer.flush()
		})
	})
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
		p.do(func(now unit.Millis) {
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
	if x.norms != nil {
		d.norms = x.norms
	}
}

func (f *Fleet) decided(p *proc, d accord.Decided) {
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
		f.alike(&f.loop, p.m.addr, d.Slot, b)
	}
}

// look checks what must hold after each step of a process.
func (f *Fleet) look(p *proc) {
	if age, ok := p.core.Contact(f.clock(p.m)); ok && !p.m.frozen {
		f.inTouch(&f.loop, p.m.addr, age, p.core.Commit())
	}
	if p.core.Role() != accord.Leader {
		return
	}
	b, _ := p.core.Lead()
	if !f.leadSeen[b] {
		f.leadSeen[b] = true
		f.Elections++
		f.logf("leader node=%s epoch=%d", p.m.addr, b.Round())
	}
	// a membership that came into force: what was decided lasts under it
	if age, ok := p.core.Contact(f.clock(p.m)); ok && age < 400 && !accord.Same(p.core.Seats(), f.seats) {
		old := f.seats
		f.seats = slices.Clone(p.core.Seats())
		if old != nil {
			f.Reseats++
			f.logf("in force by=%s seats=%v", p.m.addr, f.seats)
			with := slices.Clone(f.seats)
			for _, m := range old { // who was replaced and lives stays until the others hold all
				if x := f.at(m.Node); !slices.Contains(with, m) && x.proc != nil && x.num == m.Num {
					with = append(with, m)
				}
			}
			// one that grows bears what it bore before, until it is settled
			f.copies(p, with, min(len(old), len(f.seats))/2+1, "a membership in force")
		}
	}
}

// copies checks that everything decided is on enough of the members' disks.
func (f *Fleet) copies(p *proc, seats []accord.Member, least int, when string) {
	f.lasts(&f.loop, when, seats, p.core.Commit(), least, func(x accord.Member) *disk {
		if m := f.at(x.Node); m.num == x.Num && !m.gone {
			return m.disk
		}
		return nil
	})
}
