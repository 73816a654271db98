package storage

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"

	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
)

// Findings is what Check found in a folder: faults, which a process would end on
// or which hide what was acknowledged, and notes.
type Findings struct {
	Faults []string `json:"faults"`
	Notes  []string `json:"notes"`
}

// Identity is who a control process's disk is: its own number, and the one its
// group gave it.
type Identity struct {
	_    struct{} `cbor:",toarray"`
	Disk uint64
	Num  ids.ReplicaID
}

// fault notes what a process would end on, or what hides what was acknowledged.
func (f *Findings) fault(format string, args ...any) {
	f.Faults = append(f.Faults, fmt.Sprintf(format, args...))
}

// note notes what is worth knowing.
func (f *Findings) note(format string, args ...any) {
	f.Notes = append(f.Notes, fmt.Sprintf(format, args...))
}

// Check looks through the folder of a process that does not run, and changes
// nothing there.
func Check(dir string) Findings {
	f := Findings{Faults: []string{}, Notes: []string{}}
	used, free, err := Room(dir)
	if err != nil {
		f.fault("the folder cannot be read: %v", err)
		return f
	}
	f.note("room: %d kB taken, %d kB left", used>>10, free>>10)
	if need := journals(dir); free < need {
		f.fault("no room to start: %d kB are needed, %d kB are left", need>>10, free>>10)
	}
	d, err := Open(context.Background(), dir, true)
	if errors.Is(err, syscall.EAGAIN) {
		f.fault("a process runs on the folder")
		return f
	} else if err != nil {
		f.fault("the folder cannot be read: %v", err)
		return f
	}
	defer d.Close()
	if d.tables.moved {
		f.note("keys of the old format: rewritten at the next start")
	}
	groups, learned := f.checkGroups(d)
	f.checkIdentity(d, groups, learned)
	return f
}

// checkGroups looks through all groups, and tells how many there are, and whether a
// membership came with a snapshot, or can come from the log.
func (f *Findings) checkGroups(d *DB) (count int, learned bool) {
	groups, err := d.Groups()
	if err != nil {
		f.fault("the groups cannot be listed: %v", err)
	}
	for _, g := range groups {
		state, snap, err := d.Load(g)
		if err != nil {
			f.fault("group %d: %v", g, err)
			continue
		}
		learned = learned || snap != nil || len(state.Entries) > 0
		for _, what := range gaps(state) {
			f.fault("group %d: %s", g, what)
		}
	}
	return len(groups), learned
}

// checkIdentity compares the rows that tell whose folder it is with what else is there.
func (f *Findings) checkIdentity(d *DB, groups int, learned bool) {
	var id Identity
	var disk uint64
	var genesis []paxos.Member
	found := func(name string, into any) bool {
		ok, err := d.Get(name, into)
		if err != nil {
			f.fault("%v", err)
		}
		return ok
	}
	identity := found("identity", &id)
	founded := found("genesis", &genesis)
	store := found("disk", &disk)
	switch {
	case founded && !identity:
		f.fault("a genesis without an identity: the founding was cut short")
	case identity && !founded && id.Num > 0 && !learned:
		f.fault("an identity with number %d, and neither genesis nor state", id.Num)
	case !identity && !store && groups > 0:
		f.fault("groups without an identity")
	}
}

// gaps tells which decided instances above the snapshot are not there.
func gaps(boot paxos.InitialState) (out []string) {
	have, top := map[ids.Slot]bool{}, boot.Base
	for _, e := range boot.Entries {
		have[e.Slot] = true
		top = max(top, e.Slot)
	}
	if boot.Commit > top {
		out = append(out, fmt.Sprintf("decided to %d, held to %d", boot.Commit, top))
	}
	for s := boot.Base + 1; s <= min(boot.Commit, top); s++ {
		if have[s] {
			continue
		}
		from := s
		for s < min(boot.Commit, top) && !have[s+1] {
			s++
		}
		if from == boot.Base+1 {
			out = append(out, fmt.Sprintf("%d to %d are missing between the snapshot and the log", from, s))
		} else {
			out = append(out, fmt.Sprintf("%d to %d are decided, and not there", from, s))
		}
	}
	return out
}

// Room tells how many bytes a folder takes, and how many its file system has left.
func Room(dir string) (used, free int64, err error) {
	var s syscall.Statfs_t
	if err := syscall.Statfs(dir, &s); err != nil {
		return 0, 0, &fs.PathError{Op: "statfs", Path: dir, Err: err}
	}
	return Size(dir), int64(s.Bavail) * s.Bsize, nil
}

// journals is about how much an opening writes: the journals, as tables.
func journals(dir string) (n int64) {
	all, _ := filepath.Glob(filepath.Join(dir, "*.log"))
	for _, path := range all {
		if i, err := os.Stat(path); err == nil {
			n += i.Size()
		}
	}
	return n + 64<<10
}
