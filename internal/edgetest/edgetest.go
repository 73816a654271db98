// Package edgetest gives tests of both edges the core of one: connected to a store that says
// nothing by itself, with a configuration whose age the test decides.
package edgetest

import (
	"net"
	"strings"
	"testing"
	"time"

	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/edgecore"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
	"oxbowdeck/internal/replication"
	"oxbowdeck/internal/shardapi"
	"oxbowdeck/internal/transport"
	"oxbowdeck/internal/watch"
)

// Quiet times of an update source. A configuration counts as current for twice as long.
const (
	LongQuiet  = ids.Millis(60_000) // longer than any test runs
	ShortQuiet = ids.Millis(5)
)

const (
	linkQueue  = 1 << 20 // bytes
	linkRetry  = time.Millisecond
	actorQueue = 100
	storeZone  = ids.Zone("z")
)

// NewCore is the core of an edge that has just begun: no update has reached it. It ends with
// the test.
func NewCore(t *testing.T) *edgecore.Core {
	t.Helper()
	time.Sleep(2 * time.Millisecond) // a probe at time 0 would be none
	links := transport.Bounds{Queue: linkQueue, RetryMin: linkRetry, RetryMax: linkRetry}
	core := &edgecore.Core{
		Actor:   replication.NewActor(actorQueue),
		Control: &controlapi.Client{},
		Hub:     transport.New(transport.Hello{Node: "edge"}, links, nil, func(*transport.Link) {}),
	}
	t.Cleanup(func() {
		core.Actor.Stop()
		core.Hub.Close(0)
	})
	return core
}

// Configure brings a core a configuration from an update source of that quiet time, which
// confirms it once, and gives the link to the source. The source is the one voter of the one
// shard.
func Configure(t *testing.T, core *edgecore.Core, configuration string, quiet ids.Millis) (source *transport.Link) {
	t.Helper()
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { silent.Close() })
	store := ids.Node(silent.Addr().String())
	core.Control.Update = &controlapi.Update{
		Seq:     1,
		Release: 1,
		Config:  controlapi.Pack([]byte(configuration)),
		Shards:  []controlapi.Shard{{Voters: []paxos.Member{{ID: 1, Node: store}}}},
		Nodes:   []controlapi.Node{{Role: controlapi.Store, Zone: storeZone, Addr: store}},
	}
	core.Updates = watch.Subscription{Hub: core.Hub, Control: core.Control, Zone: storeZone, Quiet: quiet}
	core.Updates.Configure(core.Control.Update)
	source = core.Hub.To(store)
	now := ids.MonotonicNow()
	core.Updates.Watch(now) // probes
	core.Updates.Pong(source, shardapi.Ping{At: now})
	Heartbeat(core, source)
	return source
}

// Heartbeat has the update source confirm the first update.
func Heartbeat(core *edgecore.Core, source *transport.Link) {
	core.Updates.Heartbeat(ids.MonotonicNow(), source, shardapi.Heartbeat{Told: true, Seq: 1})
}

// OutlastShortQuiet waits until a configuration of ShortQuiet is no longer current.
func OutlastShortQuiet() { time.Sleep((2*ShortQuiet + 5).Duration()) }

// StandStill has an edge stand still until its configuration is no longer current, and then
// read the heartbeats that had waited in its buffers.
func StandStill(core *edgecore.Core, source *transport.Link) {
	OutlastShortQuiet()
	for range 5 {
		Heartbeat(core, source)
	}
}

// Replace brings a core the next version of its configuration: a text in which RELEASE and
// KEYS stand for the version and the keys of a tenant.
func Replace(core *edgecore.Core, text, release, keys string) {
	body := strings.NewReplacer("RELEASE", release, "KEYS", keys).Replace(text)
	update := *core.Control.Update
	update.Release++
	update.Config = controlapi.Pack([]byte(body))
	core.Control.Update = &update
	core.Updates.Configure(&update)
}
