// Package ids holds the small types that name things in every other package:
// processes, zones, replicas, groups, log positions, clients, topics and times.
package ids

import (
	"hash/fnv"
	"io"
	"math"
	"strconv"
	"strings"
	"time"
)

// Names, numbers and times that every package shares.
type (
	Node        string // a process, by the internal address it answers on
	Zone        string
	ReplicaID   uint16 // a member of a group; given once, never given again
	Group       uint32 // a shard's replica group
	Slot        uint64 // a consensus instance
	Ballot      uint64 // the epoch of a group's leader: round<<16 | ReplicaID
	Millis      int64  // wall or steady time in milliseconds, by context
	Client      string
	Topic       string
	Seq         uint64
	Incarnation uint64 // one run of a process, from start to end
)

// Tenant is the label of a tenant: whose messages are counted together against one
// limit.
type Tenant string

// MakeBallot makes the ballot of a replica's round.
func MakeBallot(round uint64, n ReplicaID) Ballot { return Ballot(round<<16 | uint64(n)) }

// Round is the round of a ballot: the higher one wins.
func (b Ballot) Round() uint64 { return uint64(b) >> 16 }

// Replica is whose ballot it is.
func (b Ballot) Replica() ReplicaID { return ReplicaID(b & 0xffff) }

// Position is a place in a group's decided order: the instance and the index in it.
type Position uint64

// idxBits of a position are the index in its instance.
const idxBits = 20

// MakePosition makes the position of a request: its instance and its index there.
func MakePosition(s Slot, idx int) Position { return Position(uint64(s)<<idxBits | uint64(idx)) }

// EndOf names the place after everything in s.
func EndOf(s Slot) Position { return Position(uint64(s)<<idxBits | (1<<idxBits - 1)) }

// Slot is the instance a position lies in.
func (p Position) Slot() Slot { return Slot(uint64(p) >> idxBits) }

// String is a position as cursors carry it: in base 36.
func (p Position) String() string { return strconv.FormatUint(uint64(p), 36) }

// Cursor is the text a client keeps: group and place, valid for any client.
func Cursor(g Group, p Position) string {
	return "c" + strconv.FormatUint(uint64(g), 36) + "-" + p.String()
}

// ParseCursor reads a cursor back; ok is false for text this system never gave.
func ParseCursor(s string) (g Group, p Position, ok bool) {
	if len(s) < 4 || len(s) > 64 || s[0] != 'c' {
		return 0, 0, false
	}
	a, b, found := strings.Cut(s[1:], "-")
	if !found {
		return 0, 0, false
	}
	gn, err1 := strconv.ParseUint(a, 36, 32)
	pn, err2 := strconv.ParseUint(b, 36, 64)
	if err1 != nil || err2 != nil || pn > math.MaxInt64 || Cursor(Group(gn), Position(pn)) != s {
		return 0, 0, false
	}
	return Group(gn), Position(pn), true
}

// GroupOf gives the shard a topic belongs to.
func GroupOf(t Topic, groups int) Group {
	h := fnv.New32a()
	io.WriteString(h, string(t))
	return Group(h.Sum32() % uint32(groups))
}

// began is when this process started.
var began = time.Now()

// MonotonicNow is this process's own clock; it never goes back.
func MonotonicNow() Millis { return Millis(time.Since(began) / time.Millisecond) }

// Duration gives milliseconds as the standard library's type.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }
