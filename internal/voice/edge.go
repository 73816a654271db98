package voice

import (
	"math/rand/v2"
	"net"
	"sort"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"oxbowdeck/internal/accord"
	"oxbowdeck/internal/choir"
	"oxbowdeck/internal/ground"
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
	outq   map[unit.Group][]*call
	leads  map[unit.Group]trace.Lead
	order  uint64
	dirty  []*conn

	cur      *lane.Link // the replica followed
	try      *lane.Link // the one being asked
	tryAt    unit.Millis
	heardAt  unit.Millis
	lostAt   unit.Millis // when there last was no replica any more
	stale    int
	betterAt unit.Millis
	avoid    map[unit.Node]unit.Millis
	reqSeq   uint64
	leaving  bool
	sweepAt  unit.Millis
	kin      *kin.Watch

	b bounds
}

// bounds of an edge, all from the settings.
type bounds struct {
	conns     int
	out       int // bytes waiting for one client
	calls     int // publishes under way
	perConn   int // of one client
	silence   unit.Millis
	resend    unit.Millis
	nudge     unit.Millis // a call without an outcome goes again on the second path
	quiet     unit.Millis // silence of the replica followed
	margin    unit.Millis // before a route's time-out a doubtful publish is given up
	joinWait  unit.Millis
	liveAfter unit.Millis
}

type topic struct {
	name unit.Topic
	last unit.Pos // everything up to here was handed to the active subscriptions
	subs map[*conn]*sub
	on   bool // the replica followed flows it
}

type sub struct {
	c      *conn
	t      *topic
	req    uint64
	active bool
	last   unit.Pos
	from   unit.Pos
	has    bool
	cursor string
	at     unit.Millis
	keeps  bool
}

type census struct {
	c     *conn
	topic unit.Topic
	at    unit.Millis
}

// call is a request on its way through the decided order.
type call struct {
	req    accord.Request
	group  unit.Group
	order  uint64
	topic  unit.Topic
	seq    unit.Seq
	c      *conn // nil: nobody waits for the answer
	end    unit.Millis
	sent   unit.Millis
	tries  int
	queued bool
	nudged bool // forwarded once more on the second path
}

// Start serves clients at the front address.
func Start(set *ground.Settings) (*Daemon, error) {
	d := &Daemon{set: set, actor: choir.NewActor(4096), config: &rule.Config{}, conns: map[uint64]*conn{},
		topics: map[unit.Topic]*topic{}, reqs: map[uint64]*sub{}, counts: map[uint64]*census{}, calls: map[accord.ID]*call{},
		outq: map[unit.Group][]*call{}, leads: map[unit.Group]trace.Lead{}, avoid: map[unit.Node]unit.Millis{}}
	d.b = bounds{
		conns: set.Int("edge_conns", max(64, (set.FDs-200)/2)), out: set.Int("client_out_kb", 512) << 10,
		calls: set.Int("edge_calls", 20000), perConn: set.Int("client_calls", 256),
		silence: unit.Millis(set.PingS * 3200), resend: unit.Millis(set.Int("forward_again_ms", 400)),
		nudge: unit.Millis(set.Int("forward_spare_ms", 60)),
		quiet: unit.Millis(set.Int("replica_quiet_ms", 1000)), margin: unit.Millis(set.Int("give_up_margin_ms", 200)),
		joinWait: unit.Millis(set.Int("join_wait_ms", 900)),
	}
	addr := set.Inner(ground.PortEdge)
	d.self = rule.Node{Name: set.Name, Duty: rule.Edge, Zone: set.Zone, Addr: addr, Front: set.Front, Life: unit.Life(rand.Uint64() >> 1)}
	d.hub = lane.New(lane.Hello{Node: addr, Life: d.self.Life}, ground.LaneBounds(set), d.frame, d.down)
	d.norm = &rule.Client{Hub: d.hub, Self: d.self, Seeds: ground.Norms(set), OnNews: d.onNews, Quiet: unit.Millis(set.Int("news_quiet_ms", 1500))}
	d.hub.Far = d.norm.Far
	d.kin = ground.Kin(set, d.self, func(n unit.Node, life unit.Life) {
		if at := d.norm.At(); at != "" {
			d.hub.Send(at, rule.KindMissing, rule.Leave{Addr: n, Life: life})
		}
	})
	if err := d.kin.Listen(func(n unit.Node, life unit.Life) {
		d.actor.Do(func() { d.kin.Heard(n, life, unit.Steady()) })
	}); err != nil {
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
			if ne, ok := err.(net.Error); ok && ne.Timeout() {
				continue
			}
			if d.closed() {
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

func (d *Daemon) closed() bool {
	done := make(chan bool, 1)
	select {
	case d.actor.Box() <- func() { done <- d.leaving }:
		return <-done
	case <-time.After(time.Second):
		return true
	}
}

// take handles one message of a client.
func (d *Daemon) take(c *conn, w word) {
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
		if d.cur == nil {
			c.put(reject(nil, wCensus, w.topic, 0, cRetry))
			return
		}
		d.reqSeq++
		d.counts[d.reqSeq] = &census{c: c, topic: w.topic, at: now}
		d.cur.Send(trace.KindCount, trace.Count{Req: d.reqSeq, Topic: w.topic})
	}
}

func (d *Daemon) publish(now unit.Millis, c *conn, w word, sp *rule.Space) {
	id := accord.ID{Origin: string(c.client), Seq: uint64(w.seq)}
	if old := d.calls[id]; old != nil {
		if old.topic == w.topic {
			if old.c != nil {
				old.c.calls--
			}
			old.c = c // the same call again, perhaps from a newer connection
			c.calls++
			return
		}
		c.put(reject(nil, wPublish, w.topic, w.seq, cRetry))
		return
	}
	if len(d.calls) >= d.b.calls || c.calls >= d.b.perConn || len(d.norm0().Shards) == 0 {
		c.put(reject(nil, wPublish, w.topic, w.seq, cRetry)) // never forwarded
		return
	}
	keep := unit.Millis(0)
	if sp.Retained() {
		keep = unit.Millis(sp.KeepS * 1000)
	}
	wait := unit.Millis(sp.GuardMs) - d.b.margin
	if wait < unit.Millis(sp.GuardMs)/2 {
		wait = unit.Millis(sp.GuardMs) / 2
	}
	c.calls++
	d.call(now, &call{c: c, topic: w.topic, seq: w.seq, end: now + wait}, id,
		tale.Command{Verb: tale.Publish, Topic: w.topic, Client: c.client, Seq: w.seq, Body: w.body, Edge: d.self.Addr, Keep: keep})
}

var noNews rule.News

func (d *Daemon) norm0() *rule.News {
	if d.norm.News == nil {
		return &noNews
	}
	return d.norm.News
}

// call puts a command on its way to its group's leader.
func (d *Daemon) call(now unit.Millis, x *call, id accord.ID, cmd tale.Command) {
	b, err := cbor.Marshal(cmd)
	if err != nil {
		return
	}
	d.order++
	x.req, x.order = accord.Request{ID: id, Data: b}, d.order
	x.group = unit.GroupOf(cmd.Topic, len(d.norm0().Shards))
	d.calls[id] = x
	d.queue(x)
}

func (d *Daemon) queue(x *call) {
	if !x.queued {
		x.queued = true
		d.outq[x.group] = append(d.outq[x.group], x)
	}
}

// forward sends what is queued to the leaders, in the order it came.
func (d *Daemon) forward(now unit.Millis) {
	spare := map[unit.Group]*trace.Propose{}
	for _, x := range d.calls {
		if lead := d.leads[x.group]; x.tries > 0 && !x.nudged && !x.queued && now-x.sent >= d.b.nudge && lead.Node != "" {
			x.nudged = true
			if spare[x.group] == nil {
				spare[x.group] = &trace.Propose{Group: x.group, Again: true}
			}
			spare[x.group].Reqs = append(spare[x.group].Reqs, x.req)
		}
	}
	for g, p := range spare {
		sort.Slice(p.Reqs, func(i, j int) bool { return d.calls[p.Reqs[i].ID].order < d.calls[p.Reqs[j].ID].order })
		d.hub.Spare(d.leads[g].Node).Send(trace.KindPropose, p)
	}
	for g, q := range d.outq {
		lead, ok := d.leads[g]
		if !ok || len(q) == 0 {
			continue
		}
		sort.Slice(q, func(i, j int) bool { return q[i].order < q[j].order })
		p := trace.Propose{Group: g}
		for _, x := range q {
			x.queued = false
			if d.calls[x.req.ID] != x {
				continue
			}
			x.sent = now
			x.tries++
			p.Again = p.Again || x.tries > 1
			p.Reqs = append(p.Reqs, x.req)
		}
		d.outq[g] = q[:0]
		if len(p.Reqs) > 0 {
			d.hub.Send(lead.Node, trace.KindPropose, p)
		}
	}
}

// again forwards every open call of a group once more, in the old order: the
// leader that held them may be gone. The ids make a second run harmless.
func (d *Daemon) again(g unit.Group) {
	for _, x := range d.calls {
		if x.group == g && x.tries > 0 {
			d.queue(x)
		}
	}
}

func (d *Daemon) subscribe(now unit.Millis, c *conn, w word, sp *rule.Space) {
	t := d.topics[w.topic]
	if t != nil && t.subs[c] != nil {
		s := t.subs[c]
		if s.active {
			c.put([]byte("SUCCESS SUBSCRIBE " + string(t.name) + " " + unit.Cursor(d.group(t.name), s.last) + "\r\n"))
		}
		return
	}
	if limit := d.config.Limits.Subscriptions; limit > 0 && c.subs >= limit {
		c.put(reject(nil, wSubscribe, w.topic, 0, cTooLarge))
		return
	}
	if len(d.norm0().Shards) == 0 {
		c.put(reject(nil, wSubscribe, w.topic, 0, cRetry))
		return
	}
	s := &sub{c: c, at: now, cursor: w.arg, keeps: sp.Retained()}
	if w.arg != "" {
		g, p, ok := unit.ParseCursor(w.arg)
		switch {
		case ok && g == d.group(w.topic):
			s.from, s.has = p, true
		case s.keeps:
			c.put(reject(nil, wSubscribe, w.topic, 0, cExpired))
			return
		default:
			s.cursor = "" // a live space holds nothing to take up: from now on
		}
	}
	if t == nil {
		t = &topic{name: w.topic, subs: map[*conn]*sub{}}
		d.topics[w.topic] = t
	}
	s.t = t
	t.subs[c] = s
	c.subs++
	d.ask(s)
}

func (d *Daemon) group(t unit.Topic) unit.Group {
	return unit.GroupOf(t, max(1, len(d.norm0().Shards)))
}

// ask puts a waiting subscription to the replica followed.
func (d *Daemon) ask(s *sub) {
	if d.cur == nil {
		return // asked when one is followed
	}
	delete(d.reqs, s.req)
	d.reqSeq++
	s.req = d.reqSeq
	d.reqs[s.req] = s
	s.t.on = true
	d.cur.Send(trace.KindWatch, trace.Watch{Req: s.req, Topic: s.t.name, From: s.from, Has: s.has, Keeps: s.keeps})
}

// seatCall tells the shard who sits where; the count of subscribers reads it.
func (d *Daemon) seatCall(now unit.Millis, c *conn, t unit.Topic, v tale.Verb) {
	if len(d.norm0().Shards) == 0 {
		return
	}
	c.seatSeq++
	id := accord.ID{Origin: string(d.self.Addr) + "#" + strconv.FormatUint(uint64(d.self.Life), 36) + "." + strconv.FormatUint(c.id, 36), Seq: c.seatSeq}
	d.call(now, &call{topic: t, end: now + 10000}, id,
		tale.Command{Verb: v, Topic: t, Client: c.client, Edge: d.self.Addr, Life: d.self.Life, Conn: c.id})
}

// drop ends a subscription.
func (d *Daemon) drop(s *sub) {
	t := s.t
	delete(t.subs, s.c)
	delete(d.reqs, s.req)
	s.c.subs--
	if s.active {
		d.seatCall(unit.Steady(), s.c, t.name, tale.Rise)
	}
	if len(t.subs) == 0 {
		delete(d.topics, t.name)
		if t.on && d.cur != nil {
			d.cur.Send(trace.KindUnwatch, trace.Unwatch{Topic: t.name})
		}
	}
}

// joined takes the replica's answer to a Watch.
func (d *Daemon) joined(j trace.Joined) {
	s := d.reqs[j.Req]
	if s == nil {
		if t := d.topics[j.Topic]; t != nil { // a topic taken up again at another replica
			if j.Expired {
				for c := range t.subs {
					c.end() // it lacks what no replica has: the client takes it up anew
				}
				return
			}
			d.resume(t, j)
		}
		return
	}
	delete(d.reqs, j.Req)
	if j.Expired {
		s.c.put(reject(nil, wSubscribe, j.Topic, 0, cExpired))
		d.drop(s)
		return
	}
	s.active = true
	cur := s.cursor
	if s.has {
		s.last = s.from
	} else {
		s.last = j.End
		cur = unit.Cursor(d.group(j.Topic), j.End)
	}
	s.c.put([]byte("SUCCESS SUBSCRIBE " + string(j.Topic) + " " + cur + "\r\n"))
	for _, it := range j.Items {
		d.deliver(s, it.Pos, d.render(j.Topic, it.Pos, it.Client, it.Seq, it.Body))
	}
	if j.End > s.t.last {
		s.t.last = j.End
	}
	d.seatCall(unit.Steady(), s.c, j.Topic, tale.Sit)
}

func (d *Daemon) resume(t *topic, j trace.Joined) {
	for _, it := range j.Items {
		d.spread(t, it.Pos, it.Client, it.Seq, it.Body)
	}
	if j.End > t.last {
		t.last = j.End
	}
}

func (d *Daemon) spread(t *topic, p unit.Pos, client unit.Client, seq unit.Seq, body []byte) {
	var line []byte
	for _, s := range t.subs {
		if s.active && p > s.last {
			if line == nil {
				line = d.render(t.name, p, client, seq, body)
			}
			d.deliver(s, p, line)
		}
	}
	if p > t.last {
		t.last = p
	}
}

func (d *Daemon) render(t unit.Topic, p unit.Pos, client unit.Client, seq unit.Seq, body []byte) []byte {
	b := make([]byte, 0, len(t)+len(client)+len(body)+64)
	b = append(append(b, "DELIVER "...), t...)
	b = append(append(b, ' '), unit.Cursor(d.group(t), p)...)
	b = append(append(b, ' '), client...)
	b = strconv.AppendUint(append(b, ' '), uint64(seq), 10)
	b = strconv.AppendInt(append(b, ' '), int64(len(body)), 10)
	b = append(append(b, '\r', '\n'), body...)
	return append(b, '\r', '\n')
}

func (d *Daemon) deliver(s *sub, p unit.Pos, line []byte) {
	if p <= s.last {
		return
	}
	s.last = p
	s.c.put(line)
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

// outcome takes what the decided order says of a call.
func (d *Daemon) outcome(o trace.Outcome) {
	x := d.calls[o.ID]
	if x == nil {
		return
	}
	delete(d.calls, o.ID)
	if x.c == nil {
		return
	}
	x.c.calls--
	if o.Verdict == tale.Refused {
		x.c.put(reject(nil, wPublish, x.topic, x.seq, cRetry))
		return
	}
	x.c.put([]byte("ACK " + string(x.topic) + " " + strconv.FormatUint(uint64(x.seq), 10) + "\r\n"))
}

func (d *Daemon) denied(x trace.Deny) {
	for _, id := range x.IDs {
		c := d.calls[id]
		if c == nil {
			continue
		}
		if x.Full && c.tries == 1 && c.c != nil {
			// the only forward was turned away: it has not run and never will
			delete(d.calls, id)
			c.c.calls--
			c.c.put(reject(nil, wPublish, c.topic, c.seq, cRetry))
			continue
		}
		c.sent = unit.Steady() - d.b.resend + 50 // soon again: the duty is moving
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
		if l == d.cur {
			d.heardAt = now
		}
		if l == d.cur && k == rule.KindPulse {
			if p, ok := lane.Get[rule.Pulse](b); ok {
				if p.Fresh {
					d.stale = 0
				} else {
					d.stale++
				}
				return
			}
		}
		if d.norm.Frame(from, k, b, now) {
			return
		}
		switch k {
		case trace.KindFollowed:
			if x, ok := lane.Get[trace.Followed](b); ok && l == d.try {
				d.followed(now, l, x)
			}
		case trace.KindLead:
			if x, ok := lane.Get[trace.Lead](b); ok {
				d.lead(x)
			}
		case trace.KindJoined:
			if x, ok := lane.Get[trace.Joined](b); ok && l == d.cur {
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
			if l == d.cur {
				d.avoid[l.Peer().Node] = now + 1500
				d.lose(now)
			}
		}
	})
}

func (d *Daemon) flow(l *lane.Link, x trace.Flow) {
	if l != d.cur {
		return
	}
	d.heardAt = unit.Steady()
	for _, it := range x.Items {
		if t := d.topics[it.Topic]; t != nil {
			d.spread(t, it.Pos, it.Client, it.Seq, it.Body)
		}
	}
	for _, o := range x.Outcomes {
		d.outcome(o)
	}
}

func (d *Daemon) lead(x trace.Lead) {
	if old := d.leads[x.Group]; x.Epoch <= old.Epoch {
		return // news of leaders never go back
	}
	d.leads[x.Group] = x
	d.again(x.Group)
}

func (d *Daemon) down(l *lane.Link) {
	d.actor.Do(func() {
		now := unit.Steady()
		if l == d.try {
			d.try = nil
			d.avoid[l.Peer().Node] = now + 500
			if d.cur == nil {
				d.pick(now)
			}
		}
		if l == d.cur {
			d.lose(now) // its own zone's replica is asked first again: a reset is no death
		}
	})
}

// lose turns from the replica followed to another.
func (d *Daemon) lose(now unit.Millis) {
	unit.Log("replica-lost", "peer", d.cur.Peer().Node)
	d.cur, d.lostAt = nil, now
	for _, t := range d.topics {
		t.on = false
	}
	for k, x := range d.counts {
		delete(d.counts, k)
		x.c.put(reject(nil, wCensus, x.topic, 0, cRetry))
	}
	d.tryAt = 0
	d.pick(now)
}

// replicas lists the stores that carry the shards: the own zone's first.
func (d *Daemon) replicas() []rule.Node {
	n := d.norm0()
	if len(n.Shards) == 0 {
		return nil
	}
	var out []rule.Node
	for _, list := range [][]accord.Member{n.Shards[0].Voters, n.Shards[0].Learners} {
		for _, m := range list {
			if x := n.Find(m.Node); x != nil && !x.Gone {
				out = append(out, *x)
			}
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	sort.SliceStable(out, func(i, j int) bool { return out[i].Zone == d.self.Zone && out[j].Zone != d.self.Zone })
	return out
}

// carries tells whether a link's peer is still placed to carry the shards.
func (d *Daemon) carries(l *lane.Link) bool {
	for _, r := range d.replicas() {
		if r.Addr == l.Peer().Node {
			return true
		}
	}
	return false
}

// pick asks the best replica not just found wanting whether it can be followed.
func (d *Daemon) pick(now unit.Millis) {
	if d.try != nil && now-d.tryAt < 700 {
		return
	}
	if d.try != nil {
		d.avoid[d.try.Peer().Node] = now + 1000
		if d.try != d.cur {
			d.try.Drop()
		}
		d.try = nil
	}
	list := d.replicas()
	for _, any := range []bool{false, true} {
		for _, r := range list {
			if d.cur != nil && (r.Addr == d.cur.Peer().Node || r.Zone != d.self.Zone && d.stale < 2 && d.carries(d.cur)) {
				continue
			}
			if any || d.avoid[r.Addr] <= now {
				l := d.hub.To(r.Addr)
				if !l.Send(trace.KindFollow, trace.Follow{Edge: d.self.Addr, Life: d.self.Life}) {
					continue // could not be reached a moment ago
				}
				d.try, d.tryAt = l, now
				return
			}
		}
		if d.cur != nil {
			return
		}
	}
}

func (d *Daemon) followed(now unit.Millis, l *lane.Link, x trace.Followed) {
	d.try = nil
	if !x.Ready {
		d.avoid[l.Peer().Node] = now + 250
		return
	}
	if d.cur != nil {
		d.cur.Send(trace.KindBye, trace.Bye{})
	}
	d.cur, d.heardAt, d.stale = l, now, 0
	unit.Log("following", "peer", l.Peer().Node)
	clear(d.reqs)
	for _, t := range d.topics {
		t.on = false
		active, keeps := false, false
		for _, s := range t.subs {
			active = active || s.active
			keeps = keeps || s.keeps
		}
		if active {
			t.on = true
			d.reqSeq++
			l.Send(trace.KindWatch, trace.Watch{Req: d.reqSeq, Topic: t.name, From: t.last, Has: true, Keeps: keeps})
		}
		for _, s := range t.subs {
			if !s.active {
				d.ask(s)
			}
		}
	}
	for _, c := range d.calls {
		if c.tries > 0 {
			d.queue(c) // its outcome may have passed by unseen
		}
	}
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
	d.kin.Nodes(n.Nodes, unit.Steady())
	if me := n.Find(d.self.Addr); me != nil && me.Gone && me.Life == d.self.Life && !d.leaving {
		d.reborn()
	}
	if d.cur == nil {
		d.pick(unit.Steady())
	}
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
				d.seatCall(now, s.c, t.name, tale.Sit)
			}
		}
	}
}

func (d *Daemon) step() time.Duration {
	now := unit.Steady()
	wait := unit.Millis(500)
	// a replica followed brings the news; norm itself is asked when none does
	if d.cur == nil || d.norm.News == nil || now-d.heardAt > d.b.quiet {
		d.norm.Step(now)
		wait = 100
	}
	if d.cur != nil && now-d.heardAt > d.b.quiet {
		d.avoid[d.cur.Peer().Node] = now + 2000
		d.cur.Drop() // down() turns to another
	}
	if d.cur == nil || d.stale >= 2 {
		d.pick(now)
		wait = 50
	} else if now >= d.betterAt {
		d.betterAt = now + 1000
		best, held := d.replicas(), false
		for _, r := range best {
			held = held || r.Addr == d.cur.Peer().Node && r.Zone == d.self.Zone
		}
		if !held && len(best) > 0 {
			d.pick(now)
		}
	}
	for _, x := range d.calls {
		switch {
		case now >= x.end:
			delete(d.calls, x.req.ID)
			if x.c != nil {
				x.c.calls--
				cause := cUnknown
				if x.tries == 0 {
					cause = cRetry
				}
				x.c.put(reject(nil, wPublish, x.topic, x.seq, cause))
			}
		case x.tries > 0 && !x.queued && now-x.sent >= d.b.resend:
			d.queue(x)
		}
	}
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
	on := !d.leaving && d.config.Release > 0 && (d.cur != nil || d.ready.On() && now-d.lostAt < d.b.quiet) && len(d.norm0().Shards) > 0 && len(d.leads) >= len(d.norm0().Shards)
	if on != d.ready.On() {
		d.ready.Set(on)
		unit.Log("readiness", "ready", on)
	}
	wait = min(wait, d.kin.Step(now)-now)
	return max(wait, 1).Span()
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
		if now-x.at > d.b.joinWait {
			delete(d.counts, k)
			x.c.put(reject(nil, wCensus, x.topic, 0, cRetry))
		}
	}
	for _, c := range d.conns {
		if now-c.heard > d.b.silence {
			c.end()
		}
	}
}

// Stop drains: clients are sent to other edges, their calls are answered, and
// the process ends within the drain time.
func (d *Daemon) Stop() {
	until := time.Now().Add(time.Duration(d.set.DrainMs) * time.Millisecond * 8 / 10)
	d.actor.Do(func() {
		d.leaving = true
		d.ready.Set(false)
		if at := d.norm.At(); at != "" {
			d.hub.Send(at, rule.KindLeave, rule.Leave{Addr: d.self.Addr, Life: d.self.Life})
		}
	})
	var near, far []string
	ask := make(chan struct{})
	d.actor.Do(func() {
		for _, n := range d.norm0().Nodes {
			if n.Duty != rule.Edge || n.Gone || n.Addr == d.self.Addr {
				continue
			}
			if n.Zone == d.self.Zone {
				near = append(near, n.Front)
			} else {
				far = append(far, n.Front)
			}
		}
		close(ask)
	})
	<-ask
	if len(near) == 0 {
		near = far
	}
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	turn := 0
	for began := time.Now(); time.Now().Before(until); time.Sleep(40 * time.Millisecond) {
		left := make(chan int, 1)
		d.actor.Do(func() {
			n := 0
			for _, c := range d.conns {
				if !c.sentOn && (c.calls <= 0 || time.Since(began) > 400*time.Millisecond) {
					c.sentOn = true
					if len(near) == 0 {
						c.endAfter()
					} else {
						c.put([]byte("REDIRECT " + near[turn%len(near)] + "\r\n"))
						turn++
					}
				}
				n++
			}
			left <- n + len(d.calls)
		})
		if <-left == 0 {
			break
		}
	}
	d.actor.Do(func() {
		for _, c := range d.conns {
			c.end()
		}
		if d.cur != nil {
			d.cur.Send(trace.KindBye, trace.Bye{})
		}
	})
	time.Sleep(60 * time.Millisecond)
	d.ln.Close()
	d.ready.Close()
	d.kin.Close()
	d.hub.Close(200 * time.Millisecond)
	d.actor.Stop()
}

// Hup takes over what may change in a running process: whom to ask.
func (d *Daemon) Hup(set *ground.Settings) {
	d.actor.Do(func() { d.norm.Seeds = ground.Norms(set) })
}
