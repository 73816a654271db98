// Package store is the storage process: replicas of the shards, and the flow of
// their decided order to the edges that follow.
//
// One actor owns all tables. The process is made of parts with one table each:
// followers (the edges that are sent the decided order), homeEdges (the edges that
// are sent control updates), placement (which replicas are held), topicShards (the
// state machines of topics), leaderDuties (what a group's leader does for its
// group), and pressure (whether memory and disk allow new work).
package store

import (
	"time"

	"oxbowdeck/internal/admission"
	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/dispatch"
	"oxbowdeck/internal/heartbeat"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
	"oxbowdeck/internal/process"
	"oxbowdeck/internal/replication"
	"oxbowdeck/internal/settings"
	"oxbowdeck/internal/storage"
	"oxbowdeck/internal/transport"
)

// How often the periodic work of a store is done, in milliseconds.
const (
	pressureInterval = ids.Millis(1000)
	dutyInterval     = ids.Millis(500)
	// updateReaction is how soon a control update brings the duties forward.
	updateReaction = ids.Millis(20)
)

// commandQueueLength bounds the commands that wait for the actor.
const commandQueueLength = 2048

// Daemon is one storage process.
type Daemon struct {
	settings *settings.Settings
	self     controlapi.Node
	actor    *replication.Actor
	hub      *transport.Hub
	disk     *storage.DB
	control  *controlapi.Client
	detector *heartbeat.Detector
	replicas *replication.Manager

	shards    *topicShards
	followers *followers
	homeEdges *homeEdges
	placement *placement
	duties    *leaderDuties
	pressure  *pressure
	admission *admission.Admission // where tenants are limited, else nil
	quotas    *quotaStatus         // where metrics are on as well, else nil
	queue     *dispatch.Host       // of a deployment that takes in messages, else nil

	pieceBytes        int        // about how much of a topic's messages goes in one frame: others wait behind it
	heartbeatInterval ids.Millis // how often followers hear that this replica lives
	nextHeartbeat     ids.Millis
	nextDuties        ids.Millis
	nextPressure      ids.Millis
	quotaRelease      int64    // of the configuration whose limits are kept
	readingQuotas     bool     // limits are being read
	savedUpdate       ids.Slot // how new the control update on the disk is
	leaving           bool
}

// step does what is due; it returns how long nothing will be.
func (d *Daemon) step() time.Duration {
	now := ids.MonotonicNow()
	wait := d.replicas.Tick()
	d.followers.flush()
	d.control.Step(now)
	if d.queue != nil {
		wait = min(wait, (d.queue.Step(now) - now).Duration())
	}
	if d.admission != nil {
		wait = min(wait, (d.admission.Step(now) - now).Duration())
	}
	if now >= d.nextHeartbeat {
		d.nextHeartbeat = now + d.heartbeatInterval
		d.sendHeartbeats(now)
	}
	if now >= d.nextPressure {
		d.nextPressure = now + pressureInterval
		d.pressure.check()
		d.quotas.step(now)
	}
	if now >= d.nextDuties {
		d.nextDuties = now + dutyInterval
		d.runDuties(now)
		d.placement.closeUnneeded(now)
	}
	return min(
		wait,
		(d.nextHeartbeat - now).Duration(),
		(d.nextDuties - now).Duration(),
		(d.detector.Step(now) - now).Duration(),
	)
}

// runDuties keeps the newest control update, opens the replicas that it places
// here, and does the duties of the groups that are led here.
func (d *Daemon) runDuties(now ids.Millis) {
	update := d.control.Update
	if update == nil {
		return
	}
	if d.savedUpdate != update.Seq {
		d.savedUpdate = update.Seq
		d.disk.PutAsync(updateKey, update)
	}
	if err := d.placement.apply(update); err != nil {
		process.Fatal(err)
	}
	d.duties.run(now, update)
}

// serves tells whether the replica of a group here has what its leader says is
// decided, and may be followed.
func (d *Daemon) serves(now ids.Millis, group ids.Group) bool {
	replica := d.replicas.Replicas[group]
	if replica == nil || d.leaving || d.control.Update == nil {
		return false
	}
	return d.placement.serves(group) && replica.Core.UpToDate(now)
}

// groupOf gives the shard that a topic belongs to.
func (d *Daemon) groupOf(topic ids.Topic) ids.Group {
	update := d.control.Update
	if update == nil {
		return 0
	}
	return ids.GroupOf(topic, max(1, len(update.Shards)))
}

// newMachine makes the state machine of a group.
func (d *Daemon) newMachine(group ids.Group) replication.Machine {
	if d.queue != nil {
		return d.queue.Open(group)
	}
	return d.shards.newShard(group)
}

// replicaOpened takes up the state machine of a replica that runs now.
func (d *Daemon) replicaOpened(group ids.Group, machine replication.Machine) {
	if shard, ok := machine.(*topicShard); ok {
		d.shards.add(group, shard)
	}
}

// replicaClosing sends the followers of a group elsewhere.
func (d *Daemon) replicaClosing(group ids.Group) { d.followers.closeGroup(group) }

// replicaClosed forgets the state machine of a replica that ended.
func (d *Daemon) replicaClosed(group ids.Group) {
	if d.queue != nil {
		d.queue.Close(group)
	}
	d.shards.remove(group)
}

// submit puts a request to the leader of its group, unless the store is full.
func (d *Daemon) submit(group ids.Group, request paxos.Request, urgent bool) error {
	if d.pressure.full {
		return paxos.ErrFull
	}
	return d.replicas.Submit(group, request, urgent)
}
