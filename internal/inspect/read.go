package inspect

import (
	"context"
	"fmt"

	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
	"oxbowdeck/internal/storage"
)

// Read checks one directory and replays its groups.
func Read(dir string, options Options) (groups []Group, faults []Fault, err error) {
	disk, err := storage.Open(context.Background(), dir, true)
	if err != nil {
		return nil, nil, err
	}
	defer disk.Close()
	kind := ""
	if _, err := disk.Get("kind", &kind); err != nil {
		return nil, nil, err
	}
	groupIDs, err := disk.Groups()
	if err != nil {
		return nil, nil, err
	}
	for _, id := range groupIDs {
		group, found, err := readGroup(disk, dir, id, kind, options)
		if err != nil {
			return nil, nil, err
		}
		groups = append(groups, group)
		faults = append(faults, found...)
	}
	return groups, faults, nil
}

// readGroup checks what a directory holds of one group, and replays it.
func readGroup(disk *storage.DB, dir string, id ids.Group, kind string, options Options) (Group, []Fault, error) {
	initial, snapshot, err := disk.Load(id)
	if err != nil {
		return Group{}, nil, err
	}
	group := Group{
		Dir:      dir,
		Group:    id,
		Promised: initial.Promised,
		Epoch:    initial.Promised.Round(),
		Snapshot: initial.Base,
		Decided:  initial.Commit,
		entries:  map[ids.Slot]paxos.Entry{},
		snapshot: snapshot,
	}
	for _, entry := range initial.Entries {
		group.entries[entry.Slot] = entry
		if entry.Slot > initial.Commit {
			group.Undecided++
		}
	}
	faults := group.check(initial.Entries)
	replayFaults, err := group.replay(options, kind)
	if err != nil {
		return Group{}, nil, err
	}
	return group, append(faults, replayFaults...), nil
}

// check looks at each entry, and for instances that are decided and missing.
func (g *Group) check(entries []paxos.Entry) []Fault {
	var faults []Fault
	for _, entry := range entries {
		if entry.Ballot > g.Promised {
			faults = append(faults, g.fault(entry.Slot, "accepted under epoch %d, above the promise of epoch %d",
				entry.Ballot.Round(), g.Promised.Round()))
		}
		if _, err := paxos.Decode(entry.Val); err != nil {
			faults = append(faults, g.fault(entry.Slot, "the value can't be read: %v", err))
		}
	}
	for slot := g.Snapshot + 1; slot <= g.Decided; slot++ {
		if _, ok := g.entries[slot]; !ok {
			faults = append(faults, g.fault(slot, "decided, and not there"))
		}
	}
	return faults
}

// fault makes a fault of this directory's copy of the group.
func (g *Group) fault(slot ids.Slot, format string, args ...any) Fault {
	return Fault{Dir: g.Dir, Group: g.Group, Slot: slot, What: fmt.Sprintf(format, args...)}
}
