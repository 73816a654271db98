// Package choir runs replicas of groups for a process: it feeds the engine
// with messages, time and disk completions, and carries out its effects. All
// of it happens on one goroutine, the actor that owns the tables; others hand
// it commands.
package choir

import (
	"time"

	"oxbowdeck/internal/accord"
	"oxbowdeck/internal/lane"
	"oxbowdeck/internal/unit"
	"oxbowdeck/internal/vault"
)

// Actor owns tables and works through a queue of commands.
type Actor struct {
	box  chan func()
	quit chan struct{}
}

// NewActor makes one with a bounded queue.
func NewActor(depth int) *Actor {
	return &Actor{box: make(chan func(), depth), quit: make(chan struct{})}
}

// Do queues a command. A full queue holds the caller up.
func (a *Actor) Do(f func()) {
	select {
	case a.box <- f:
	case <-a.quit:
	}
}

// Stop ends Run.
func (a *Actor) Stop() { close(a.quit) }

// Run works through commands; after each burst it calls after, which tells
// when to call it again at the latest (0: whenever).
func (a *Actor) Run(after func() time.Duration) {
	t := time.NewTimer(time.Hour)
	defer t.Stop()
	for {
		if d := after(); d > 0 {
			t.Reset(d)
		}
		select {
		case f := <-a.box:
			f()
			for n := 0; n < 256; n++ {
				select {
				case f := <-a.box:
					f()
					continue
				default:
				}
				break
			}
		case <-t.C:
		case <-a.quit:
			return
		}
	}
}

// Machine is a replicated state.
type Machine interface {
	Apply(d accord.Decided)
	Save() ([]byte, error)
	Load([]byte) error
	Clock() unit.Millis // the decided time it stands at
	Size() int          // about how many bytes Save gives
}

// Part is one group's replica.
type Part struct {
	Core    *accord.Core
	Machine Machine
	group   unit.Group
	logged  int // bytes applied since the last snapshot
	saving  bool
	tail    []applied           // what the engine holds of the decided log
	held    int                 // its bytes
	given   map[unit.Node]*gift // snapshots on their way to peers
	owed    map[unit.Node]*owed // the log that has to follow them
	last    image               // the newest one, for whoever else needs one now
	coming  *arrival            // one on its way here
	lead    unit.Ballot
}

// Choir is all replicas of a process.
type Choir struct {
	Actor    *Actor
	Hub      *lane.Hub
	Vault    *vault.Vault
	Kind     lane.Kind // frames of the engine
	SnapKind lane.Kind
	TailAt   int                                            // log bytes kept in memory, for replicas that lag a little
	SnapAt   int                                            // log bytes between snapshots
	OnLead   func(g unit.Group, b unit.Ballot, n unit.Node) // the acting leader changed
	Parts    map[unit.Group]*Part
	Failed   func(error)
}

// Open starts a group's replica from the disk. genesis is the membership the
// group was founded with, used when the disk knows of no later one.
func (ch *Choir) Open(conf accord.Conf, genesis []accord.Member, m Machine) (*Part, error) {
	boot, snap, err := ch.Vault.Load(conf.Group)
	if err != nil {
		return nil, err
	}
	if snap != nil && len(snap.State) > 0 {
		if err := m.Load(snap.State); err != nil {
			return nil, unit.Errf("load snapshot", "disk", "%w: %v", vault.ErrDamaged, err)
		}
	}
	if len(boot.Eras) == 0 {
		boot.Eras = []accord.Era{{From: 0, Seats: genesis}}
	}
	boot.Clock = m.Clock()
	p := &Part{Core: accord.New(conf, boot, unit.Steady()), Machine: m, group: conf.Group, given: map[unit.Node]*gift{}, owed: map[unit.Node]*owed{}}
	ch.Parts[conf.Group] = p
	ch.flush(p)
	return p, nil
}

// Close ends a group's replica and drops what the disk holds of it.
func (ch *Choir) Close(g unit.Group) {
	delete(ch.Parts, g)
	ch.Vault.Forget(g)
}

// Step does what is due; it returns how long nothing will be.
func (ch *Choir) Step() time.Duration {
	now := unit.Steady()
	wait := unit.Millis(1000)
	for _, p := range ch.Parts {
		if p.Core.NextWake() <= now {
			p.Core.Tick(now)
		}
		ch.flush(p)
		if w := ch.give(now, p); w < wait {
			wait = w
		}
		if w := p.Core.NextWake() - now; w < wait {
			wait = w
		}
	}
	return max(wait, 1).Span()
}

func (ch *Choir) flush(p *Part) {
	for {
		e := p.Core.Drain()
		if len(e.Saves)+len(e.Sends)+len(e.Decided)+len(e.Snaps) == 0 {
			break
		}
		if len(e.Saves) > 0 {
			token := e.Token
			// never block the actor on the disk's queue: its completions come back here
			synced := func() { ch.Actor.Do(func() { p.Core.Synced(unit.Steady(), token) }) }
			ch.Vault.Save(p.group, e.Saves, synced)
		}
		for _, s := range e.Sends {
			if s.Msg.Kind == accord.Fetch && ch.clogged() {
				continue // what it asks for could not be kept
			}
			l := ch.Hub.To(s.To)
			if s.Spare {
				l = ch.Hub.Spare(s.To)
			} else if s.Msg.Kind == accord.Feed {
				l = ch.Hub.Bulk(s.To)
				if o := p.owed[s.To]; o != nil {
					o.after, o.heard = max(o.after, s.Msg.Entries[0].Slot-1), unit.Steady()
				}
			}
			l.Send(ch.Kind, s.Msg)
		}
		for _, d := range e.Decided {
			p.Machine.Apply(d)
			p.logged += len(d.Raw) + 64
			p.keep(d.Slot, len(d.Raw)+64, ch.TailAt)
		}
		for _, n := range e.Snaps {
			ch.sendSnap(p, n)
		}
	}
	if b, n := p.Core.Lead(); b != p.lead && n != "" {
		p.lead = b
		if ch.OnLead != nil {
			ch.OnLead(p.group, b, n)
		}
	}
	if p.logged > max(ch.SnapAt, 2*p.Machine.Size()) && !p.saving {
		ch.snapshot(p)
	}
}

type applied struct {
	slot  unit.Slot
	bytes int
}

// keep lets go of the oldest of the decided log in memory, past a bound. The
// disk keeps it until a snapshot covers it; a replica that lags further gets a
// snapshot, and what it needs after that is kept a while longer.
func (p *Part) keep(s unit.Slot, bytes, most int) {
	p.tail = append(p.tail, applied{s, bytes})
	p.held += bytes
	n := 0
	for p.held > most+p.room(p.tail[n].slot) && n < len(p.tail)-1 {
		p.held -= p.tail[n].bytes
		n++
	}
	if n > 0 {
		p.Core.Trim(p.tail[n-1].slot)
		p.tail = append([]applied(nil), p.tail[n:]...)
	}
}

// room is how many bytes more are kept for the sake of an instance that a peer
// needs after its snapshot.
func (p *Part) room(s unit.Slot) (n int) {
	for _, o := range p.owed {
		if s > o.after {
			n = max(n, o.room)
		}
	}
	return n
}

func (ch *Choir) snapshot(p *Part) {
	s, err := p.image()
	if err != nil {
		ch.Failed(unit.Err("snapshot", "", err))
		return
	}
	p.saving, p.logged = true, 0
	ch.Vault.SaveSnapshot(p.group, s, func() { ch.Actor.Do(func() { p.saving = false }) })
}

// Squeeze makes room on the disk: a snapshot of each group lets its log go. One
// that takes far more than it gives back is not made: others may fill the disk,
// and this is called until there is room.
func (ch *Choir) Squeeze() {
	for _, p := range ch.Parts {
		if !p.saving && p.logged > p.Machine.Size()/4 {
			ch.snapshot(p)
		}
	}
	ch.Vault.Compact()
}

// behindMost bounds the records that wait for a disk that refuses: far more than
// the windows of a store's groups hold while it writes.
const behindMost = 16 << 20

// clogged tells that no more records can be taken until the disk writes.
func (ch *Choir) clogged() bool { return ch.Vault.Behind() > behindMost }

// Frame takes a frame from a peer if it is the engine's; run on the actor.
func (ch *Choir) Frame(from unit.Node, k lane.Kind, b []byte) bool {
	switch k {
	case ch.Kind:
		m, ok := lane.Get[accord.Msg](b)
		if (m.Kind == accord.Accept || m.Kind == accord.Feed) && ch.clogged() {
			return true // as if lost on the way: it is sent or asked for again
		}
		if p := ch.Parts[m.Group]; ok && p != nil {
			p.Core.Take(unit.Steady(), from, m)
			ch.flush(p)
		}
	case ch.SnapKind:
		if f, ok := lane.Get[snapPart](b); ok {
			ch.part(from, f)
		}
	default:
		return false
	}
	return true
}

// Down tells every replica that the connection to a peer broke.
func (ch *Choir) Down(n unit.Node) {
	for _, p := range ch.Parts {
		p.Core.Down(unit.Steady(), n)
	}
}

// Submit puts a request to a group's leader, if it is here.
func (ch *Choir) Submit(g unit.Group, r accord.Request, urgent bool) error {
	p := ch.Parts[g]
	if p == nil {
		return accord.ErrNotLeader
	}
	if ch.clogged() {
		return accord.ErrFull
	}
	err := p.Core.Submit(unit.Steady(), r, urgent)
	ch.flush(p)
	return err
}

// Leave drains: every leadership is handed over.
func (ch *Choir) Leave() {
	for _, p := range ch.Parts {
		p.Core.Yield(unit.Steady())
		ch.flush(p)
	}
}

// Mark puts on record what is decided, before an orderly end.
func (ch *Choir) Mark() {
	for _, p := range ch.Parts {
		p.Core.Mark()
		ch.flush(p)
	}
}

// Leads tells whether any group is led here.
func (ch *Choir) Leads() bool {
	for _, p := range ch.Parts {
		if p.Core.Role() == accord.Leader {
			return true
		}
	}
	return false
}
