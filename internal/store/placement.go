package store

import (
	"errors"
	"log/slog"
	"slices"

	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
	"oxbowdeck/internal/replication"
	"oxbowdeck/internal/settings"
	"oxbowdeck/internal/storage"
)

// closeDelay is how long a replica that is not placed here any more is kept: far
// longer than control updates may lag at a leader that changes the membership.
const closeDelay = ids.Millis(10000)

// machineHost makes the state machines of the replicas and is told what becomes of
// them.
type machineHost interface {
	newMachine(group ids.Group) replication.Machine
	replicaOpened(group ids.Group, machine replication.Machine)
	replicaClosing(group ids.Group)
	replicaClosed(group ids.Group)
}

// placement opens and closes the replicas of this store as control places them, and
// owns the table of those that are to be closed.
type placement struct {
	settings *settings.Settings
	self     controlapi.Node
	control  *controlapi.Client
	replicas *replication.Manager
	machines machineHost
	// unneededSince is when a replica was first seen not to be placed here any more,
	// or when that was last in doubt.
	unneededSince map[ids.Group]ids.Millis
	// leaving is the groups that are followed only until their leader releases this store,
	// which is to be emptied.
	leaving map[ids.Group]bool
}

func newPlacement(d *Daemon) *placement {
	return &placement{
		settings:      d.settings,
		self:          d.self,
		control:       d.control,
		replicas:      d.replicas,
		machines:      d,
		unneededSince: map[ids.Group]ids.Millis{},
		leaving:       map[ids.Group]bool{},
	}
}

// serves tells whether a replica is one that edges should follow: it is not to be closed.
func (p *placement) serves(group ids.Group) bool {
	return p.unneededSince[group] == 0 && !p.leaving[group]
}

// apply takes up what a control update says this store is to hold. Its disk's
// number in a group is given with its enrolment: before, a placement that names this
// address speaks of the disk that was here earlier.
func (p *placement) apply(update *controlapi.Update) error {
	me := update.Find(p.self.Addr)
	if me == nil || me.Disk != p.self.Disk {
		return nil
	}
	for i := range update.Shards {
		shard := &update.Shards[i]
		p.leaving[shard.Group] = me.Empty && !paxos.ContainsNode(shard.Voters, p.self.Addr)
		if err := p.applyShard(shard); err != nil {
			return err
		}
	}
	return nil
}

// applyShard opens the replica of one group if it is placed here, and tells its
// engine who else holds it.
func (p *placement) applyShard(shard *controlapi.Shard) error {
	member, held := p.ownMember(shard)
	replica := p.replicas.Replicas[shard.Group]
	if replica == nil && held {
		var err error
		replica, err = p.open(shard, member)
		if err != nil {
			return err
		}
	}
	if replica == nil {
		return nil
	}
	if held {
		delete(p.unneededSince, shard.Group)
		replica.Core.SetSelf(member.ID)
	} else if p.unneededSince[shard.Group] == 0 {
		p.unneededSince[shard.Group] = ids.MonotonicNow()
	}
	replica.Core.SetLearners(slices.Concat(shard.Learners, shard.Voters))
	return nil
}

// ownMember finds this store in a shard's placement; a learner's entry counts more
// than a voter's.
func (p *placement) ownMember(shard *controlapi.Shard) (paxos.Member, bool) {
	var own paxos.Member
	held := false
	for _, list := range [][]paxos.Member{shard.Voters, shard.Learners} {
		for _, member := range list {
			if member.Node == p.self.Addr {
				own = member
				held = true
			}
		}
	}
	return own, held
}

// open starts a replica. It gives nil while the disk is busy with what it held of
// the group before: that is tried again with the next duties.
func (p *placement) open(shard *controlapi.Shard, member paxos.Member) (*replication.Replica, error) {
	machine := p.machines.newMachine(shard.Group)
	config := groupConfig(p.settings, shard.Group, member)
	replica, err := p.replicas.Open(config, shard.Founders, machine)
	if errors.Is(err, storage.ErrBusy) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	p.machines.replicaOpened(shard.Group, machine)
	return replica, nil
}

// closeUnneeded ends the replicas this store is no longer to hold: once the
// membership wanted, without it, is reported to be in force and has been for a
// while: each of its members then holds all that was decided before. What this
// replica accepted as a voter is needed until then.
func (p *placement) closeUnneeded(now ids.Millis) {
	for group, since := range p.unneededSince {
		replica := p.replicas.Replicas[group]
		if replica == nil {
			delete(p.unneededSince, group)
			continue
		}
		update := p.control.Update
		if now-since < closeDelay || !p.control.Told(now) || int(group) >= len(update.Shards) {
			continue
		}
		if replica.Core.Role() == paxos.Leader {
			continue
		}
		shard := update.Shards[group]
		if paxos.ContainsNode(shard.Members, p.self.Addr) || !paxos.SameMembers(shard.Members, shard.Voters) {
			p.unneededSince[group] = now
			continue
		}
		p.close(group)
	}
}

// close ends a replica and drops what the disk holds of it.
func (p *placement) close(group ids.Group) {
	slog.Info("replica-closed", "group", group)
	p.machines.replicaClosing(group)
	p.replicas.Close(group)
	p.machines.replicaClosed(group)
	delete(p.unneededSince, group)
}
