// Package unit holds the small types every other package speaks in: names,
// numbers, places and times, the error that carries step and peer, and the
// one-line event log.
package unit

import (
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

type (
	Node   string // a process, by the internal address it answers on
	Zone   string
	Num    uint16 // a member of a group; given once, never given again
	Group  uint32 // a shard's replica group
	Slot   uint64 // a consensus instance
	Ballot uint64 // the epoch of a group's leader: round<<16 | Num
	Millis int64  // wall or steady time in milliseconds, by context
	Client string
	Topic  string
	Seq    uint64
	Life   uint64 // one life of a process
)

// Ballot parts.
func MakeBallot(round uint64, n Num) Ballot { return Ballot(round<<16 | uint64(n)) }
func (b Ballot) Round() uint64              { return uint64(b) >> 16 }
func (b Ballot) Num() Num                   { return Num(b & 0xffff) }

// Pos is a place in a group's decided order: the instance and the index in it.
type Pos uint64

const idxBits = 20

func MakePos(s Slot, idx int) Pos { return Pos(uint64(s)<<idxBits | uint64(idx)) }

// EndOf names the place after everything in s.
func EndOf(s Slot) Pos       { return Pos(uint64(s)<<idxBits | (1<<idxBits - 1)) }
func (p Pos) Slot() Slot     { return Slot(uint64(p) >> idxBits) }
func (p Pos) String() string { return strconv.FormatUint(uint64(p), 36) }

// Cursor is the text a client keeps: group and place, valid for any client.
func Cursor(g Group, p Pos) string {
	return "c" + strconv.FormatUint(uint64(g), 36) + "-" + p.String()
}

// ParseCursor reads a cursor back; ok is false for text this system never gave.
func ParseCursor(s string) (g Group, p Pos, ok bool) {
	if len(s) < 4 || len(s) > 64 || s[0] != 'c' {
		return 0, 0, false
	}
	a, b, found := strings.Cut(s[1:], "-")
	if !found {
		return 0, 0, false
	}
	gn, err1 := strconv.ParseUint(a, 36, 32)
	pn, err2 := strconv.ParseUint(b, 36, 64)
	if err1 != nil || err2 != nil || pn > math.MaxInt64 || Cursor(Group(gn), Pos(pn)) != s {
		return 0, 0, false
	}
	return Group(gn), Pos(pn), true
}

// GroupOf gives the shard a topic belongs to.
func GroupOf(t Topic, groups int) Group {
	h := fnv.New32a()
	io.WriteString(h, string(t))
	return Group(h.Sum32() % uint32(groups))
}

var began = time.Now()

// Steady is this process's own clock; it never goes back.
func Steady() Millis { return Millis(time.Since(began) / time.Millisecond) }

func (m Millis) Span() time.Duration { return time.Duration(m) * time.Millisecond }

// Fault is an error with the step and the peer at which it arose.
type Fault struct {
	Step, Peer string
	Err        error
}

func (f *Fault) Error() string {
	if f.Peer == "" {
		return f.Step + ": " + f.Err.Error()
	}
	return f.Step + " at " + f.Peer + ": " + f.Err.Error()
}
func (f *Fault) Unwrap() error { return f.Err }

func Err(step, peer string, err error) error {
	if err == nil {
		return nil
	}
	return &Fault{step, peer, err}
}

func Errf(step, peer, format string, a ...any) error {
	return &Fault{step, peer, fmt.Errorf(format, a...)}
}

var (
	logMu  sync.Mutex
	logOut io.Writer = os.Stderr
)

// Log writes one event as one line of key=value pairs.
func Log(event string, kv ...any) {
	var b strings.Builder
	b.WriteString("t=" + time.Now().UTC().Format("2006-01-02T15:04:05.000Z") + " ev=" + event)
	for i := 0; i+1 < len(kv); i += 2 {
		v := fmt.Sprint(kv[i+1])
		if strings.ContainsAny(v, " \"=\n\r\t") || v == "" {
			v = strconv.Quote(v)
		}
		fmt.Fprintf(&b, " %v=%s", kv[i], v)
	}
	b.WriteByte('\n')
	logMu.Lock()
	io.WriteString(logOut, b.String())
	logMu.Unlock()
}
