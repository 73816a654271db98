package voice

import (
	"errors"
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"oxbowdeck/internal/accord"
	"oxbowdeck/internal/choir"
	"oxbowdeck/internal/ground"
	"oxbowdeck/internal/home"
	"oxbowdeck/internal/kin"
	"oxbowdeck/internal/lane"
	"oxbowdeck/internal/rule"
	"oxbowdeck/internal/tale"
	"oxbowdeck/internal/trace"
	"oxbowdeck/internal/unit"
)

// Daemon is one edge process. One actor owns all its tables.
type Daemon struct {
	set    *ground.Settings
	self   rule.Node
	actor  *choir.Actor
	hub    *lane.Hub
	norm   *rule.Client
	config *rule.Config
	ready  ground.Readiness
	ln     net.Listener

	conns  map[uint64]*conn
	nextID uint64
	topics map[unit.Topic]*topic
	reqs   map[uint64]*sub // subscriptions and topics that wait for a Joined
	counts map[uint64]*census
	calls  map[accord.ID]*call
	doubts map[accord.ID]unit.Millis // forwarded and given up, lately
	outq   map[unit.Group][]*call
	leads  map[unit.Group]trace.Lead
	order  uint64
	dirty  []*conn

	ties    []*tie // by shard
	pingAt  unit.Millis
	home    home.Tie // to the store that brings the news
	reqSeq  uint64
	seats   uint64 // seats asked for
	leaving bool
	sweepAt unit.Millis
	kin     *kin.Watch

	b bounds
}

// bounds of an edge, all from the settings.
type bounds struct {
	conns    int
	out      int // bytes waiting for one client
	calls    int // publishes under way
	perConn  int // of one client
	silence  unit.Millis
	resend   unit.Millis
	nudge    unit.Millis // a call without an outcome goes again on the second path
	quiet    unit.Millis // silence of the replica followed
	late     unit.Millis // a replica that answers later is too slow
	hope     unit.Millis // without a replica for longer, calls are given up at once
	margin   unit.Millis // before a route's time-out a doubtful publish is given up
	joinWait unit.Millis
	repeat   unit.Millis // a client may repeat a number for so long
}

// Start serves clients at the front address.
func Start(set *ground.Settings) (*Daemon, error) {
	d := &Daemon{set: set, actor: choir.NewActor(4096), config: &rule.Config{}, conns: map[uint64]*conn{},
		topics: map[unit.Topic]*topic{}, reqs: map[uint64]*sub{}, counts: map[uint64]*census{}, calls: map[accord.ID]*call{}, doubts: map[accord.ID]unit.Millis{},
		outq: map[unit.Group][]*call{}, leads: map[unit.Group]trace.Lead{}}
	d.b = bounds{
		conns: set.Int("edge_conns", max(64, (set.FDs-200)/2)), out: set.Int("client_out_kb", 512) << 10,
		calls: set.Int("edge_calls", 20000), perConn: set.Int("client_calls", 256),
		silence: unit.Millis(set.PingS * 3200), resend: unit.Millis(set.Int("forward_again_ms", 400)),
		nudge: unit.Millis(set.Int("forward_spare_ms", 60)),
		quiet: unit.Millis(set.Int("replica_quiet_ms", 400)), hope: unit.Millis(set.Int("hope_ms", 300)), late: unit.Millis(set.Int("replica_late_ms", 120)), margin: unit.Millis(set.Int("give_up_margin_ms", 200)),
		joinWait: unit.Millis(set.Int("join_wait_ms", 900)), repeat: unit.Millis(set.ResendS * 1000),
	}
	addr := set.Inner(ground.PortEdge)
	d.self = rule.Node{Name: set.Name, Duty: rule.Edge, Zone: set.Zone, Addr: addr, Front: set.Front, Life: unit.Life(rand.Uint64() >> 1)}
	d.hub = lane.New(lane.Hello{Node: addr, Life: d.self.Life}, ground.LaneBounds(set), d.frame, d.down)
	d.norm = &rule.Client{Hub: d.hub, Self: d.self, Seeds: ground.Norms(set), OnNews: d.onNews, Quiet: unit.Millis(set.Int("news_quiet_ms", 1500))}
	d.hub.Far = d.norm.Far
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
	d.ln = ln
	go d.acceptAll()
	go d.actor.Run(d.step)
	unit.Log("edge-started", "node", set.Name, "front", set.Front)
	return d, nil
}

func (d *Daemon) acceptAll() {
	for {
		c, err := d.ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(20 * time.Millisecond)
			continue
		}
		d.actor.Do(func() {
			if len(d.conns) >= d.b.conns {
				c.Close()
				return
			}
			d.nextID++
			x := newConn(d, d.nextID, c)
			d.conns[x.id] = x
			go x.reader()
			go x.writer()
		})
	}
}

// take handles one message of a client.
func (d *Daemon) take(c *conn, w word) {
	if d.conns[c.id] != c {
		return // it ended while this word waited
	}
	now := unit.Steady()
	c.heard = now
	if w.cause != "" {
		c.put(reject(nil, w.verb, w.topic, w.seq, w.cause))
		if w.fatal {
			c.endAfter()
		}
		return
	}
	if w.verb == wKeepalive {
		c.put([]byte("ALIVE\r\n"))
		return
	}
	if w.verb == wAttach {
		if c.client != "" && c.client != unit.Client(w.arg) {
			c.put(reject(nil, wAttach, "", 0, cMalformed))
			return
		}
		c.client = unit.Client(w.arg)
		c.put([]byte("SUCCESS ATTACH\r\n"))
		return
	}
	if c.client == "" {
		c.put(reject(nil, w.verb, w.topic, w.seq, cMalformed))
		return
	}
	if w.verb == wUnsub {
		if t := d.topics[w.topic]; t != nil && t.subs[c] != nil {
			d.drop(t.subs[c])
		}
		c.put([]byte("SUCCESS UNSUB " + string(w.topic) + "\r\n"))
		return
	}
	sp := d.config.Space(w.topic)
	if sp == nil {
		c.put(reject(nil, w.verb, w.topic, w.seq, cNoSpace))
		return
	}
	switch w.verb {
	case wSubscribe:
		d.subscribe(now, c, w, sp)
	case wPublish:
		d.publish(now, c, w, sp)
	case wCensus:
		if len(d.counts) >= d.b.calls {
			c.put(reject(nil, wCensus, w.topic, 0, cRetry))
			return
		}
		d.reqSeq++
		d.counts[d.reqSeq] = &census{c: c, topic: w.topic, at: now}
		if l := d.cur(w.topic); l != nil { // else asked when one is followed
			l.Send(trace.KindCount, trace.Count{Req: d.reqSeq, Topic: w.topic})
		}
	}
}

var noNews rule.News

func (d *Daemon) norm0() *rule.News {
	if d.norm.News == nil {
		return &noNews
	}
	return d.norm.News
}

// gone forgets a connection.
func (d *Daemon) gone(c *conn) {
	if d.conns[c.id] != c {
		return
	}
	delete(d.conns, c.id)
	for _, t := range d.topics {
		if s := t.subs[c]; s != nil {
			d.drop(s)
		}
	}
	for _, x := range d.calls {
		if x.c == c {
			x.c = nil
		}
	}
	for k, x := range d.counts {
		if x.c == c {
			delete(d.counts, k)
		}
	}
}

func (d *Daemon) frame(l *lane.Link, k lane.Kind, b []byte) {
	from := l.Peer().Node
	switch k {
	case trace.KindFlow:
		if x, ok := lane.Get[trace.Flow](b); ok {
			d.actor.Do(func() { d.flow(l, x) })
		}
		return
	}
	d.actor.Do(func() {
		now := unit.Steady()
		if d.norm.Frame(from, k, b, now) {
			return
		}
		switch k {
		case trace.KindFollowed:
			if x, ok := lane.Get[trace.Followed](b); ok {
				d.followed(now, l, x)
			}
		case trace.KindBeat:
			if x, ok := lane.Get[trace.Pulse](b); ok {
				d.beat(now, l, x)
			}
		case trace.KindLead:
			if x, ok := lane.Get[trace.Lead](b); ok {
				d.lead(x)
			}
		case trace.KindPong:
			if x, ok := lane.Get[trace.Ping](b); ok {
				d.pong(now, l, x)
			}
		case trace.KindJoined:
			if x, ok := lane.Get[trace.Joined](b); ok && l == d.cur(x.Topic) {
				d.joined(x)
			}
		case trace.KindCounted:
			if x, ok := lane.Get[trace.Counted](b); ok {
				if q := d.counts[x.Req]; q != nil {
					delete(d.counts, x.Req)
					q.c.put([]byte("TALLY " + string(q.topic) + " " + strconv.Itoa(x.N) + "\r\n"))
				}
			}
		case trace.KindKnown:
			if x, ok := lane.Get[trace.Flow](b); ok {
				for _, o := range x.Outcomes {
					d.outcome(o)
				}
			}
		case trace.KindDeny:
			if x, ok := lane.Get[trace.Deny](b); ok {
				d.denied(x)
			}
		case trace.KindBye:
			if x, ok := lane.Get[trace.Bye](b); ok {
				d.bye(now, l, x.Groups)
			}
		}
	})
}

func (d *Daemon) onNews(n *rule.News) {
	if d.config == nil || n.Release != d.config.Release {
		c, err := rule.ReadConfig(n.Config)
		if err != nil {
			unit.Log("config-unreadable", "release", n.Release, "err", err)
		} else {
			d.config = c
			unit.Log("config", "release", c.Release, "spaces", len(c.Spaces))
			for _, t := range d.topics {
				if c.Space(t.name) == nil {
					for _, s := range t.subs {
						d.drop(s)
					}
				}
			}
		}
	}
	if n.Seq > 0 { // a sketch does not name the other edges
		d.kin.Nodes(n.Nodes, unit.Steady())
	}
	if me := n.Find(d.self.Addr); me != nil && me.Gone && me.Life == d.self.Life && !d.leaving {
		d.reborn()
	}
	d.shape(unit.Steady())
	d.watchTies(unit.Steady())
}

// reborn begins a new life after being declared lost: the seats of the old one
// are struck, so everyone here is seated again.
func (d *Daemon) reborn() {
	now := unit.Steady()
	d.self.Life = unit.Life(rand.Uint64() >> 1)
	d.norm.Self, d.kin.Life = d.self, d.self.Life
	unit.Log("declared-lost", "node", d.self.Name)
	d.norm.Turn(now)
	for _, t := range d.topics {
		for _, s := range t.subs {
			if s.active {
				d.seatCall(now, s, tale.Sit)
			}
		}
	}
}

func (d *Daemon) step() time.Duration {
	now := unit.Steady()
	wait := unit.Millis(500)
	// a store brings the news; norm is asked to enrol, and when no store does
	if d.home.Step(now) {
		wait = 100
	}
	d.watchTies(now)
	for _, x := range d.ties {
		if x.cur == nil {
			wait = 50
		}
	}
	d.giveUp(now)
	d.forward(now)
	if len(d.calls) > 0 || len(d.reqs) > 0 {
		wait = min(wait, 30)
	}
	if now >= d.sweepAt {
		d.sweepAt = now + 300
		d.sweep(now)
	}
	for _, c := range d.dirty {
		c.flush()
	}
	d.dirty = d.dirty[:0]
	// a moment without a replica is no reason to turn clients away
	on := d.serves(now)
	if on != d.ready.On() {
		d.ready.Set(on)
		unit.Log("readiness", "ready", on)
	}
	wait = min(wait, d.kin.Step(now)-now)
	return max(wait, 1).Span()
}

// giveUp answers the calls whose time is over, and those nothing can be done for
// now: no replica of their shard is heard. It forwards anew what got no outcome.
func (d *Daemon) giveUp(now unit.Millis) {
	for _, x := range d.calls {
		dark := x.c != nil && now-x.at > d.b.hope/6 && d.hopeless(now, d.ties[x.group])
		switch {
		case dark || now >= x.end:
			delete(d.calls, x.req.ID)
			cause := cUnknown
			if x.tries == 0 && !dark && d.unspoken(x.at, x.c, x.req.ID) {
				cause = cRetry
			}
			d.doubt(now, x)
			if x.c == nil {
				continue
			}
			x.c.calls--
			x.c.put(reject(nil, wPublish, x.topic, x.seq, cause))
		case x.tries > 0 && !x.queued && now-x.sent >= d.b.resend:
			d.queue(x)
		}
	}
}

// doubtFor is longer than any client repeats a number it got no answer to.
const doubtFor = unit.Millis(30000)

// mostDoubts bounds the numbers remembered as in doubt; past it all are.
const mostDoubts = 50000

// doubt remembers that a call was forwarded and given up: the same number, sent
// again, must not be promised never to run.
func (d *Daemon) doubt(now unit.Millis, x *call) {
	if x.tries > 0 && x.seq > 0 && len(d.doubts) < mostDoubts {
		d.doubts[x.req.ID] = now
	}
}

// unspoken tells whether no earlier try of a number that came at a time was forwarded,
// from here or, over an earlier connection of the client, from another edge: numbers
// may be repeated for a while.
func (d *Daemon) unspoken(at unit.Millis, c *conn, id accord.ID) bool {
	_, spoken := d.doubts[id]
	return !spoken && len(d.doubts) < mostDoubts && c != nil && at-c.born >= d.b.repeat
}

// serves tells whether clients are well off here: every shard is followed. Once
// ready, a moment without one of them is no reason to turn clients away.
func (d *Daemon) serves(now unit.Millis) bool {
	if d.leaving || d.config.Release == 0 || len(d.ties) == 0 || len(d.leads) < len(d.ties) {
		return false
	}
	lost := 0
	for _, x := range d.ties {
		if x.cur == nil && (!d.ready.On() || now-x.lostAt >= 2*d.b.quiet) {
			lost++
		}
	}
	return lost == 0 || d.ready.On() && lost < len(d.ties)
}

// sweep gives up what waited too long and drops clients that fell silent.
func (d *Daemon) sweep(now unit.Millis) {
	for _, t := range d.topics {
		for _, s := range t.subs {
			if !s.active && now-s.at > d.b.joinWait {
				s.c.put(reject(nil, wSubscribe, t.name, 0, cRetry))
				d.drop(s)
			}
		}
	}
	for k, x := range d.counts {
		if now-x.at > 2*d.b.joinWait {
			delete(d.counts, k)
			x.c.put(reject(nil, wCensus, x.topic, 0, cRetry))
		}
	}
	d.home.Sweep(now)
	for id, at := range d.doubts {
		if now-at > doubtFor {
			delete(d.doubts, id)
		}
	}
	for _, c := range d.conns {
		if now-c.heard > d.b.silence {
			c.end()
		}
	}
}

// Hup takes over what may change in a running process: whom to ask.
func (d *Daemon) Hup(set *ground.Settings) {
	d.actor.Do(func() { d.norm.Seeds = ground.Norms(set) })
}
