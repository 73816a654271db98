// Package ingest is the edge process of a deployment that takes in messages over
// HTTP: it has each one decided by its shard before it answers, and tells how a
// message stands.
package ingest

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"oxbowdeck/internal/accord"
	"oxbowdeck/internal/choir"
	"oxbowdeck/internal/ground"
	"oxbowdeck/internal/home"
	"oxbowdeck/internal/kin"
	"oxbowdeck/internal/lane"
	"oxbowdeck/internal/rule"
	"oxbowdeck/internal/trace"
	"oxbowdeck/internal/unit"
)

// Daemon is one edge process. One actor owns all its tables; requests wait for
// it on goroutines of their own.
type Daemon struct {
	set    *ground.Settings
	self   rule.Node
	actor  *choir.Actor
	hub    *lane.Hub
	norm   *rule.Client
	home   home.Tie
	kin    *kin.Watch
	config *rule.Config
	shown  atomic.Pointer[rule.Config] // the same, for other goroutines
	ready  ground.Readiness
	srv    *http.Server

	calls   map[accord.ID]*call
	asks    map[uint64]*ask
	askSeq  uint64
	given   given
	out     map[unit.Group][]*call
	leads   map[unit.Group]*lead
	zones   map[unit.Node]unit.Zone
	leaving bool
	sweepAt unit.Millis
	b       bounds
}

// lead is who is believed to lead a group.
type lead struct {
	node   unit.Node
	whoAt  unit.Millis // when it was last asked for
	turn   int
	seenAt unit.Millis // when it last answered
	oldest unit.Millis // when what it has not answered for longest was sent; 0: nothing
}

// late tells whether a leader has kept messages waiting for longer than usual
// without a word: those that any group may take go to another.
func (x *lead) late(now, than unit.Millis) bool {
	return x.oldest != 0 && now-x.oldest > than && now-x.seenAt > than
}

// bounds of an edge, all from the settings.
type bounds struct {
	calls  int         // messages under way
	bytes  int         // their bodies
	again  unit.Millis // a message without an outcome is handed in anew
	quiet  unit.Millis
	late   unit.Millis // a leader that answers nothing for so long is passed by
	wait   unit.Millis // the longest a message waits for its outcome
	header int
	body   int64
}

// Start serves clients at the front address.
func Start(set *ground.Settings) (*Daemon, error) {
	d := &Daemon{set: set, actor: choir.NewActor(4096), config: &rule.Config{}, calls: map[accord.ID]*call{}, asks: map[uint64]*ask{},
		out: map[unit.Group][]*call{}, leads: map[unit.Group]*lead{}, zones: map[unit.Node]unit.Zone{}}
	d.shown.Store(d.config)
	d.b = bounds{
		calls: set.Int("edge_calls", 4000), bytes: max(4<<20, set.MemoryMB<<20/8),
		again: unit.Millis(set.Int("forward_again_ms", 250)), quiet: unit.Millis(set.Int("replica_quiet_ms", 400)), late: unit.Millis(set.Int("replica_late_ms", 120)),
		wait: unit.Millis(set.Int("answer_wait_ms", 2500)), header: 32 << 10, body: 1 << 20,
	}
	addr := set.Inner(ground.PortEdge)
	d.self = rule.Node{Name: set.Name, Duty: rule.Edge, Zone: set.Zone, Addr: addr, Front: set.Front, Life: unit.Life(rand.Uint64() >> 1)}
	d.hub = lane.New(lane.Hello{Node: addr, Life: d.self.Life}, ground.LaneBounds(set), d.frame, d.down)
	d.norm = &rule.Client{Hub: d.hub, Self: d.self, Seeds: ground.Norms(set), OnNews: d.onNews, Quiet: unit.Millis(set.Int("news_quiet_ms", 1500))}
	d.home = home.Tie{Hub: d.hub, Norm: d.norm, Zone: set.Zone, Quiet: d.b.quiet}
	var err error
	d.kin, err = ground.Kin(set, d.self, d.actor.Do, func(n unit.Node, life unit.Life) {
		d.norm.Tell(rule.KindMissing, rule.Leave{Addr: n, Life: life, By: addr})
	})
	if err != nil {
		return nil, err
	}
	if err := d.ready.Serve(set.Ready); err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", set.Front)
	if err != nil {
		return nil, unit.Err("listen front", set.Front, err)
	}
	d.srv = &http.Server{Handler: d, ReadHeaderTimeout: 3 * time.Second, ReadTimeout: 10 * time.Second,
		WriteTimeout: 15 * time.Second, IdleTimeout: 15 * time.Second, MaxHeaderBytes: d.b.header}
	go d.srv.Serve(ln)
	go d.actor.Run(d.step)
	unit.Log("edge-started", "node", set.Name, "front", set.Front, "kind", set.Kind)
	return d, nil
}

func (d *Daemon) shards() int {
	if d.norm.News == nil {
		return 0
	}
	return len(d.norm.News.Shards)
}

func (d *Daemon) onNews(n *rule.News) {
	if n.Release != d.config.Release {
		if c, err := rule.ReadConfig(n.Config); err != nil {
			unit.Log("config-unreadable", "release", n.Release, "err", err)
		} else {
			d.config = c
			d.shown.Store(c)
			unit.Log("config", "release", c.Release, "routes", len(c.Spaces))
		}
	}
	clear(d.zones)
	for _, x := range n.Nodes {
		if x.Duty == rule.Store && !x.Gone {
			d.zones[x.Addr] = x.Zone
		}
	}
	now := unit.Steady()
	if n.Seq > 0 { // a sketch does not name the other edges
		d.kin.Nodes(n.Nodes, now)
	}
	if me := n.Find(d.self.Addr); me != nil && me.Gone && me.Life == d.self.Life && !d.leaving {
		d.self.Life = unit.Life(rand.Uint64() >> 1)
		d.norm.Self, d.kin.Life = d.self, d.self.Life
		unit.Log("declared-lost", "node", d.self.Name)
		d.norm.Turn(now)
	}
	d.seek(now)
}

// seek asks who leads the groups of which that is not known, one voter after the
// other.
func (d *Daemon) seek(now unit.Millis) {
	for g := 0; g < d.shards(); g++ {
		x := d.leads[unit.Group(g)]
		if x == nil {
			x = &lead{}
			d.leads[unit.Group(g)] = x
		}
		if x.node != "" || now-x.whoAt < 60 {
			continue
		}
		x.whoAt = now
		voters := d.norm.News.Shards[g].Voters
		for n := 0; n < 2 && n < len(voters); n++ { // two at a time: one may be gone
			x.turn++
			d.hub.To(voters[x.turn%len(voters)].Node).Send(trace.KindWho, trace.Who{Group: unit.Group(g)})
		}
	}
}

// doubt forgets who leads a group: it does not answer, or does not lead.
func (d *Daemon) doubt(g unit.Group, n unit.Node) {
	if x := d.leads[g]; x != nil && x.node == n {
		x.node = ""
	}
}

func (d *Daemon) down(l *lane.Link) {
	d.actor.Do(func() {
		now := unit.Steady()
		d.home.Down(now, l)
		for g, x := range d.leads {
			if x.node == l.Peer().Node {
				x.node, x.whoAt = "", 0
				for _, c := range d.calls {
					if c.group == g && c.tries > 0 {
						d.queue(c)
					}
				}
			}
		}
		d.seek(now)
	})
}

func (d *Daemon) frame(l *lane.Link, k lane.Kind, b []byte) {
	from := l.Peer().Node
	d.actor.Do(func() {
		now := unit.Steady()
		if d.norm.Frame(from, k, b, now) {
			return
		}
		switch k {
		case trace.KindBeat:
			if x, ok := lane.Get[trace.Pulse](b); ok {
				d.home.Beat(now, l, x)
			}
		case trace.KindLead:
			if x, ok := lane.Get[trace.Lead](b); ok {
				d.led(now, x)
			}
		case trace.KindKnown:
			if x, ok := lane.Get[trace.Flow](b); ok {
				for _, o := range x.Outcomes {
					d.taken(now, o.ID)
				}
			}
		case trace.KindDeny:
			if x, ok := lane.Get[trace.Deny](b); ok {
				d.denied(now, from, x)
			}
		case trace.KindStated:
			if x, ok := lane.Get[trace.Stated](b); ok {
				d.stated(x)
			}
		}
	})
}

// led takes a store's word on who leads a group.
func (d *Daemon) led(now unit.Millis, x trace.Lead) {
	l := d.leads[x.Group]
	if l == nil || x.Node == "" || l.node == x.Node {
		return
	}
	l.node, l.seenAt = x.Node, now
	for _, c := range d.calls {
		if c.group == x.Group && c.tries > 0 {
			d.queue(c)
		}
	}
}

func (d *Daemon) step() time.Duration {
	now := unit.Steady()
	wait := unit.Millis(500)
	if d.home.Step(now) {
		wait = 100
	}
	d.seek(now)
	for _, x := range d.leads {
		if x.node == "" {
			wait = min(wait, 60)
		}
	}
	d.giveUp(now)
	d.forward(now)
	if len(d.calls)+len(d.asks) > 0 {
		wait = min(wait, 30)
	}
	if now >= d.sweepAt {
		d.sweepAt = now + 300
		d.home.Sweep(now)
	}
	on := d.serves()
	if on != d.ready.On() {
		d.ready.Set(on)
		unit.Log("readiness", "ready", on)
	}
	wait = min(wait, d.kin.Step(now)-now)
	return max(wait, 1).Span()
}

// serves tells whether messages can be taken here: the configuration is known,
// and who leads most of the groups. One without a leader for a moment is no
// reason to turn clients away.
func (d *Daemon) serves() bool {
	if d.leaving || d.config.Release == 0 || d.shards() == 0 {
		return false
	}
	lost := 0
	for _, x := range d.leads {
		if x.node == "" {
			lost++
		}
	}
	return lost == 0 || d.ready.On() && 2*lost <= len(d.leads)
}

// Stop drains: no new connections are wanted, what is under way is answered.
func (d *Daemon) Stop() {
	d.actor.Do(func() {
		d.leaving, d.home.Ends = true, true
		d.ready.Set(false)
		d.norm.Tell(rule.KindLeave, rule.Leave{Addr: d.self.Addr, Life: d.self.Life, By: d.self.Addr})
	})
	d.srv.SetKeepAlivesEnabled(false) // answers say that the connection closes
	until := time.Now().Add(time.Duration(d.set.DrainMs) * time.Millisecond * 8 / 10)
	for time.Now().Before(until) { // the platform goes on for a moment, and open connections for longer
		time.Sleep(100 * time.Millisecond)
		if time.Until(until) < time.Duration(d.set.DrainMs)*time.Millisecond/2 {
			break
		}
	}
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	d.srv.Shutdown(ctx)
	d.ready.Close()
	d.kin.Close()
	d.hub.Close(100 * time.Millisecond)
	d.actor.Stop()
}

// Hup takes over what may change in a running process: whom to ask.
func (d *Daemon) Hup(set *ground.Settings) {
	d.actor.Do(func() { d.norm.Seeds = ground.Norms(set) })
}
