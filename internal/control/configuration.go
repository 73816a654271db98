package control

import (
	"crypto/sha256"
	"slices"
)

// taken is a configuration that was taken.
type taken struct {
	_       struct{} `cbor:",toarray"`
	Release int64
	Sum     []byte // digest of the bytes as they came
	Packed  bool   // of a state from before: digest of what was packed then
}

// maxPastConfigs configurations taken are known at the most, three quarters of it at the
// least: at 19,000 changes a day those of more than a day.
const maxPastConfigs = 32 << 10

// Digest of a configuration's bytes, as they came.
func Digest(body []byte) []byte {
	sum := sha256.Sum256(body)
	return sum[:16]
}

// put takes a configuration, if it builds on the one in force; one that was taken
// before is answered as it was then, whatever came after.
func (s *State) put(c *Command) (Result, bool) {
	n, known := slices.BinarySearchFunc(s.Past, c.Release, func(t taken, r int64) int {
		return int(max(min(t.Release-r, 1), -1))
	})
	if known && s.Past[n].is(c) {
		return Done, false
	}
	if c.Match != s.Release {
		return Stale, false
	}
	if c.Release <= s.Release {
		return Low, false
	}
	t := taken{Release: c.Release, Sum: c.Sum}
	if len(c.Sum) == 0 { // of a process from before digests were given
		t.Sum, t.Packed = packedSum(c.Body), true
	}
	s.Release, s.Config, s.ConfigAt = c.Release, c.Body, s.Slot
	if s.Past = append(s.Past, t); len(s.Past) > maxPastConfigs {
		s.Past = append([]taken(nil), s.Past[maxPastConfigs/4:]...)
	}
	return Done, true
}

func packedSum(packed []byte) []byte {
	sum := sha256.Sum256(packed)
	return sum[:]
}

// is tells whether a command brings this very configuration.
func (t *taken) is(c *Command) bool {
	if t.Packed {
		return string(t.Sum) == string(packedSum(c.Body))
	}
	return string(t.Sum) == string(c.Sum)
}
