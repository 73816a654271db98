// Package hold is the storage process: replicas of the shards, and the flow of
// their decided order to the edges that follow.
package hold

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"oxbowdeck/internal/accord"
	"oxbowdeck/internal/choir"
	"oxbowdeck/internal/dispatch"
	"oxbowdeck/internal/ground"
	"oxbowdeck/internal/kin"
	"oxbowdeck/internal/lane"
	"oxbowdeck/internal/rule"
	"oxbowdeck/internal/tale"
	"oxbowdeck/internal/trace"
	"oxbowdeck/internal/unit"
	"oxbowdeck/internal/vault"
)

// Daemon is one storage process.
type Daemon struct {
	set       *ground.Settings
	self      rule.Node
	actor     *choir.Actor
	hub       *lane.Hub
	ch        *choir.Choir
	vault     *vault.Vault
	norm      *rule.Client
	shards    map[unit.Group]*shard
	followers map[*lane.Link]*follower
	byEdge    map[unit.Node]*follower
	hearers   map[*lane.Link]unit.Slot // edges this store is the home of, and how new their news are
	watchers  map[unit.Topic]map[*follower]bool
	leads     map[unit.Group]trace.Lead
	pulseAt   unit.Millis
	pulse     unit.Millis // how often followers hear that this replica lives
	dutyAt    unit.Millis
	roomAt    unit.Millis
	kept      unit.Slot                   // how new the news on the disk are
	strange   map[tale.Holder]unit.Millis // seats of lives the news do not name
	idle      map[unit.Group]unit.Millis  // replicas this store is no longer to hold
	leaving   bool
	full      bool // disk or memory is nearly full: nothing new is taken
	diskTight bool
	kin       *kin.Watch
	queue     *dispatch.Host // of a deployment that takes in messages
}

type shard struct {
	d     *Daemon
	group unit.Group
	state *tale.State
}

type follower struct {
	link   *lane.Link
	edge   unit.Node
	groups map[unit.Group]bool
	topics map[unit.Topic]bool
	flow   trace.Flow
}

// Conf gives a shard group's bounds. docs/design.md tells which defaults were
// chosen by measurement, and which were not varied yet.
func Conf(set *ground.Settings, g unit.Group, self accord.Member) accord.Conf {
	return accord.Conf{
		Group: g, Self: self,
		Wnd:        set.Int("wnd", 8),
		WndBytes:   set.Int("wnd_kb", 512) << 10,
		Bsz:        set.Int("bsz_kb", 64) << 10,
		Delta:      unit.Millis(set.Int("batch_ms", 12)),
		Beat:       unit.Millis(set.Int("beat_ms", 80)),
		Patience:   unit.Millis(set.Int("patience_ms", 300)),
		Stagger:    unit.Millis(set.Int("stagger_ms", 80)),
		OpenBytes:  set.Int("open_kb", 2048) << 10,
		FeedBytes:  set.Int("feed_kb", 128) << 10,
		Impatience: unit.Millis(set.Int("impatience_ms", 30)),
		Nudge:      unit.Millis(set.Int("nudge_ms", 30)),
		Slow:       unit.Millis(set.Int("slow_ms", 150)),
	}
}

// Bounds gives what a shard's state may hold.
func Bounds(set *ground.Settings) tale.Bounds {
	return tale.Bounds{
		Slack:   unit.Millis(set.Int("keep_slack_ms", 15000)),
		Resend:  unit.Millis(set.ResendS*1000) * 3,
		Marks:   set.Int("marks", 100000),
		Topics:  set.Int("topics", 50000),
		Live:    unit.Millis(set.Int("live_keep_ms", 8000)),
		SweepMs: 1000,
	}
}

// Start opens the disk, enrols and serves. A disk that refuses is waited for,
// until the context ends.
func Start(ctx context.Context, set *ground.Settings) (*Daemon, error) {
	d := &Daemon{set: set, actor: choir.NewActor(2048), shards: map[unit.Group]*shard{},
		followers: map[*lane.Link]*follower{}, byEdge: map[unit.Node]*follower{}, hearers: map[*lane.Link]unit.Slot{}, strange: map[tale.Holder]unit.Millis{},
		idle: map[unit.Group]unit.Millis{}, watchers: map[unit.Topic]map[*follower]bool{}, leads: map[unit.Group]trace.Lead{}}
	var err error
	if set.Kind == ground.Queue {
		d.vault, err = vault.OpenBulk(ctx, set.DataDir)
	} else {
		d.vault, err = vault.Open(ctx, set.DataDir, false)
	}
	if err != nil {
		return nil, err
	}
	d.vault.Failed = ground.Fatal
	var disk uint64
	found, err := d.vault.Get("disk", &disk)
	if err != nil {
		return nil, err
	}
	if !found {
		disk = rand.Uint64() >> 1
		if err := d.vault.Put("disk", disk); err != nil {
			return nil, err
		}
	}
	if err := d.vault.Put("kind", set.Kind); err != nil { // for who reads the directory offline
		return nil, err
	}
	addr := set.Inner(ground.PortStore)
	d.self = rule.Node{Name: set.Name, Duty: rule.Store, Zone: set.Zone, Addr: addr, Disk: disk, Life: unit.Life(rand.Uint64() >> 1)}
	d.hub = lane.New(lane.Hello{Node: addr, Life: d.self.Life}, ground.LaneBounds(set), d.frame, d.down)
	d.ch = &choir.Choir{Actor: d.actor, Hub: d.hub, Vault: d.vault, Kind: trace.KindGroup, SnapKind: trace.KindSnap,
		TailAt: set.Int("log_tail_kb", 2048) << 10, SnapAt: set.Int("snapshot_kb", 8<<10) << 10, Parts: map[unit.Group]*choir.Part{}, Failed: ground.Fatal, OnLead: d.onLead}
	d.norm = &rule.Client{Hub: d.hub, Self: d.self, Seeds: ground.Norms(set), OnNews: d.onNews, Quiet: unit.Millis(set.Int("news_quiet_ms", 1500))}
	d.pulse = unit.Millis(set.Int("pulse_ms", 100))
	if set.Kind == ground.Queue {
		d.queue = d.messages() // bodies come deflated: the links need not do it again
	} else {
		d.hub.Far = d.norm.Far
	}
	var news rule.News
	if found, err := d.vault.Get("news", &news); err != nil {
		return nil, err
	} else if found { // serve under the last news before norm answers
		d.norm.Begin(&news)
		if d.queue != nil {
			d.queue.News(&news, unit.Steady())
		}
		if err := d.place(&news); err != nil {
			return nil, err
		}
	}
	d.kin, err = ground.Kin(set, d.self, d.actor.Do, func(n unit.Node, life unit.Life) {
		d.norm.Tell(rule.KindMissing, rule.Leave{Addr: n, Life: life, By: addr})
	})
	if err != nil {
		return nil, err
	}
	if err := d.hub.Listen(string(addr)); err != nil {
		return nil, err
	}
	go d.actor.Run(d.step)
	unit.Log("store-started", "node", set.Name, "addr", addr, "disk", disk, "shards", len(d.ch.Parts))
	return d, nil
}

// open starts the replicas this store holds.
func (d *Daemon) open(shards []rule.Shard) error {
	for _, sh := range shards {
		g := sh.Group
		me, held := accord.Member{}, false
		for _, list := range [][]accord.Member{sh.Voters, sh.Learners} {
			for _, m := range list {
				if m.Node == d.self.Addr {
					me, held = m, true
				}
			}
		}
		p := d.ch.Parts[g]
		if p == nil && held {
			var s *shard
			var m choir.Machine
			if d.queue != nil {
				m = d.queue.Open(g)
			} else {
				s = &shard{d: d, group: g, state: tale.New(Bounds(d.set))}
				m = s
			}
			var err error
			if p, err = d.ch.Open(Conf(d.set, g, me), sh.Founders, m); errors.Is(err, vault.ErrBusy) {
				continue // tried again with the next duties
			} else if err != nil {
				return err
			}
			if s != nil {
				d.shards[g] = s
			}
		}
		if p == nil {
			continue
		}
		if held {
			delete(d.idle, g)
			p.Core.SetSelf(me.Num)
		} else if d.idle[g] == 0 {
			d.idle[g] = unit.Steady()
		}
		p.Core.SetLearners(append(append([]accord.Member(nil), sh.Learners...), sh.Voters...))
	}
	return nil
}

// closeAfter is far longer than news may lag at a leader that changes seats.
const closeAfter = unit.Millis(10000)

// close ends the replicas this store is no longer to hold: once the membership
// wanted, without it, is reported to be in force and has been for a while: each
// of its members then holds all that was decided before. What this replica
// accepted as a voter is needed until then.
func (d *Daemon) close(now unit.Millis) {
	for g, at := range d.idle {
		p := d.ch.Parts[g]
		if p == nil {
			delete(d.idle, g)
			continue
		}
		n := d.norm.News
		if now-at < closeAfter || !d.norm.Told(now) || p.Core.Role() == accord.Leader || int(g) >= len(n.Shards) {
			continue
		}
		if sh := n.Shards[g]; accord.Holds(sh.Seats, d.self.Addr) || !accord.Same(sh.Seats, sh.Voters) {
			d.idle[g] = now
			continue
		}
		unit.Log("replica-closed", "group", g)
		for _, f := range d.followers {
			d.unfollow(f, g)
			f.link.Send(trace.KindBye, trace.Bye{Groups: []unit.Group{g}})
		}
		d.ch.Close(g)
		if d.queue != nil {
			d.queue.Close(g)
		}
		delete(d.shards, g)
		delete(d.leads, g)
		delete(d.idle, g)
	}
}

// place takes up what the news say this store is to hold. Its disk's number in
// a group is given with its enrolment: before, a placement that names this
// address speaks of the disk that was here earlier.
func (d *Daemon) place(n *rule.News) error {
	if me := n.Find(d.self.Addr); me != nil && me.Disk == d.self.Disk {
		return d.open(n.Shards)
	}
	return nil
}

func (d *Daemon) onNews(n *rule.News) {
	now := unit.Steady()
	d.kin.Nodes(n.Nodes, now)
	d.dutyAt = min(d.dutyAt, now+20) // take a change up at once
	unit.Log("news", "seq", n.Seq, "release", n.Release, "nodes", len(n.Nodes), "shards", len(n.Shards))
	if d.queue != nil {
		d.queue.News(n, now)
	}
	news := rule.Sheaf{News: n.ForEdges()}
	for l, seq := range d.hearers {
		d.hearers[l] = news.Give(l, seq)
	}
}

func (d *Daemon) onLead(g unit.Group, b unit.Ballot, n unit.Node) {
	l := trace.Lead{Group: g, Epoch: b, Node: n}
	d.leads[g] = l
	unit.Log("leader", "group", g, "epoch", b.Round(), "node", n)
	for _, f := range d.followers {
		f.link.Send(trace.KindLead, l)
	}
}

// Apply, Save and Load make a shard the group's machine.
func (s *shard) Apply(x accord.Decided) {
	s.state.Apply(x, func(e tale.Event) {
		if e.Verdict == tale.Fresh {
			for f := range s.d.watchers[e.Cmd.Topic] {
				f.flow.Items = append(f.flow.Items, trace.Item{Topic: e.Cmd.Topic, Pos: e.Pos, Client: e.Cmd.Client, Seq: e.Cmd.Seq, Body: e.Cmd.Body})
			}
		}
		if f := s.d.byEdge[e.Cmd.Edge]; f != nil && f.groups[s.group] {
			f.flow.Outcomes = append(f.flow.Outcomes, trace.Outcome{ID: e.ID, Verdict: e.Verdict})
		}
	})
}

func (s *shard) Size() int { return s.state.Bytes() }

func (s *shard) Clock() unit.Millis { return s.state.Clock() }

func (s *shard) Save() ([]byte, error) { return s.state.Save() }

// Load takes a snapshot. Followers must begin again: what it skips was not
// flowed to them.
func (s *shard) Load(b []byte) error {
	if err := s.state.Load(b); err != nil {
		return err
	}
	for _, f := range s.d.followers {
		if f.groups[s.group] {
			s.d.unfollow(f, s.group)
			f.link.Send(trace.KindBye, trace.Bye{Groups: []unit.Group{s.group}})
		}
	}
	return nil
}

func (f *follower) flush() {
	if len(f.flow.Items)+len(f.flow.Outcomes) > 0 {
		f.link.Send(trace.KindFlow, f.flow)
		f.flow = trace.Flow{}
	}
}

func (d *Daemon) down(l *lane.Link) {
	d.actor.Do(func() {
		delete(d.hearers, l)
		if f := d.followers[l]; f != nil {
			for g := range f.groups {
				d.unfollow(f, g)
			}
		}
		d.ch.Down(l.Peer().Node)
	})
}

// unfollow ends a link's following of a group.
func (d *Daemon) unfollow(f *follower, g unit.Group) {
	delete(f.groups, g)
	for t := range f.topics {
		if d.groupOf(t) == g {
			d.unwatch(f, t)
		}
	}
	if len(f.groups) == 0 {
		delete(d.followers, f.link)
		if d.byEdge[f.edge] == f {
			delete(d.byEdge, f.edge)
		}
	}
}

func (d *Daemon) unwatch(f *follower, t unit.Topic) {
	delete(f.topics, t)
	delete(d.watchers[t], f)
	if len(d.watchers[t]) == 0 {
		delete(d.watchers, t)
	}
}

func (d *Daemon) frame(l *lane.Link, k lane.Kind, b []byte) {
	from := l.Peer().Node
	d.actor.Do(func() {
		if d.ch.Frame(from, k, b) || d.norm.Frame(from, k, b, unit.Steady()) || d.queue != nil && d.queue.Frame(l, k, b) {
			return
		}
		f := d.followers[l]
		switch k {
		case trace.KindFollow:
			if x, ok := lane.Get[trace.Follow](b); ok {
				d.follow(l, x)
			}
		case trace.KindPropose:
			if x, ok := lane.Get[trace.Propose](b); ok {
				d.propose(l, x)
			}
		case trace.KindBye:
			if x, ok := lane.Get[trace.Bye](b); ok && f != nil {
				for _, g := range x.Groups {
					d.unfollow(f, g)
				}
			}
		case trace.KindWatch:
			if x, ok := lane.Get[trace.Watch](b); ok && f != nil {
				d.watch(f, x)
			}
		case trace.KindUnwatch:
			if x, ok := lane.Get[trace.Unwatch](b); ok && f != nil {
				d.unwatch(f, x.Topic)
			}
		case trace.KindHear:
			if x, ok := lane.Get[trace.Hear](b); ok {
				d.hear(l, x)
			}
		case trace.KindPing:
			if x, ok := lane.Get[trace.Ping](b); ok {
				l.Send(trace.KindPong, x)
			}
		case trace.KindCount:
			if x, ok := lane.Get[trace.Count](b); ok && f != nil {
				if s := d.shardOf(x.Topic); s != nil {
					l.Send(trace.KindCounted, trace.Counted{Req: x.Req, N: s.state.Count(x.Topic)})
				}
			}
		}
	})
}

func (d *Daemon) groupOf(t unit.Topic) unit.Group {
	n := d.norm.News
	if n == nil {
		return 0
	}
	return unit.GroupOf(t, max(1, len(n.Shards)))
}

func (d *Daemon) shardOf(t unit.Topic) *shard { return d.shards[d.groupOf(t)] }

// fresh tells whether the replica of a group here has what its leader says is
// decided.
func (d *Daemon) fresh(now unit.Millis, g unit.Group) bool {
	p := d.ch.Parts[g]
	return p != nil && !d.leaving && d.norm.News != nil && d.idle[g] == 0 && p.Core.Fresh(now)
}

func (d *Daemon) follow(l *lane.Link, x trace.Follow) {
	ready := d.fresh(unit.Steady(), x.Group)
	f := d.followers[l]
	if f != nil {
		f.flush()
		d.unfollow(f, x.Group)
	}
	l.Send(trace.KindFollowed, trace.Followed{Group: x.Group, Ready: ready})
	if !ready {
		return
	}
	if f == nil || d.followers[l] == nil {
		f = &follower{link: l, edge: x.Edge, topics: map[unit.Topic]bool{}, groups: map[unit.Group]bool{}}
		d.followers[l], d.byEdge[x.Edge] = f, f
	}
	f.groups[x.Group] = true
	for _, lead := range d.leads {
		l.Send(trace.KindLead, lead)
	}
}

// hear makes this store the home of an edge, or ends that. An edge has one home,
// however many stores it follows, so each change reaches it once.
func (d *Daemon) hear(l *lane.Link, x trace.Hear) {
	if x.Off {
		delete(d.hearers, l)
		return
	}
	d.hearers[l] = x.Seq
	if n := d.norm.News; n != nil {
		d.hearers[l] = (&rule.Sheaf{News: n.ForEdges()}).Give(l, x.Seq)
	}
	d.beat(unit.Steady(), []*lane.Link{l})
}

// beat shows edges that this store lives, and what it is good for.
func (d *Daemon) beat(now unit.Millis, to []*lane.Link) {
	p := trace.Pulse{Told: d.norm.Told(now)}
	if n := d.norm.News; n != nil {
		p.Seq = n.Seq
	}
	for g := range d.ch.Parts {
		if !d.fresh(now, g) {
			p.Stale = append(p.Stale, g)
		}
	}
	if b, err := cbor.Marshal(p); err == nil {
		for _, l := range to {
			l.SendRaw(trace.KindBeat, b)
		}
	}
}

func (d *Daemon) watch(f *follower, x trace.Watch) {
	s := d.shardOf(x.Topic)
	if s == nil || !f.groups[s.group] {
		return // a following that ended: the edge asks elsewhere
	}
	f.flush() // what was decided before this answer goes before it
	j := trace.Joined{Req: x.Req, Topic: x.Topic, End: s.state.End()}
	if x.Has {
		items, ok := s.state.After(x.Topic, x.From)
		if !ok && x.Keeps {
			j.Expired = true
		} else {
			j.Items = items
		}
	}
	if !j.Expired {
		f.topics[x.Topic] = true
		if d.watchers[x.Topic] == nil {
			d.watchers[x.Topic] = map[*follower]bool{}
		}
		d.watchers[x.Topic][f] = true
	}
	f.link.Send(trace.KindJoined, j)
}

func (d *Daemon) propose(l *lane.Link, x trace.Propose) {
	deny := trace.Deny{Group: x.Group}
	var known []trace.Outcome
	for _, r := range x.Reqs {
		if x.Again {
			if v, ok := d.decided(x.Group, r); ok {
				known = append(known, trace.Outcome{ID: r.ID, Verdict: v})
				continue
			}
		}
		err := accord.ErrFull
		if !d.full {
			err = d.ch.Submit(x.Group, r, x.Urgent)
		}
		if err != nil {
			deny.Full = errors.Is(err, accord.ErrFull)
			deny.IDs = append(deny.IDs, r.ID)
		}
	}
	if len(deny.IDs) > 0 {
		l.Send(trace.KindDeny, deny)
	}
	if len(known) > 0 {
		l.Send(trace.KindKnown, trace.Flow{Outcomes: known})
	}
}

// decided looks a call that is forwarded again up in the state applied here:
// its outcome may be on the way to the edge, behind a packet that was lost.
func (d *Daemon) decided(g unit.Group, r accord.Request) (tale.Verdict, bool) {
	s := d.shards[g]
	var c tale.Command
	if s == nil || cbor.Unmarshal(r.Data, &c) != nil || c.Verb != tale.Publish {
		return 0, false
	}
	return s.state.Known(c.Client, c.Topic, c.Seq)
}

func (d *Daemon) step() time.Duration {
	now := unit.Steady()
	wait := d.ch.Step()
	for _, f := range d.followers {
		f.flush()
	}
	d.norm.Step(now)
	if d.queue != nil {
		wait = min(wait, (d.queue.Step(now) - now).Span())
	}
	if now >= d.pulseAt {
		d.pulseAt = now + d.pulse
		to := slices.Collect(maps.Keys(d.followers))
		for l := range d.hearers {
			if d.followers[l] == nil {
				to = append(to, l)
			}
		}
		d.beat(now, to)
	}
	if now >= d.roomAt {
		d.roomAt = now + 1000
		d.room()
	}
	if now >= d.dutyAt {
		d.dutyAt = now + 500
		d.duties(now)
		d.close(now)
	}
	return min(wait, (d.pulseAt - now).Span(), (d.dutyAt - now).Span(), (d.kin.Step(now) - now).Span())
}

// room watches disk and memory. Past 85% of the disk nothing new is taken until
// snapshots and compaction bring it below 75%; past 45% of the memory (live
// objects; the collector needs the rest) until history ages out to 40%.
func (d *Daemon) room() {
	was := d.diskTight
	if d.diskTight = d.set.DiskTight(was); d.diskTight {
		d.ch.Squeeze()
	}
	if d.diskTight && !was {
		unit.Log("disk-near-full", "limit_mb", d.set.DiskMB)
	}
	memory := ground.Tight(ground.Heap(), int64(d.set.MemoryMB)<<20, 45, 40, d.full)
	if memory {
		unit.Log("memory-near-full", "limit_mb", d.set.MemoryMB)
	}
	d.full = d.diskTight || memory
}

// duties are done by each group's leader, under its epoch.
func (d *Daemon) duties(now unit.Millis) {
	n := d.norm.News
	if n == nil {
		return
	}
	if d.kept != n.Seq {
		d.kept = n.Seq
		d.vault.Keep("news", n)
	}
	if err := d.place(n); err != nil {
		ground.Fatal(err)
	}
	for g, p := range d.ch.Parts {
		if p.Core.Role() != accord.Leader || int(g) >= len(n.Shards) {
			continue
		}
		d.strike(now, g, n)
		d.report(now, g, &n.Shards[g])
		if p.Core.Settled() && !accord.Holds(p.Core.Seats(), d.self.Addr) {
			p.Core.Yield(now) // emptied: the duty goes to a member
			continue
		}
		if p.Core.Settled() {
			p.Core.Cede(now)
		}
		if !d.norm.Told(now) {
			continue // an old placement must not bring a seat back that was given up since
		}
		next := accord.Next(p.Core.Seats(), n.Shards[g].Voters, func(m unit.Num) bool { return p.Core.Heard(now, m, 1000) })
		if next != nil && p.Core.Reseat(now, next) == nil {
			unit.Log("reseat", "group", g, "seats", len(next))
		}
	}
}

// strike empties the seats of edge lives that ended: those the news call gone,
// and those the news have not named for a while.
func (d *Daemon) strike(now unit.Millis, g unit.Group, n *rule.News) {
	if d.shards[g] == nil {
		return // no topics, no seats
	}
	for _, h := range d.shards[g].state.Edges() {
		e := n.Find(h.Edge)
		if e != nil && e.Life == h.Life && !e.Gone {
			delete(d.strange, h)
			continue
		}
		if e == nil || e.Life != h.Life {
			if d.strange[h] == 0 {
				d.strange[h] = now
			}
			if now-d.strange[h] < 3000 {
				continue // perhaps it began just now, and is not agreed yet
			}
		}
		cmd, err := cbor.Marshal(tale.Command{Verb: tale.Gone, Edge: h.Edge, Life: h.Life})
		if err == nil {
			d.ch.Submit(g, accord.Request{ID: accord.ID{Origin: "gone/" + string(h.Edge), Seq: uint64(h.Life)}, Data: cmd}, false)
		}
	}
	if len(d.strange) > 4096 {
		clear(d.strange)
	}
}

// report tells the control plane what this group's leader knows of its replicas,
// again and again: which members are silent, which followers are level, and the
// membership in force once each of its members is level.
func (d *Daemon) report(now unit.Millis, g unit.Group, sh *rule.Shard) {
	core := d.ch.Parts[g].Core
	b, _ := core.Lead()
	v := rule.Vacant{Group: g, Epoch: b}
	for _, m := range sh.Voters {
		if core.Silent(now, m.Num) >= unit.Millis(d.set.Int("silent_ms", 1500)) {
			v.Silent = append(v.Silent, m)
		}
	}
	for _, m := range sh.Learners {
		if core.Level(m.Num) && core.Heard(now, m.Num, 1000) {
			v.Ready = append(v.Ready, m)
		}
	}
	d.norm.Tell(rule.KindVacant, v)
	if core.Settled() && !accord.Same(sh.Seats, core.Seats()) {
		d.norm.Tell(rule.KindSeated, rule.Seated{Group: g, Epoch: b, Seats: append([]accord.Member(nil), core.Seats()...)})
	}
}

// Stop hands leaderships over, sends the followers on, and ends.
func (d *Daemon) Stop() {
	d.actor.Do(func() {
		d.leaving = true
		d.ch.Leave()
	})
	for i := 0; i < 40; i++ {
		lead := make(chan bool, 1)
		d.actor.Do(func() { lead <- d.ch.Leads() })
		if !<-lead {
			break
		}
		time.Sleep(15 * time.Millisecond)
	}
	d.finish()
	done := make(chan struct{})
	d.actor.Do(func() {
		for l, f := range d.followers {
			f.flush()
			l.Send(trace.KindBye, trace.Bye{Groups: slices.Collect(maps.Keys(f.groups))})
		}
		d.ch.Mark()
		close(done)
	})
	<-done
	time.Sleep(50 * time.Millisecond)
	d.kin.Close()
	d.hub.Close(200 * time.Millisecond)
	d.actor.Stop()
	d.vault.Close()
}

// Hup takes over what may change in a running process: whom to ask.
func (d *Daemon) Hup(set *ground.Settings) {
	d.actor.Do(func() { d.norm.Seeds = ground.Norms(set) })
}
