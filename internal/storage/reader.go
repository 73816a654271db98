package storage

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"math"

	"github.com/syndtr/goleveldb/leveldb"
	"github.com/syndtr/goleveldb/leveldb/opt"
	"github.com/syndtr/goleveldb/leveldb/util"

	"oxbowdeck/internal/codec"
	"oxbowdeck/internal/errs"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
)

// Load reads what the disk holds of a group. ErrBusy: not now.
func (d *DB) Load(g ids.Group) (state paxos.InitialState, snap *Snapshot, err error) {
	if state, snap, err = d.load(g); err != nil && !damaged(err) {
		err = fmt.Errorf("%w: %v", ErrBusy, err)
	}
	return state, snap, err
}

func (d *DB) load(g ids.Group) (state paxos.InitialState, snap *Snapshot, err error) {
	d.mu.Lock()
	dropping := d.dropping[g]
	d.mu.Unlock()
	d.tablesMu.RLock()
	defer d.tablesMu.RUnlock()
	if dropping || d.tables == nil {
		return state, nil, ErrBusy
	}
	var head headRow
	if _, err := d.read(key(g, headKind, 0), &head); err != nil {
		return state, nil, errs.Wrap("read head", "disk", err)
	}
	s, err := d.readSnapshot(g)
	if err != nil {
		return state, nil, errs.Wrap("read snapshot", "disk", err)
	}
	state.Promised = head.Promised
	state.Commit = max(head.Commit, s.Slot)
	state.Base = s.Slot
	state.Memberships = s.Memberships
	if state.Entries, err = d.readEntries(g); err != nil {
		return state, nil, err
	}
	if s.Slot > 0 || len(s.Memberships) > 0 {
		snap = &s
	}
	return state, snap, nil
}

// readSnapshot reads a group's snapshot; an empty one when there is none.
func (d *DB) readSnapshot(g ids.Group) (s Snapshot, err error) {
	head, err := d.readSnapHead(g)
	if err != nil {
		return s, err
	}
	s.Slot = head.Slot
	s.Memberships = head.Memberships
	for n := uint32(0); n < head.Rows; n++ {
		part, err := d.tables.Get(snapPartKey(g, head.Gen, n), nil)
		if errors.Is(err, leveldb.ErrNotFound) {
			err = fmt.Errorf("%w: row %d of %d is missing", ErrDamaged, n, head.Rows)
		}
		if err != nil {
			return s, err
		}
		s.State = append(s.State, part...)
	}
	if uint64(len(s.State)) != head.Bytes {
		return s, fmt.Errorf("%w: %d bytes, its head says %d", ErrDamaged, len(s.State), head.Bytes)
	}
	if head.Digest != nil && !bytes.Equal(head.Digest, s.Digest(g)) {
		return s, fmt.Errorf("%w: its digest is another", ErrDamaged)
	}
	return s, nil
}

// readEntries reads the accepted entries of a group.
func (d *DB) readEntries(g ids.Group) (entries []paxos.Entry, err error) {
	span := &util.Range{Start: key(g, entryKind, 0), Limit: key(g, entryKind+1, 0)}
	rows := d.tables.NewIterator(span, &opt.ReadOptions{DontFillCache: true})
	defer rows.Release()
	for rows.Next() {
		var row entryRow
		if err := codec.Unmarshal(rows.Value(), &row); err != nil {
			return nil, errs.Errorf("read entry", "disk", "%w: %v", ErrDamaged, err)
		}
		slot := ids.Slot(binary.BigEndian.Uint64(rows.Key()[keyHead:]))
		entries = append(entries, paxos.Entry{Slot: slot, Ballot: row.Ballot, Val: row.Val})
	}
	return entries, errs.Wrap("read entries", "disk", rows.Error())
}

// read reads a row; false when there is none.
func (d *DB) read(k []byte, into any) (bool, error) {
	row, err := d.tables.Get(k, nil)
	if errors.Is(err, leveldb.ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	if err := codec.Unmarshal(row, into); err != nil {
		return false, fmt.Errorf("%w: %v", ErrDamaged, err)
	}
	return true, nil
}

// Get reads a small row of the process itself, waiting as Put does; false when there is
// none.
func (d *DB) Get(name string, into any) (found bool, err error) {
	read := func() (err error) {
		d.tablesMu.RLock()
		defer d.tablesMu.RUnlock()
		if d.tables == nil {
			return ErrBusy
		}
		found, err = d.read([]byte(named(name)), into)
		return err
	}
	if d.offline {
		err = read()
	} else {
		err = Until(d.stop, read)
	}
	return found, errs.Wrap("read "+name, "disk", err)
}

// Groups lists the groups the disk holds anything of.
func (d *DB) Groups() (groups []ids.Group, err error) {
	d.tablesMu.RLock()
	defer d.tablesMu.RUnlock()
	if d.tables == nil {
		return nil, ErrBusy
	}
	rows := d.tables.NewIterator(util.BytesPrefix([]byte{groupRow}), &opt.ReadOptions{DontFillCache: true})
	defer rows.Release()
	for more := rows.First(); more; {
		g := ids.Group(binary.BigEndian.Uint32(rows.Key()[1:]))
		groups = append(groups, g)
		more = g < math.MaxUint32 && rows.Seek(key(g+1, 0, 0))
	}
	return groups, errs.Wrap("list groups", "disk", rows.Error())
}
