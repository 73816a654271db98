package control

import (
	"slices"
	"sort"

	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
)

// session remembers what was run for one origin, an incarnation of a control process,
// from the lowest number on that it still waits for: a copy of a command is
// answered alike or, below that, passed over, however late it comes.
type session struct {
	_      struct{} `cbor:",toarray"`
	Origin string
	Low    uint64
	Time   ids.Millis      // decided time of its last command
	Ran    []commandResult // by number
}

type commandResult struct {
	_   struct{} `cbor:",toarray"`
	Seq uint64
	Res Result
}

// A session ends long after its last command in decided time, which stands still
// while nothing can be decided: no copy lives as long. Past the bound on sessions
// the one that was silent for longest goes.
const (
	sessionLifetime = ids.Millis(10 * 60 * 1000)
	maxSessions     = 1024
	maxPending      = 1024 // commands that one origin waits for
)

// session gives the session that a command is to be recorded in, or nil for a copy, and
// then the result it had; 0 when that is forgotten because nobody waits for it.
func (s *State) session(id paxos.ID, low uint64) (*session, Result) {
	i := sort.Search(len(s.Sessions), func(i int) bool { return s.Sessions[i].Origin >= id.Origin })
	if i == len(s.Sessions) || s.Sessions[i].Origin != id.Origin {
		s.Sessions = slices.Insert(s.Sessions, i, session{Origin: id.Origin})
		i = s.dropSessions(id.Origin, i)
	}
	x := &s.Sessions[i]
	x.Time = s.Time
	if low > x.Low {
		x.Low = low
		n := sort.Search(len(x.Ran), func(i int) bool { return x.Ran[i].Seq >= low })
		x.Ran = slices.Clone(x.Ran[n:])
	}
	if id.Seq < x.Low {
		return nil, 0
	}
	if n, ok := slices.BinarySearchFunc(x.Ran, id.Seq, rowBy); ok {
		return nil, x.Ran[n].Res
	}
	return x, 0
}

func rowBy(r commandResult, seq uint64) int {
	if r.Seq < seq {
		return -1
	}
	return int(min(r.Seq-seq, 1))
}

// record keeps a command's result.
func (x *session) record(seq uint64, res Result) {
	n, _ := slices.BinarySearchFunc(x.Ran, seq, rowBy)
	x.Ran = slices.Insert(x.Ran, n, commandResult{Seq: seq, Res: res})
}

// dropSessions drops those that are over, and gives where one to keep stands now.
func (s *State) dropSessions(keep string, at int) int {
	oldest := -1
	out := s.Sessions[:0:0]
	for i, x := range s.Sessions {
		if x.Origin != keep && s.Time-x.Time > sessionLifetime {
			continue
		}
		if x.Origin != keep && (oldest < 0 || x.Time < s.Sessions[oldest].Time) {
			oldest = i
		}
		out = append(out, x)
	}
	if len(out) > maxSessions && oldest >= 0 {
		out = slices.DeleteFunc(out, func(x session) bool { return x.Origin == s.Sessions[oldest].Origin })
	}
	s.Sessions = out
	return slices.IndexFunc(out, func(x session) bool { return x.Origin == keep })
}
