package storage

import (
	"encoding/binary"

	"github.com/syndtr/goleveldb/leveldb"

	"oxbowdeck/internal/codec"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
)

// Keys: groupRow, the group, the kind of row and a number; or nameRow and a name.
// Folders of before (old.go) had other first letters, and one byte for the group.
const (
	groupRow = 'G'
	nameRow  = 'M'
	keyHead  = 1 + 4 + 1 // bytes before the number
)

// Kinds of a group's rows.
const (
	headKind     = 'h'
	entryKind    = 'e'
	snapHeadKind = 'S'
	snapPartKind = 's'
	firstKind    = 0   // below all
	lastKind     = 255 // above all
)

// key is the key of a group's row.
func key(g ids.Group, kind byte, number ids.Slot) []byte {
	k := binary.BigEndian.AppendUint32([]byte{groupRow}, uint32(g))
	return binary.BigEndian.AppendUint64(append(k, kind), uint64(number))
}

// snapPartKey is the key of a row of a snapshot of a generation.
func snapPartKey(g ids.Group, generation, n uint32) []byte {
	return key(g, snapPartKind, ids.Slot(generation)<<32|ids.Slot(n))
}

// named is the key of a small row of the process itself.
func named(name string) string { return string(nameRow) + name }

// headRow is what a replica promised, and how far it knows what is decided.
type headRow struct {
	_        struct{} `cbor:",toarray"`
	Promised ids.Ballot
	Commit   ids.Slot
}

// entryRow is an accepted entry; its instance is in the key.
type entryRow struct {
	_      struct{} `cbor:",toarray"`
	Ballot ids.Ballot
	Val    []byte
}

// snapHead says which rows make a group's snapshot. It is written, and synced,
// after they are: until then the one before it holds.
type snapHead struct {
	_           struct{} `cbor:",toarray"`
	Slot        ids.Slot
	Memberships []paxos.Membership
	Gen         uint32
	Rows        uint32
	Bytes       uint64
	Digest      []byte // none: written before there was one
}

// appendTo puts a job's rows into a batch.
func (j *job) appendTo(b *leveldb.Batch) {
	for k, val := range j.rows {
		b.Put([]byte(k), val)
	}
	if len(j.records) == 0 {
		return
	}
	var head headRow
	for _, r := range j.records {
		head = headRow{Promised: r.Promised, Commit: r.Commit}
		if r.Entry != nil {
			row, _ := codec.Marshal(entryRow{Ballot: r.Entry.Ballot, Val: r.Entry.Val})
			b.Put(key(j.group, entryKind, r.Entry.Slot), row)
		}
	}
	row, _ := codec.Marshal(head)
	b.Put(key(j.group, headKind, 0), row)
}
