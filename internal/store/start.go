package store

import (
	"context"
	"log/slog"
	"math/rand/v2"

	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/process"
	"oxbowdeck/internal/replication"
	"oxbowdeck/internal/settings"
	"oxbowdeck/internal/shardapi"
	"oxbowdeck/internal/storage"
	"oxbowdeck/internal/transport"
)

// Keys of the disk's table of single values.
const (
	diskKey   = "disk" // the number of this disk
	kindKey   = "kind" // the kind of deployment, for whoever reads the directory offline
	updateKey = "news" // the newest control update
)

// Start opens the disk, enrols and serves. A disk that refuses is waited for,
// until the context ends.
func Start(ctx context.Context, set *settings.Settings) (*Daemon, error) {
	disk, diskID, err := openDisk(ctx, set)
	if err != nil {
		return nil, err
	}
	d := newDaemon(set, disk, diskID)
	if err := d.resume(); err != nil {
		return nil, err
	}
	d.detector, err = settings.StartHeartbeats(set, d.self, d.actor.Do, d.reportMissing)
	if err != nil {
		return nil, err
	}
	if err := d.hub.Listen(string(d.self.Addr)); err != nil {
		return nil, err
	}
	go d.actor.Run(d.step)
	slog.Info("store-started", "node", set.Name, "addr", d.self.Addr, "disk", diskID,
		"shards", len(d.replicas.Replicas))
	return d, nil
}

// openDisk opens the data directory and gives it a number if it has none.
func openDisk(ctx context.Context, set *settings.Settings) (*storage.DB, uint64, error) {
	var disk *storage.DB
	var err error
	if set.Kind == settings.Queue {
		disk, err = storage.OpenBulk(ctx, set.DataDir)
	} else {
		disk, err = storage.Open(ctx, set.DataDir, false)
	}
	if err != nil {
		return nil, 0, err
	}
	disk.Failed = process.Fatal
	var diskID uint64
	found, err := disk.Get(diskKey, &diskID)
	if err != nil {
		return nil, 0, err
	}
	if !found {
		diskID = rand.Uint64() >> 1
		if err := disk.Put(diskKey, diskID); err != nil {
			return nil, 0, err
		}
	}
	if err := disk.Put(kindKey, set.Kind); err != nil {
		return nil, 0, err
	}
	return disk, diskID, nil
}

// newDaemon makes a process and its parts; nothing runs yet.
func newDaemon(set *settings.Settings, disk *storage.DB, diskID uint64) *Daemon {
	d := &Daemon{
		settings:          set,
		disk:              disk,
		actor:             replication.NewActor(commandQueueLength),
		pieceBytes:        set.Int("piece_kb", 16) * bytesPerKB,
		heartbeatInterval: ids.Millis(set.Int("pulse_ms", 100)),
	}
	d.self = controlapi.Node{
		Name:        set.Name,
		Role:        controlapi.Store,
		Zone:        set.Zone,
		Addr:        set.Inner(settings.PortStore),
		Disk:        diskID,
		Incarnation: ids.Incarnation(rand.Uint64() >> 1),
	}
	hello := transport.Hello{Node: d.self.Addr, Incarnation: d.self.Incarnation}
	d.hub = transport.New(hello, settings.TransportBounds(set), d.receive, d.linkDown)
	d.replicas = &replication.Manager{
		Actor:    d.actor,
		Hub:      d.hub,
		Disk:     disk,
		Kind:     shardapi.KindGroup,
		SnapKind: shardapi.KindSnap,
		TailAt:   set.Int("log_tail_kb", 2048) * bytesPerKB,
		SnapAt:   set.Int("snapshot_kb", 8<<10) * bytesPerKB,
		Replicas: map[ids.Group]*replication.Replica{},
		Failed:   process.Fatal,
		OnLead:   d.onLead,

		OnApplied: d.recordDecided,
	}
	d.control = &controlapi.Client{
		Hub:      d.hub,
		Self:     d.self,
		Seeds:    settings.ControlNodes(set),
		OnUpdate: d.onUpdate,
		Quiet:    ids.Millis(set.Int("news_quiet_ms", 1500)),
	}
	d.newParts()
	if set.Kind == settings.Queue {
		d.queue = d.newDispatchHost() // bodies come deflated: the links need not do it again
		d.duties.queue = d.queue
	} else {
		d.hub.Far = d.control.Far
	}
	return d
}

// newParts makes the owners of the tables.
func (d *Daemon) newParts() {
	d.followers = newFollowers(d.groupOf)
	d.homeEdges = newHomeEdges()
	d.shards = newTopicShards(Bounds(d.settings), d.followers)
	d.admission = newAdmission(d)
	d.quotas = quotaStatusOf(d)
	d.shards.reserved = d.reserved
	d.placement = newPlacement(d)
	d.duties = newLeaderDuties(d.settings, d.self.Addr, d.replicas, d.control, d.shards)
	d.pressure = &pressure{settings: d.settings, compactDisk: d.replicas.FreeDiskSpace}
}

// resume serves under the last control update on the disk, before control answers.
func (d *Daemon) resume() error {
	var update controlapi.Update
	found, err := d.disk.Get(updateKey, &update)
	if err != nil || !found {
		return err
	}
	d.control.Begin(&update)
	d.configureQuotas(&update)
	if d.queue != nil {
		d.queue.Update(&update, ids.MonotonicNow())
	}
	return d.placement.apply(&update)
}

// reportMissing tells control of a node whose heartbeats are missed.
func (d *Daemon) reportMissing(node ids.Node, incarnation ids.Incarnation) {
	leave := controlapi.Leave{Addr: node, Incarnation: incarnation, By: d.self.Addr}
	d.control.Tell(controlapi.KindMissing, leave)
}
