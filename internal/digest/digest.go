// Package digest compares copies of a log by digests over ranges of instances:
// equal digests need no look inside, unequal ones are halved until the first
// instance that differs is found.
package digest

import (
	"crypto/sha256"
	"encoding/binary"

	"oxbowdeck/internal/ids"
)

// Copy is one replica's decided values.
type Copy struct {
	First, Last ids.Slot
	At          func(ids.Slot) []byte
}

// Digest is the digest of a copy's range.
func (c Copy) Digest(from, to ids.Slot) [32]byte {
	h := sha256.New()
	var n [8]byte
	for s := from; s <= to; s++ {
		v := c.At(s)
		binary.BigEndian.PutUint64(n[:], uint64(len(v)))
		h.Write(n[:])
		h.Write(v)
	}
	return [32]byte(h.Sum(nil))
}

// Differ gives the first instance at which two copies differ, among those that
// both hold.
func Differ(a, b Copy) (ids.Slot, bool) {
	from, to := max(a.First, b.First), min(a.Last, b.Last)
	if from > to || a.Digest(from, to) == b.Digest(from, to) {
		return 0, false
	}
	for from < to {
		mid := from + (to-from)/2
		if a.Digest(from, mid) != b.Digest(from, mid) {
			to = mid
		} else {
			from = mid + 1
		}
	}
	return from, true
}
