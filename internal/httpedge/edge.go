// Package httpedge is the edge process of a deployment that takes in messages over
// HTTP: it has each one decided by its shard before it answers, and tells how a
// message stands.
package httpedge

import (
	"log/slog"
	"net"
	"net/http"
	"time"

	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/edgecore"
	"oxbowdeck/internal/errs"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
	"oxbowdeck/internal/requestbody"
	"oxbowdeck/internal/settings"
	"oxbowdeck/internal/shardapi"
	"oxbowdeck/internal/transport"
)

// Daemon is one edge process. One actor owns all its tables; requests wait for
// it on goroutines of their own.
type Daemon struct {
	core     *edgecore.Core
	server   *http.Server
	arrivals arrivals

	calls     map[paxos.ID]*call    // messages under way
	inquiries map[uint64]*inquiry   // questions how a message stands, by number
	lastAsk   uint64                // the last such number
	routed    routeTable            // where messages went
	outbox    map[ids.Group][]*call // to be forwarded
	leaders   map[ids.Group]*leader
	zones     map[ids.Node]ids.Zone // of the stores
	bodies    *requestbody.Budget   // of those that are being read
	bounds    bounds
}

// bounds of an edge, all from the settings.
type bounds struct {
	maxCalls     int        // messages under way
	maxBytes     int        // their bodies; as many again may be read meanwhile
	resend       ids.Millis // a message without an outcome is handed in anew
	replicaQuiet ids.Millis // silence after which a store is left for another
	leaderLate   ids.Millis // a leader that answers nothing for so long is passed by
	answerWait   ids.Millis // the longest a message waits for its outcome
	maxHeader    int        // bytes
	maxBody      int64      // bytes, unless the configuration names a bound
	keys         edgecore.KeyRules
}

// Time-outs of a client's connection.
const (
	headerTimeout = 3 * time.Second
	readTimeout   = 10 * time.Second
	writeTimeout  = 15 * time.Second
	idleTimeout   = 15 * time.Second
)

// Start serves clients at the front address.
func Start(set *settings.Settings) (*Daemon, error) {
	d := newDaemon(boundsOf(set))
	var err error
	d.core, err = edgecore.New(set, d.bounds.replicaQuiet, edgecore.Callbacks{
		Frame: d.onFrame, Down: d.onLinkDown, Updated: d.onUpdate,
		Configured: func() {}, Reincarnated: func(ids.Millis) {}, // nobody here has a seat
	})
	if err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", set.Front)
	if err != nil {
		return nil, errs.Wrap("listen front", set.Front, err)
	}
	d.server = &http.Server{
		Handler: d, MaxHeaderBytes: d.bounds.maxHeader,
		ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout,
		WriteTimeout: writeTimeout, IdleTimeout: idleTimeout,
		ConnState: d.arrivals.note,
	}
	go d.server.Serve(ln)
	go d.core.Actor.Run(d.step)
	slog.Info("edge-started", "node", set.Name, "front", set.Front, "kind", set.Kind)
	return d, nil
}

// newDaemon makes an edge that has no core yet.
func newDaemon(b bounds) *Daemon {
	half := int64(b.maxBytes) / 2
	return &Daemon{
		calls: map[paxos.ID]*call{}, inquiries: map[uint64]*inquiry{}, outbox: map[ids.Group][]*call{},
		leaders: map[ids.Group]*leader{}, zones: map[ids.Node]ids.Zone{},
		bodies: requestbody.NewBudget(half, half), bounds: b,
	}
}

// boundsOf reads the bounds from the settings.
func boundsOf(set *settings.Settings) bounds {
	return bounds{
		maxCalls:     set.Int("edge_calls", 4000),
		maxBytes:     max(4<<20, set.MemoryMB<<20/8),
		resend:       ids.Millis(set.Int("forward_again_ms", 250)),
		replicaQuiet: ids.Millis(set.Int("replica_quiet_ms", 400)),
		leaderLate:   ids.Millis(set.Int("replica_late_ms", 120)),
		answerWait:   ids.Millis(set.Int("answer_wait_ms", 2500)),
		maxHeader:    32 << 10,
		maxBody:      1 << 20,
		keys:         edgecore.KeyRulesOf(set),
	}
}

// onUpdate takes a newer update.
func (d *Daemon) onUpdate(now ids.Millis, n *controlapi.Update) {
	clear(d.zones)
	for _, x := range n.Nodes {
		if x.Role == controlapi.Store && !x.Gone {
			d.zones[x.Addr] = x.Zone
		}
	}
	d.findLeaders(now)
}

// onFrame takes a frame of another process, on its link's goroutine.
func (d *Daemon) onFrame(l *transport.Link, k transport.Kind, b []byte) {
	d.core.Actor.Do(func() {
		now := ids.MonotonicNow()
		if !d.core.Frame(now, l, k, b) {
			d.handleStoreFrame(now, l.Peer().Node, k, b)
		}
	})
}

// handleStoreFrame takes a store's frame.
func (d *Daemon) handleStoreFrame(now ids.Millis, from ids.Node, k transport.Kind, b []byte) {
	switch k {
	case shardapi.KindLead:
		if x, ok := transport.Get[shardapi.Lead](b); ok {
			d.leaderChanged(now, from, x)
		}
	case shardapi.KindKnown:
		if x, ok := transport.Get[shardapi.Flow](b); ok {
			for _, o := range x.Outcomes {
				d.decided(now, o.ID)
			}
		}
	case shardapi.KindDeny:
		if x, ok := transport.Get[shardapi.Deny](b); ok {
			d.denied(now, from, x)
		}
	case shardapi.KindQuotaDenied:
		if x, ok := transport.Get[shardapi.QuotaDenied](b); ok {
			d.overQuota(now, from, x)
		}
	case shardapi.KindStated:
		if x, ok := transport.Get[shardapi.Stated](b); ok {
			d.answerInquiry(x)
		}
	}
}

// busyRest is how long the actor rests at most while something is under way.
const busyRest = ids.Millis(30)

// step does what is due, and tells how long the actor may rest.
func (d *Daemon) step() time.Duration {
	now := ids.MonotonicNow()
	wait := d.core.Step(now)
	d.findLeaders(now)
	for _, x := range d.leaders {
		if x.node == "" {
			wait = min(wait, leaderAskInterval)
		}
	}
	d.giveUp(now)
	d.forward(now)
	if len(d.calls)+len(d.inquiries) > 0 {
		wait = min(wait, busyRest)
	}
	d.core.SetReady(d.serves())
	return max(wait, 1).Duration()
}

// serves tells whether messages can be taken here: the configuration is known, keys are
// served by it, and who leads most of the groups is known. One without a leader, for a moment or for good,
// is no reason to turn the clients of all others away.
func (d *Daemon) serves() bool {
	view := d.core.Updates.View()
	if d.core.Leaving || !view.Known() || d.core.Shards() == 0 {
		return false
	}
	if d.bounds.keys.Lapsed(ids.MonotonicNow(), view) {
		return false
	}
	lost := 0
	for _, x := range d.leaders {
		if x.node == "" {
			lost++
		}
	}
	return 2*lost < len(d.leaders) || d.core.Ready.On() && 2*lost == len(d.leaders)
}

// Reload takes over what may change in a running process.
func (d *Daemon) Reload(set *settings.Settings) { d.core.Reload(set) }
