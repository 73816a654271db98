package storage

import (
	"encoding/binary"

	"github.com/syndtr/goleveldb/leveldb"
	"github.com/syndtr/goleveldb/leveldb/opt"
	"github.com/syndtr/goleveldb/leveldb/util"

	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
)

// The first letters of rows in folders of before. Their keys held a group in one
// byte, so that shards 1 and 257 would have shared their rows.
const (
	oldGroupRow = 'g'
	oldNameRow  = 'm'
)

// movedBytes go under one sync when a folder of before is taken over.
const movedBytes = 256 << 10

// oldSnapHead is the head of a snapshot from before it had a digest.
type oldSnapHead struct {
	_           struct{} `cbor:",toarray"`
	Slot        ids.Slot
	Memberships []paxos.Membership
	Gen         uint32
	Rows        uint32
	Bytes       uint64
}

// move puts all rows under today's keys. A folder of before is rewritten some
// rows at a time; each is there under one key or the other at any time, so it can
// be done again from any point. The names go first: a program of before, started
// on such a folder, then finds no identity and counts its disk as empty, where
// without its entries it would break promises made under that identity.
func move(db *leveldb.DB) (old bool, err error) {
	if old, err = hasOld(db); err != nil || !old {
		return old, err
	}
	err = each(db, oldNameRow, func(b *leveldb.Batch, k, v []byte) {
		b.Put([]byte(named(string(k[1:]))), v)
		b.Delete(k)
	})
	if err != nil {
		return true, err
	}
	return true, each(db, oldGroupRow, func(b *leveldb.Batch, k, v []byte) {
		now := binary.BigEndian.AppendUint32([]byte{groupRow}, uint32(k[1]))
		b.Put(append(now, k[2:]...), v)
		b.Delete(k)
	})
}

// hasOld tells whether rows are left under keys of before.
func hasOld(db *leveldb.DB) (bool, error) {
	for _, letter := range []byte{oldNameRow, oldGroupRow} {
		it := db.NewIterator(util.BytesPrefix([]byte{letter}), &opt.ReadOptions{DontFillCache: true})
		found := it.Next()
		it.Release()
		if found || it.Error() != nil {
			return found, it.Error()
		}
	}
	return false, nil
}

// each does what f makes of the rows of a first letter, some at a time, synced.
func each(db *leveldb.DB, letter byte, f func(b *leveldb.Batch, k, v []byte)) error {
	it := db.NewIterator(util.BytesPrefix([]byte{letter}), &opt.ReadOptions{DontFillCache: true})
	defer it.Release()
	var b leveldb.Batch
	for size := 0; ; {
		more := it.Next()
		if more {
			f(&b, it.Key(), it.Value())
			size += len(it.Key()) + len(it.Value())
		}
		if b.Len() > 0 && (!more || size > movedBytes) {
			if err := db.Write(&b, &opt.WriteOptions{Sync: true}); err != nil {
				return err
			}
			b.Reset()
			size = 0
		}
		if !more {
			return it.Error()
		}
	}
}
