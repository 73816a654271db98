// Package edgecore is what both kinds of edge have in common: the life of an edge process
// in the cluster. It enrols with the control plane, keeps the update and the configuration
// up to date, takes part in the ring of heartbeats, begins a new incarnation after it was
// declared lost, answers the readiness probe and leaves. What an edge does for its clients
// is in packages edge and httpedge.
package edgecore

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/heartbeat"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/metrics"
	"oxbowdeck/internal/process"
	"oxbowdeck/internal/replication"
	"oxbowdeck/internal/settings"
	"oxbowdeck/internal/shardapi"
	"oxbowdeck/internal/transport"
	"oxbowdeck/internal/watch"
)

const (
	// actorQueue bounds the commands that wait for an edge's actor.
	actorQueue = 4096
	// idleStep is how long an edge rests at most between two steps.
	idleStep = ids.Millis(500)
	// enrolStep is the same while control is being asked.
	enrolStep = ids.Millis(100)
	// SweepInterval is how often tables are looked through for what is out of date.
	SweepInterval = ids.Millis(300)
	// drainPercent is the part of the drain time that a leaving edge uses itself.
	drainPercent = 80
)

// Callbacks are what the core calls of the edge it belongs to.
type Callbacks struct {
	// Frame takes a frame of another process, on its link's goroutine.
	Frame func(*transport.Link, transport.Kind, []byte)
	// Down tells that a link broke; this one and the others come on the actor.
	Down func(now ids.Millis, l *transport.Link)
	// Configured tells that there is another configuration; Updated follows.
	Configured func()
	// Reincarnated tells that a new incarnation began; Updated follows.
	Reincarnated func(now ids.Millis)
	// Updated tells that there is a newer update.
	Updated func(now ids.Millis, n *controlapi.Update)
}

// Core is an edge process as the cluster sees it. One actor owns it; its methods run
// there unless they say otherwise.
type Core struct {
	Settings *settings.Settings
	Self     controlapi.Node
	Actor    *replication.Actor
	Hub      *transport.Hub
	Control  *controlapi.Client
	Updates  watch.Subscription
	Ready    process.Readiness
	Leaving  bool
	Metrics  *metrics.Registry // nil where they are off

	callbacks Callbacks
	detector  *heartbeat.Detector
	sweepAt   ids.Millis
}

// New makes the core of an edge, which begins once its actor runs. quiet is the silence
// after which a store is left for another.
func New(set *settings.Settings, quiet ids.Millis, callbacks Callbacks) (*Core, error) {
	addr := set.Inner(settings.PortEdge)
	c := &Core{Settings: set, Actor: replication.NewActor(actorQueue), callbacks: callbacks}
	c.Self = controlapi.Node{
		Name: set.Name, Role: controlapi.Edge, Zone: set.Zone, Addr: addr, Front: set.Front, Incarnation: newIncarnation(),
	}
	hello := transport.Hello{Node: addr, Incarnation: c.Self.Incarnation}
	c.Hub = transport.New(hello, settings.TransportBounds(set), callbacks.Frame, c.down)
	c.Control = &controlapi.Client{
		Hub: c.Hub, Self: c.Self, Seeds: settings.ControlNodes(set), OnUpdate: c.updated,
		Quiet: ids.Millis(set.Int("news_quiet_ms", 1500)),
	}
	c.Updates = watch.Subscription{Hub: c.Hub, Control: c.Control, Zone: set.Zone, Quiet: quiet}
	var err error
	c.detector, err = settings.StartHeartbeats(set, c.Self, c.Actor.Do, c.missing)
	if err != nil {
		return nil, err
	}
	c.Metrics = metrics.New(set)
	metrics.RegisterConfiguration(c.Metrics, c.configuration)
	return c, c.Ready.Serve(set.Ready, c.Metrics.Handler())
}

// configuration gives the configuration that is answered by now; any goroutine.
func (c *Core) configuration() metrics.Configuration {
	view := c.Updates.View()
	return metrics.Configuration{
		Release:      view.Config.Release,
		ConfirmedAge: view.ConfirmedAge(ids.MonotonicNow()).Duration(),
	}
}

func newIncarnation() ids.Incarnation { return ids.Incarnation(rand.Uint64() >> 1) }

// missing reports a process of the ring that fell silent.
func (c *Core) missing(n ids.Node, incarnation ids.Incarnation) {
	c.Control.Tell(controlapi.KindMissing, controlapi.Leave{Addr: n, Incarnation: incarnation, By: c.Self.Addr})
}

// down takes it that a link broke; any goroutine.
func (c *Core) down(l *transport.Link) {
	c.Actor.Do(func() {
		now := ids.MonotonicNow()
		c.Updates.Down(now, l)
		c.callbacks.Down(now, l)
	})
}

// updated takes an update that is newer than the one before.
func (c *Core) updated(n *controlapi.Update) {
	now := ids.MonotonicNow()
	if c.Updates.Configure(n) {
		c.callbacks.Configured()
	}
	if n.Seq > 0 { // a bootstrap does not name the other edges
		c.detector.Nodes(n.Nodes, now)
	}
	me := n.Find(c.Self.Addr)
	if me != nil && me.Gone && me.Incarnation == c.Self.Incarnation && !c.Leaving {
		c.reincarnate(now)
	}
	c.callbacks.Updated(now, n)
}

// reincarnate begins a new incarnation after this one was declared lost.
func (c *Core) reincarnate(now ids.Millis) {
	c.Self.Incarnation = newIncarnation()
	c.Control.Self, c.detector.Incarnation = c.Self, c.Self.Incarnation
	slog.Warn("declared-lost", "node", c.Self.Name)
	c.Control.Turn(now)
	c.callbacks.Reincarnated(now)
}

// Frame takes a frame if it is the core's alone. Heartbeats are for the edge as well.
func (c *Core) Frame(now ids.Millis, l *transport.Link, k transport.Kind, b []byte) bool {
	if c.Control.Frame(l.Peer().Node, k, b, now) {
		return true
	}
	switch k {
	case shardapi.KindHeartbeat:
		if x, ok := transport.Get[shardapi.Heartbeat](b); ok {
			c.Updates.Heartbeat(now, l, x)
		}
	case shardapi.KindPong:
		x, ok := transport.Get[shardapi.Ping](b)
		return ok && c.Updates.Pong(l, x)
	}
	return false
}

// Step does what is due for the core, and tells how long it may rest. A store brings
// the update; control is asked to enrol, and when no store does.
func (c *Core) Step(now ids.Millis) (wait ids.Millis) {
	wait = idleStep
	if c.Updates.Step(now) {
		wait = enrolStep
	}
	if now >= c.sweepAt {
		c.sweepAt = now + SweepInterval
		c.Updates.Sweep(now)
	}
	return min(wait, c.detector.Step(now)-now)
}

// SetReady changes what the readiness probe is answered.
func (c *Core) SetReady(ready bool) {
	if ready != c.Ready.On() {
		c.Ready.Set(ready)
		slog.Info("readiness", "ready", ready)
	}
}

// Shards is how many shards there are; 0 before that is known.
func (c *Core) Shards() int {
	if c.Control.Update == nil {
		return 0
	}
	return len(c.Control.Update.Shards)
}

// Reload takes over what may change in a running process: whom to ask. Any goroutine.
func (c *Core) Reload(set *settings.Settings) {
	c.Actor.Do(func() { c.Control.Seeds = settings.ControlNodes(set) })
}

// DrainDeadline is when an edge that begins to leave now must have done with its clients.
func (c *Core) DrainDeadline() time.Time {
	return time.Now().Add(time.Duration(c.Settings.DrainMs) * time.Millisecond * drainPercent / 100)
}

// BeginLeave ends readiness and the search for an update source.
func (c *Core) BeginLeave() {
	c.Leaving, c.Updates.Ending = true, true
	c.Ready.Set(false)
}

// TellLeave tells control that this incarnation leaves. It may be lost.
func (c *Core) TellLeave() {
	leave := controlapi.Leave{Addr: c.Self.Addr, Incarnation: c.Self.Incarnation, By: c.Self.Addr}
	c.Control.Tell(controlapi.KindLeave, leave)
}

// Close ends the core once the edge serves nobody; what is queued on links has so long
// to leave. Any goroutine but the actor's.
func (c *Core) Close(flush time.Duration) {
	c.Ready.Close()
	c.detector.Close()
	c.Hub.Close(flush)
	c.Actor.Stop()
}
