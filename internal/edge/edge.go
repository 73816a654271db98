// Package edge is the edge process: it speaks with clients, forwards what
// they publish, and delivers the decided order to them.
package edge

import (
	"errors"
	"log/slog"
	"net"
	"time"

	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/edgecore"
	"oxbowdeck/internal/errs"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/metrics"
	"oxbowdeck/internal/paxos"
	"oxbowdeck/internal/settings"
	"oxbowdeck/internal/shardapi"
)

// Daemon is one edge process. One actor owns all its tables.
type Daemon struct {
	core     *edgecore.Core
	listener net.Listener
	metrics  *metrics.Edge // nil where they are off

	conns     map[uint64]*conn
	lastConn  uint64
	topics    map[ids.Topic]*followedTopic
	joins     map[uint64]*subscription // that wait for a Joined
	censuses  map[uint64]*census
	calls     map[paxos.ID]*call
	uncertain map[paxos.ID]ids.Millis // forwarded and given up, lately
	refused   refusedCalls            // answered RETRY, lately
	outbox    map[ids.Group][]*call
	leaders   map[ids.Group]shardapi.Lead
	lastOrder uint64
	dirty     []*conn

	feeds            []*shardFeed // by shard
	nextPing         ids.Millis
	lastRequest      uint64
	lastSubscription uint64 // the last subscription's number
	nextSweep        ids.Millis

	bounds bounds
}

// bounds of an edge, all from the settings.
type bounds struct {
	maxConns       int
	clientOut      int // bytes waiting for one client
	maxCalls       int // publishes under way
	callsPerClient int // of one client
	clientSilence  ids.Millis
	resend         ids.Millis
	retransmit     ids.Millis // a call without an outcome goes again on the second path
	replicaQuiet   ids.Millis // silence of the replica followed
	replicaLate    ids.Millis // a replica that answers later is too slow
	unreachable    ids.Millis // without a replica for longer, calls are given up at once
	giveUpMargin   ids.Millis // before a route's time-out a doubtful publish is given up
	joinWait       ids.Millis
	resendWindow   ids.Millis // a client may repeat a number for so long
	keys           edgecore.KeyRules
}

// Start serves clients at the front address.
func Start(set *settings.Settings) (*Daemon, error) {
	d := newDaemon(boundsOf(set))
	var err error
	d.core, err = edgecore.New(set, d.bounds.replicaQuiet, edgecore.Callbacks{
		Frame: d.onFrame, Down: d.onLinkDown,
		Configured: d.endRemoved, Reincarnated: d.resubmitSubscriptions, Updated: d.onUpdate,
	})
	if err != nil {
		return nil, err
	}
	d.metrics = metrics.NewEdge(d.core.Metrics)
	d.core.Hub.Far = d.core.Control.Far // links to other zones are deflated
	if d.listener, err = net.Listen("tcp", set.Front); err != nil {
		return nil, errs.Wrap("listen front", set.Front, err)
	}
	go d.acceptAll()
	go d.core.Actor.Run(d.step)
	slog.Info("edge-started", "node", set.Name, "front", set.Front)
	return d, nil
}

// newDaemon makes an edge that has no core yet.
func newDaemon(b bounds) *Daemon {
	return &Daemon{
		conns: map[uint64]*conn{}, topics: map[ids.Topic]*followedTopic{}, joins: map[uint64]*subscription{},
		censuses: map[uint64]*census{}, calls: map[paxos.ID]*call{}, uncertain: map[paxos.ID]ids.Millis{},
		outbox: map[ids.Group][]*call{}, leaders: map[ids.Group]shardapi.Lead{}, bounds: b,
	}
}

// boundsOf reads the bounds from the settings.
func boundsOf(set *settings.Settings) bounds {
	return bounds{
		maxConns:       set.Int("edge_conns", max(64, (set.FDs-200)/2)),
		clientOut:      set.Int("client_out_kb", 512) << 10,
		maxCalls:       set.Int("edge_calls", 20000),
		callsPerClient: set.Int("client_calls", 256),
		clientSilence:  set.ClientSilence(),
		resend:         ids.Millis(set.Int("forward_again_ms", 400)),
		retransmit:     ids.Millis(set.Int("forward_spare_ms", 60)),
		replicaQuiet:   ids.Millis(set.Int("replica_quiet_ms", 400)),
		replicaLate:    ids.Millis(set.Int("replica_late_ms", 120)),
		unreachable:    ids.Millis(set.Int("hope_ms", 300)),
		giveUpMargin:   ids.Millis(set.Int("give_up_margin_ms", 200)),
		joinWait:       ids.Millis(set.Int("join_wait_ms", 900)),
		resendWindow:   set.ResendTime(),
		keys:           edgecore.KeyRulesOf(set),
	}
}

// acceptPause is how long accepting rests after it failed, for want of descriptors.
const acceptPause = 20 * time.Millisecond

// acceptAll takes in clients until the listener is closed.
func (d *Daemon) acceptAll() {
	for {
		c, err := d.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(acceptPause)
			continue
		}
		d.core.Actor.Do(func() {
			if len(d.conns) >= d.bounds.maxConns {
				c.Close()
				return
			}
			d.lastConn++
			client := newConn(d, d.lastConn, c)
			d.conns[client.id] = client
			d.metrics.Connections(len(d.conns))
			go client.reader()
			go client.writer()
		})
	}
}

// How long the actor rests at most while something is under way.
const (
	seekingRest = ids.Millis(50) // a shard has no replica to follow
	busyRest    = ids.Millis(30) // calls or joins wait
)

// step does what is due, and tells how long the actor may rest.
func (d *Daemon) step() time.Duration {
	now := ids.MonotonicNow()
	wait := d.core.Step(now)
	d.endLapsed(now)
	d.watchFeeds(now)
	for _, x := range d.feeds {
		if x.link == nil {
			wait = min(wait, seekingRest)
		}
	}
	d.giveUp(now)
	d.forward(now)
	if len(d.calls) > 0 || len(d.joins) > 0 {
		wait = min(wait, busyRest)
	}
	if now >= d.nextSweep {
		d.nextSweep = now + edgecore.SweepInterval
		d.sweep(now)
	}
	for _, c := range d.dirty {
		c.flush()
	}
	d.dirty = d.dirty[:0]
	d.core.SetReady(d.serves(now))
	return max(wait, 1).Duration()
}

// serves tells whether clients are well off here: every shard is followed. Once
// ready, a moment without one of them is no reason to turn clients away.
func (d *Daemon) serves(now ids.Millis) bool {
	if d.core.Leaving || !d.core.Updates.View().Known() || d.keysLapsed(now) {
		return false
	}
	if len(d.feeds) == 0 || len(d.leaders) < len(d.feeds) {
		return false
	}
	lost := 0
	for _, x := range d.feeds {
		if x.link == nil && (!d.core.Ready.On() || now-x.lostAt >= 2*d.bounds.replicaQuiet) {
			lost++
		}
	}
	return lost == 0 || d.core.Ready.On() && lost < len(d.feeds)
}

// onUpdate takes a newer update.
func (d *Daemon) onUpdate(now ids.Millis, _ *controlapi.Update) {
	d.addFeeds(now)
	d.watchFeeds(now)
}

var emptyUpdate controlapi.Update

// update is the newest update; an empty one before the first.
func (d *Daemon) update() *controlapi.Update {
	if d.core.Control.Update == nil {
		return &emptyUpdate
	}
	return d.core.Control.Update
}

// Reload takes over what may change in a running process.
func (d *Daemon) Reload(set *settings.Settings) { d.core.Reload(set) }
