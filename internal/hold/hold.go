// Package hold is the storage process: replicas of the shards, and the flow of
// their decided order to the edges that follow.
package hold

import (
	"errors"
	"math/rand/v2"
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
	watchers  map[unit.Topic]map[*follower]bool
	leads     map[unit.Group]trace.Lead
	pulseAt   unit.Millis
	dutyAt    unit.Millis
	leaving   bool
	full      bool // the disk is nearly full: nothing new is taken
	kin       *kin.Watch
}

type shard struct {
	d     *Daemon
	state *tale.State
}

type follower struct {
	link   *lane.Link
	edge   unit.Node
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
		Beat:       unit.Millis(set.Int("beat_ms", 100)),
		Patience:   unit.Millis(set.Int("patience_ms", 400)),
		Stagger:    unit.Millis(set.Int("stagger_ms", 100)),
		OpenBytes:  set.Int("open_kb", 2048) << 10,
		FeedBytes:  set.Int("feed_kb", 256) << 10,
		Impatience: unit.Millis(set.Int("impatience_ms", 30)),
		Nudge:      unit.Millis(set.Int("nudge_ms", 30)),
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

// Start opens the disk, enrols and serves.
func Start(set *ground.Settings) (*Daemon, error) {
	d := &Daemon{set: set, actor: choir.NewActor(2048), shards: map[unit.Group]*shard{},
		followers: map[*lane.Link]*follower{}, watchers: map[unit.Topic]map[*follower]bool{}, leads: map[unit.Group]trace.Lead{}}
	var err error
	if d.vault, err = vault.Open(set.DataDir, false); err != nil {
		return nil, err
	}
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
	addr := set.Inner(ground.PortStore)
	d.self = rule.Node{Name: set.Name, Duty: rule.Store, Zone: set.Zone, Addr: addr, Disk: disk, Life: unit.Life(rand.Uint64() >> 1)}
	d.hub = lane.New(lane.Hello{Node: addr, Life: d.self.Life}, ground.LaneBounds(set), d.frame, d.down)
	d.ch = &choir.Choir{Actor: d.actor, Hub: d.hub, Vault: d.vault, Kind: trace.KindGroup, SnapKind: trace.KindSnap,
		TailAt: set.Int("log_tail_kb", 6144) << 10, SnapAt: set.Int("snapshot_kb", 8<<10) << 10, Parts: map[unit.Group]*choir.Part{}, Failed: ground.Fatal, OnLead: d.onLead}
	d.norm = &rule.Client{Hub: d.hub, Self: d.self, Seeds: ground.Norms(set), OnNews: d.onNews, Quiet: unit.Millis(set.Int("news_quiet_ms", 1500))}
	d.hub.Far = d.norm.Far
	var shards []rule.Shard
	if _, err := d.vault.Get("shards", &shards); err != nil {
		return nil, err
	}
	if len(shards) > 0 { // serve before norm answers: the groups know their own members
		if err := d.open(shards); err != nil {
			return nil, err
		}
	}
	d.kin, err = ground.Kin(set, d.self, d.actor.Do, func(n unit.Node, life unit.Life) {
		if at := d.norm.At(); at != "" {
			d.hub.Send(at, rule.KindMissing, rule.Leave{Addr: n, Life: life})
		}
	})
	if err != nil {
		return nil, err
	}
	if err := d.hub.Listen(string(addr)); err != nil {
		return nil, err
	}
	go d.actor.Run(d.step)
	unit.Log("store-started", "node", set.Name, "addr", addr, "disk", disk, "shards", len(d.shards))
	return d, nil
}

// open starts the replicas this store holds.
func (d *Daemon) open(shards []rule.Shard) error {
	for i, sh := range shards {
		g := unit.Group(i)
		me, held := accord.Member{}, false
		for _, list := range [][]accord.Member{sh.Voters, sh.Learners} {
			for _, m := range list {
				if m.Node == d.self.Addr {
					me, held = m, true
				}
			}
		}
		if !held {
			continue
		}
		p := d.ch.Parts[g]
		if p == nil {
			s := &shard{d: d, state: tale.New(Bounds(d.set))}
			d.shards[g] = s
			var err error
			if p, err = d.ch.Open(Conf(d.set, g, me), sh.Founders, s); err != nil {
				return err
			}
		}
		p.Core.SetSelf(me.Num)
		p.Core.SetLearners(append(append([]accord.Member(nil), sh.Learners...), sh.Voters...))
	}
	return nil
}

func (d *Daemon) onNews(n *rule.News) {
	d.kin.Nodes(n.Nodes, unit.Steady())
	if me := n.Find(d.self.Addr); me != nil && me.Gone && !d.leaving {
		d.norm.Turn(unit.Steady()) // declared lost, yet alive: enrol again
	}
	if len(n.Shards) > 0 {
		if len(d.shards) == 0 {
			if err := d.vault.Put("shards", n.Shards); err != nil {
				ground.Fatal(err)
			}
		}
		if err := d.open(n.Shards); err != nil {
			ground.Fatal(err)
		}
	}
	unit.Log("news", "seq", n.Seq, "release", n.Release, "nodes", len(n.Nodes), "shards", len(n.Shards))
	if b, err := cbor.Marshal(n); err == nil {
		for l := range d.followers {
			l.SendRaw(rule.KindNews, b)
		}
	}
}

func (d *Daemon) onLead(g unit.Group, b unit.Ballot, n unit.Node) {
	l := trace.Lead{Group: g, Epoch: b, Node: n}
	d.leads[g] = l
	unit.Log("leader", "group", g, "epoch", b.Round(), "node", n)
	for f := range d.followers {
		f.Send(trace.KindLead, l)
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
		for _, f := range s.d.followers {
			if f.edge == e.Cmd.Edge {
				f.flow.Outcomes = append(f.flow.Outcomes, trace.Outcome{ID: e.ID, Verdict: e.Verdict})
			}
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
	for l := range s.d.followers {
		s.d.unfollow(l)
		l.Drop()
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
		d.unfollow(l)
		d.ch.Down(l.Peer().Node)
	})
}

func (d *Daemon) unfollow(l *lane.Link) {
	f := d.followers[l]
	if f == nil {
		return
	}
	delete(d.followers, l)
	for t := range f.topics {
		d.unwatch(f, t)
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
		if d.ch.Frame(from, k, b) || d.norm.Frame(from, k, b, unit.Steady()) {
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
			d.unfollow(l)
		case trace.KindWatch:
			if x, ok := lane.Get[trace.Watch](b); ok && f != nil {
				d.watch(f, x)
			}
		case trace.KindUnwatch:
			if x, ok := lane.Get[trace.Unwatch](b); ok && f != nil {
				d.unwatch(f, x.Topic)
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

func (d *Daemon) shardOf(t unit.Topic) *shard {
	if len(d.shards) == 0 {
		return nil
	}
	return d.shards[unit.GroupOf(t, len(d.shards))]
}

// fresh tells whether every replica here has what its leader says is decided.
func (d *Daemon) fresh(now unit.Millis) bool {
	if len(d.shards) == 0 || d.leaving || d.norm.News == nil {
		return false
	}
	for _, p := range d.ch.Parts {
		if !p.Core.Fresh(now) {
			return false
		}
	}
	return true
}

func (d *Daemon) follow(l *lane.Link, x trace.Follow) {
	ready := d.fresh(unit.Steady())
	l.Send(trace.KindFollowed, trace.Followed{Ready: ready})
	if !ready {
		return
	}
	d.unfollow(l)
	d.followers[l] = &follower{link: l, edge: x.Edge, topics: map[unit.Topic]bool{}}
	if d.norm.News != nil {
		l.Send(rule.KindNews, d.norm.News)
	}
	for _, lead := range d.leads {
		l.Send(trace.KindLead, lead)
	}
}

func (d *Daemon) watch(f *follower, x trace.Watch) {
	s := d.shardOf(x.Topic)
	if s == nil {
		return
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
	if now >= d.pulseAt {
		d.pulseAt = now + 400
		p := rule.Pulse{Fresh: d.fresh(now)}
		if d.norm.News != nil {
			p.Seq = d.norm.News.Seq
		}
		for l := range d.followers {
			l.Send(rule.KindPulse, p)
		}
	}
	if now >= d.dutyAt {
		d.dutyAt = now + 1000
		d.room()
		d.duties(now)
	}
	return min(wait, (d.pulseAt - now).Span(), (d.dutyAt - now).Span(), (d.kin.Step(now) - now).Span())
}

// room watches disk and memory. Past 85% of the disk nothing new is taken until
// snapshots and compaction bring it below 75%; past 45% of the memory (live
// objects; the collector needs the rest) until history ages out to 40%.
func (d *Daemon) room() {
	disk := tight(vault.Size(d.set.DataDir), int64(d.set.DiskMB)<<20, 85, 75, d.full)
	if disk {
		d.ch.Squeeze()
		unit.Log("disk-near-full", "limit_mb", d.set.DiskMB)
	}
	memory := tight(ground.Heap(), int64(d.set.MemoryMB)<<20, 45, 40, d.full)
	if memory {
		unit.Log("memory-near-full", "limit_mb", d.set.MemoryMB)
	}
	d.full = disk || memory
}

// tight tells whether a bound is near: above high percent of it, and then until
// low percent.
func tight(used, limit int64, high, low int64, was bool) bool {
	return limit > 0 && (used*100 > limit*high || was && used*100 > limit*low)
}

// duties are done by each group's leader, under its epoch.
func (d *Daemon) duties(now unit.Millis) {
	n := d.norm.News
	if n == nil {
		return
	}
	for g, p := range d.ch.Parts {
		if p.Core.Role() != accord.Leader || int(g) >= len(n.Shards) {
			continue
		}
		for _, h := range d.shards[g].state.Edges() {
			if e := n.Find(h.Edge); e != nil && (e.Life != h.Life || e.Gone) {
				cmd, err := cbor.Marshal(tale.Command{Verb: tale.Gone, Edge: h.Edge, Life: h.Life})
				if err == nil {
					d.ch.Submit(g, accord.Request{ID: accord.ID{Origin: "gone/" + string(h.Edge), Seq: uint64(h.Life)}, Data: cmd}, false)
				}
			}
		}
		if b, _ := p.Core.Lead(); p.Core.Settled() {
			r := rule.Seated{Group: g, Epoch: b, Seats: append([]accord.Member(nil), p.Core.Seats()...)}
			if sh := n.Shards[g]; !accord.Same(sh.Seats, r.Seats) && d.norm.At() != "" {
				d.hub.Send(d.norm.At(), rule.KindSeated, r)
			}
		}
		if p.Core.Settled() && !accord.Holds(p.Core.Seats(), d.self.Addr) {
			p.Core.Yield(now) // emptied: the duty goes to a member
			continue
		}
		if p.Core.Settled() {
			p.Core.Cede(now)
		}
		if want := n.Shards[g].Voters; !accord.Same(want, p.Core.Seats()) {
			if err := p.Core.Reseat(now, want); err == nil {
				unit.Log("reseat", "group", g, "seats", len(want))
			}
		}
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
	done := make(chan struct{})
	d.actor.Do(func() {
		for l, f := range d.followers {
			f.flush()
			l.Send(trace.KindBye, trace.Bye{})
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
