package control

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/heartbeat"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/metrics"
	"oxbowdeck/internal/paxos"
	"oxbowdeck/internal/process"
	"oxbowdeck/internal/replication"
	"oxbowdeck/internal/settings"
	"oxbowdeck/internal/storage"
	"oxbowdeck/internal/transport"
)

// Daemon is one control-plane process: the environment of a Control, which owns its
// sockets, clock and disk.
type Daemon struct {
	set      *settings.Settings
	ctl      *Control
	actor    *replication.Actor
	hub      *transport.Hub
	replicas *replication.Manager
	disk     *storage.DB
	detector *heartbeat.Detector
	metrics  *metrics.Control                  // nil where they are off
	config   atomic.Pointer[controlapi.Config] // as it was read last for a status; nil: never
	once     sync.Once

	successors successors // configurations acknowledged here; the actor's

	full   bool // the disk is nearly full: no new configuration is taken here
	roomAt ids.Millis
}

// Rows on the disk. Their names are those of earlier versions.
const (
	rowIdentity = "identity"
	rowGenesis  = "genesis"
	rowKnown    = "norms" // control processes, as last heard
)

// Bounds of what the daemon keeps and waits for.
const (
	actorQueue       = 1024
	logTailBytes     = 1 << 20
	snapshotBytes    = 4 << 20
	diskLookEvery    = ids.Millis(1000)
	leaveOnStopWait  = ids.Millis(400)
	departLookEvery  = 30 * time.Millisecond
	flushLinksWithin = 100 * time.Millisecond
	departShareOfS   = 600 // milliseconds of each second of grace that a departure may take
)

// groupConfig bounds the control group's engine; the daemon's defaults, set by tuning.*.
func groupConfig(set *settings.Settings, self paxos.Member) paxos.Config {
	return paxos.Config{
		Self:              self,
		Window:            8,
		WindowBytes:       4 << 20,
		BatchBytes:        64 << 10,
		BatchTimeout:      ids.Millis(set.Int("norm_batch_ms", 2)),
		HeartbeatInterval: ids.Millis(set.Int("norm_beat_ms", 200)),
		ElectionTimeout:   ids.Millis(set.Int("norm_patience_ms", 700)),
		ElectionBackoff:   150,
		OpenBytes:         8 << 20,
		FeedBytes:         512 << 10,
		DisconnectTimeout: 80,
		RetransmitTimeout: 60,
		QuorumTimeout:     ids.Millis(set.Int("norm_quorum_ms", 3000)),
		ProbeEvery:        1,
		Salt:              rand.N(paxos.MostSalt),
	}
}

// nodeConfig is what the control node is told of the settings.
func nodeConfig(set *settings.Settings, self controlapi.Node) Config {
	return Config{
		Self:             self,
		Losses:           set.Losses,
		Lease:            ids.Millis(set.Int("norm_lease_ms", 1500)),
		Heartbeat:        ids.Millis(set.HeartbeatMs),
		WorkerHeartbeats: set.Int("worker_beats", 4),
		Repeat:           ids.Millis(2 * set.AckMs),
		Replace:          ids.Millis(set.Int("replace_ms", 5000)),
		ControlReplace:   ids.Millis(set.Int("norm_replace_ms", 1500)),
		Shards:           set.Int("shards", 0),
		Queue:            set.Kind == settings.Queue,
		Rand:             func(n int64) int64 { return rand.N(n) },
	}
}

// Start opens the disk, joins the control group and serves its peers. A disk that
// refuses is waited for, until the context ends.
func Start(ctx context.Context, set *settings.Settings) (*Daemon, error) {
	d := &Daemon{set: set, actor: replication.NewActor(actorQueue)}
	addr := set.Inner(settings.PortControl)
	var err error
	if d.disk, err = storage.Open(ctx, set.DataDir, false); err != nil {
		return nil, err
	}
	d.disk.Failed = process.Fatal
	id, genesis, err := d.identity(addr)
	if err != nil {
		return nil, err
	}
	var known []ids.Node
	if _, err := d.disk.Get(rowKnown, &known); err != nil {
		return nil, err
	}
	self := controlapi.Node{
		Name:        set.Name,
		Role:        controlapi.Control,
		Zone:        set.Zone,
		Addr:        addr,
		Front:       set.Control,
		Disk:        id.Disk,
		Incarnation: ids.Incarnation(rand.Uint64() >> 1),
		Num:         id.Num,
	}
	d.metrics = metrics.NewControl(metrics.New(set), d.metricsView)
	conf := nodeConfig(set, self)
	conf.Metrics = d.metrics
	d.ctl = NewControl(conf, d, settings.ControlNodes(set), known)
	hello := transport.Hello{Node: addr, Incarnation: self.Incarnation}
	d.hub = transport.New(hello, settings.TransportBounds(set), d.frame, d.down)
	core, err := d.openReplica(ctx, paxos.Member{ID: id.Num, Node: addr}, genesis)
	if err != nil {
		return nil, err
	}
	d.ctl.Begin(ids.MonotonicNow(), core)
	if err := d.hub.Listen(string(addr)); err != nil {
		return nil, err
	}
	d.detector, err = settings.StartHeartbeats(set, self, d.actor.Do, func(n ids.Node, incarnation ids.Incarnation) {
		d.ctl.Missing(ids.MonotonicNow(), controlapi.Leave{Addr: n, Incarnation: incarnation, By: addr})
	})
	if err != nil {
		return nil, err
	}
	go d.actor.Run(d.step)
	slog.Info("control-started", "node", set.Name, "addr", addr, "num", id.Num, "commit", core.Commit())
	return d, nil
}

// openReplica opens this process's replica of the control group.
func (d *Daemon) openReplica(
	ctx context.Context, self paxos.Member, genesis []paxos.Member,
) (*paxos.Core, error) {
	d.replicas = &replication.Manager{
		Actor:    d.actor,
		Hub:      d.hub,
		Disk:     d.disk,
		Kind:     controlapi.KindControlGroup,
		SnapKind: controlapi.KindControlSnapshot,
		TailAt:   logTailBytes,
		SnapAt:   snapshotBytes,
		Replicas: map[ids.Group]*replication.Replica{},
		Failed:   process.Fatal,
		OnLead: func(_ ids.Group, b ids.Ballot, n ids.Node) {
			slog.Info("control-leader", "epoch", b.Round(), "node", n)
		},
	}
	var replica *replication.Replica
	err := storage.Until(ctx, func() (err error) {
		replica, err = d.replicas.Open(groupConfig(d.set, self), genesis, d.ctl)
		return err
	})
	if err != nil {
		return nil, err
	}
	return replica.Core, nil
}

// Identity is who a control process's disk is.
type Identity struct {
	_    struct{} `cbor:",toarray"`
	Disk uint64
	Num  ids.ReplicaID
}

// identity reads who this disk is, or founds it. A disk that comes back empty
// has no number: it has no vote until the group gives it a new one.
func (d *Daemon) identity(addr ids.Node) (id Identity, genesis []paxos.Member, err error) {
	if _, err = d.disk.Get(rowGenesis, &genesis); err != nil {
		return id, nil, err
	}
	found, err := d.disk.Get(rowIdentity, &id)
	if err != nil || found {
		return id, genesis, err
	}
	id.Disk = rand.Uint64() >> 1
	rows := map[string]any{}
	if d.set.First {
		genesis = founders(d.set)
		for _, m := range genesis {
			if m.Node == addr {
				id.Num = m.ID
			}
		}
		rows[rowGenesis] = genesis
	}
	rows[rowIdentity] = id
	return id, genesis, d.disk.PutAll(rows)
}

// founders are the members of the first start: the seeds of the settings, numbered in
// the order of their addresses.
func founders(set *settings.Settings) (members []paxos.Member) {
	var hosts []string
	for _, seed := range set.Seeds {
		hosts = append(hosts, settings.HostOf(seed))
	}
	slices.Sort(hosts)
	for i, host := range slices.Compact(hosts) {
		node := settings.InnerOf(host, set.Ports, settings.PortControl)
		members = append(members, paxos.Member{ID: ids.ReplicaID(i + 1), Node: node})
	}
	return members
}

// Send queues a frame to a peer. With Submit, Keep, Ring and Log it makes the daemon
// its control node's Environment.
func (d *Daemon) Send(to ids.Node, k transport.Kind, v any) bool { return d.hub.To(to).Send(k, v) }

// Submit hands a request to this process's replica of the control group.
// Submit puts a request to this process's replica.
func (d *Daemon) Submit(r paxos.Request) error { return d.replicas.Submit(0, r, false) }

// Keep queues a small row for the disk.
// Keep writes a row to the disk, sooner or later.
func (d *Daemon) Keep(row string, v any) { d.disk.PutAsync(row, v) }

// Ring names the processes of the ring of heartbeats.
// Ring takes the processes of the ring of heartbeats.
func (d *Daemon) Ring(nodes []controlapi.Node) { d.detector.Nodes(nodes, ids.MonotonicNow()) }

// Log writes one line of an event.
// Log writes an event.
func (d *Daemon) Log(event string, kv ...any) { slog.Info(event, kv...) }

func (d *Daemon) down(l *transport.Link) {
	idle := l.Idle()
	d.actor.Do(func() {
		d.ctl.Down(ids.MonotonicNow(), l)
		if !idle {
			d.replicas.Down(l.Peer().Node)
		}
	})
}

func (d *Daemon) frame(l *transport.Link, k transport.Kind, b []byte) {
	d.actor.Do(func() {
		if !d.ctl.Frame(ids.MonotonicNow(), l, k, b) {
			d.replicas.Frame(l.Peer().Node, k, b)
		}
	})
}

func (d *Daemon) step() time.Duration {
	d.ctl.At(ids.MonotonicNow())
	wait := d.replicas.Tick()
	now := ids.MonotonicNow()
	if now >= d.roomAt {
		d.roomAt = now + diskLookEvery
		was := d.full
		if d.full = d.set.DiskTight(was); d.full {
			d.replicas.FreeDiskSpace()
		}
		if d.full && !was {
			slog.Warn("disk-near-full", "limit_mb", d.set.DiskMB)
		}
	}
	next := min(d.ctl.Tick(now), d.detector.Step(now), d.roomAt)
	return max(min(wait, (next-now).Duration()), time.Millisecond)
}

// call runs something on the actor that ends with a call of done, and waits.
func (d *Daemon) call(f func(now ids.Millis, done func())) {
	end := make(chan struct{})
	d.actor.Do(func() { f(ids.MonotonicNow(), func() { close(end) }) })
	<-end
}

// Reload takes over what may change in a running process: whom to ask.
func (d *Daemon) Reload(set *settings.Settings) {
	d.actor.Do(func() { d.ctl.Seeds(settings.ControlNodes(set)) })
}

// Stop ends in order: leadership is handed over, and while there is somebody to take
// this process's place, and time left, it goes on voting and answering until another is
// a member in its place and all that was decided is on the others' disks.
func (d *Daemon) Stop() {
	d.once.Do(func() {
		d.call(func(now ids.Millis, done func()) {
			d.ctl.Depart(now)
			done()
		})
		until := ids.MonotonicNow() + ids.Millis(d.set.GraceS*departShareOfS)
		for gone := false; !gone && ids.MonotonicNow() < until; {
			time.Sleep(departLookEvery)
			d.call(func(now ids.Millis, done func()) {
				gone = d.ctl.Departed(now)
				done()
			})
		}
		d.call(func(now ids.Millis, done func()) { d.ctl.Leave(now, leaveOnStopWait, done) })
		d.call(func(_ ids.Millis, done func()) {
			d.replicas.RecordCommits()
			done()
		})
		d.detector.Close()
		d.hub.Close(flushLinksWithin)
		d.actor.Stop()
		d.disk.Close()
	})
}
