// Package edict is the control plane: the state norm's group agrees on
// (configuration, processes, placement) and the daemon that serves it.
package edict

import (
	"crypto/sha256"
	"sort"

	"github.com/fxamacker/cbor/v2"

	"oxbowdeck/internal/accord"
	"oxbowdeck/internal/rule"
	"oxbowdeck/internal/unit"
)

// Verb of a command to norm's group.
type Verb uint8

const (
	Put    Verb = iota + 1 // a configuration
	Enroll                 // a process began a life
	Leave                  // a process's life ended
	Found                  // place the shards
	Read                   // nothing: its place in the order makes a read current
	Retire                 // empty a storage machine
	Seated                 // a shard's membership is in force
)

// Command to norm's group.
type Command struct {
	Verb    Verb      `cbor:"1,keyasint"`
	Match   int64     `cbor:"2,keyasint,omitempty"`
	Release int64     `cbor:"3,keyasint,omitempty"`
	Body    []byte    `cbor:"4,keyasint,omitempty"`
	Node    rule.Node `cbor:"5,keyasint,omitempty"`
	Shards  int       `cbor:"6,keyasint,omitempty"`
	Losses  int       `cbor:"7,keyasint,omitempty"`

	Seated *rule.Seated `cbor:"8,keyasint,omitempty"`
}

// Result of a command.
type Result uint8

const (
	Done Result = iota + 1
	Stale
	Low
	Unknown // no such machine
	TooFew  // too few would be left
)

type taken struct {
	_       struct{} `cbor:",toarray"`
	Release int64
	Sum     [32]byte
}

type doneRow struct {
	_   struct{} `cbor:",toarray"`
	ID  accord.ID
	Res Result
}

// State is what norm's group agrees on.
type State struct {
	_       struct{} `cbor:",toarray"`
	Slot    unit.Slot
	Release int64
	Config  []byte
	Past    []taken // configurations taken, newest last
	Nodes   []rule.Node
	Next    unit.Num
	Shards  []rule.Shard
	Recent  []doneRow // commands run lately, so a repeat is not run again
}

const (
	keepPast   = 256
	keepRecent = 1024
)

// Apply runs a decided instance; told gets each command's result, and changed
// is true when the news changed.
func (s *State) Apply(d accord.Decided, told func(accord.ID, Result)) (changed bool) {
	s.Slot = d.Slot
	for _, r := range accord.Order(d.Value.Reqs) {
		if res, ok := s.ran(r.ID); ok {
			told(r.ID, res)
			continue
		}
		var c Command
		if err := cbor.Unmarshal(r.Data, &c); err != nil {
			continue
		}
		res, news := s.run(&c)
		changed = changed || news
		s.Recent = append(s.Recent, doneRow{ID: r.ID, Res: res})
		if len(s.Recent) > keepRecent {
			s.Recent = append([]doneRow(nil), s.Recent[keepRecent/2:]...)
		}
		told(r.ID, res)
	}
	return changed
}

func (s *State) ran(id accord.ID) (Result, bool) {
	for i := len(s.Recent) - 1; i >= 0; i-- {
		if s.Recent[i].ID == id {
			return s.Recent[i].Res, true
		}
	}
	return 0, false
}

func (s *State) run(c *Command) (Result, bool) {
	switch c.Verb {
	case Put:
		sum := sha256.Sum256(c.Body)
		for _, t := range s.Past {
			if t.Release == c.Release && t.Sum == sum {
				return Done, false // exactly this one has been taken
			}
		}
		if c.Match != s.Release {
			return Stale, false
		}
		if c.Release <= s.Release {
			return Low, false
		}
		s.Release, s.Config = c.Release, c.Body
		s.Past = append(s.Past, taken{Release: c.Release, Sum: sum})
		if len(s.Past) > keepPast {
			s.Past = append([]taken(nil), s.Past[keepPast/2:]...)
		}
		return Done, true
	case Enroll:
		return Done, s.enroll(c.Node)
	case Leave:
		n := s.find(c.Node.Addr)
		if n == nil || n.Life != c.Node.Life || n.Gone {
			return Done, false
		}
		n.Gone = true
		return Done, true
	case Found:
		if len(s.Shards) > 0 {
			return Done, false
		}
		s.Shards = Place(s.Nodes, c.Shards, c.Losses)
		return Done, len(s.Shards) > 0
	}
	if c.Verb == Retire {
		return s.retire(c.Node.Name, c.Losses)
	}
	if c.Verb == Seated && c.Seated != nil {
		return Done, s.seated(*c.Seated)
	}
	return Done, false
}

// seated takes a leader's report; one of an older epoch changes nothing.
func (s *State) seated(r rule.Seated) bool {
	if int(r.Group) >= len(s.Shards) || r.Epoch < s.Shards[r.Group].Epoch {
		return false
	}
	sh := &s.Shards[r.Group]
	same := accord.Same(sh.Seats, r.Seats)
	sh.Seats, sh.Epoch = r.Seats, r.Epoch
	return !same
}

// retire takes a storage machine's duties away: its votes go to others.
func (s *State) retire(name string, losses int) (Result, bool) {
	n := s.store(name)
	if n == nil {
		return Unknown, false
	}
	if n.Empty {
		return Done, false
	}
	left := 0
	for _, o := range s.Nodes {
		if o.Duty == rule.Store && !o.Gone && !o.Empty && o.Addr != n.Addr {
			left++
		}
	}
	if left < 2*losses+1 {
		return TooFew, false
	}
	n.Empty = true
	s.vacate(n.Addr)
	return Done, true
}

func (s *State) store(name string) *rule.Node {
	for i := range s.Nodes {
		if s.Nodes[i].Name == name && s.Nodes[i].Duty == rule.Store {
			return &s.Nodes[i]
		}
	}
	return nil
}

// vacate moves every seat of a store to another: one that follows already
// before one that does not, a zone without a vote before one that has one.
func (s *State) vacate(a unit.Node) {
	for i := range s.Shards {
		sh := &s.Shards[i]
		follows := map[unit.Node]bool{}
		votes := map[unit.Node]bool{}
		zones := map[unit.Zone]int{}
		for _, m := range sh.Learners {
			follows[m.Node] = true
		}
		for _, m := range sh.Voters {
			votes[m.Node] = true
			if o := s.find(m.Node); o != nil && m.Node != a {
				zones[o.Zone]++
			}
		}
		best := -1
		rank := func(o rule.Node) [2]int {
			r := [2]int{zones[o.Zone], 1}
			if follows[o.Addr] {
				r[1] = 0
			}
			return r
		}
		for j, o := range s.Nodes {
			if o.Duty != rule.Store || o.Gone || o.Empty || votes[o.Addr] {
				continue
			}
			if best < 0 || less(rank(o), rank(s.Nodes[best])) {
				best = j
			}
		}
		for j := range sh.Voters {
			if sh.Voters[j].Node == a && best >= 0 {
				sh.Voters[j] = accord.Member{Num: s.Nodes[best].Num, Node: s.Nodes[best].Addr}
			}
		}
		var learners []accord.Member
		for _, m := range sh.Learners {
			if m.Node != a && (best < 0 || m.Node != s.Nodes[best].Addr) {
				learners = append(learners, m)
			}
		}
		sh.Learners = learners
	}
}

func less(a, b [2]int) bool { return a[0] < b[0] || a[0] == b[0] && a[1] < b[1] }

// Emptied tells how far a store's retirement is: known, asked for, and done
// once no shard's membership in force holds it.
func (s *State) Emptied(name string) (known, asked, done bool) {
	n := s.store(name)
	if n == nil {
		return false, false, false
	}
	done = n.Empty
	for _, sh := range s.Shards {
		if len(sh.Seats) == 0 {
			done = false
		}
		for _, list := range [][]accord.Member{sh.Voters, sh.Learners, sh.Seats} {
			done = done && !accord.Holds(list, n.Addr)
		}
	}
	return true, n.Empty, done
}

func (s *State) find(a unit.Node) *rule.Node {
	for i := range s.Nodes {
		if s.Nodes[i].Addr == a {
			return &s.Nodes[i]
		}
	}
	return nil
}

func (s *State) enroll(n rule.Node) bool {
	old := s.find(n.Addr)
	if old != nil && old.Disk == n.Disk {
		n.Num = old.Num
	} else if n.Num == 0 && n.Duty != rule.Edge {
		// a disk not seen before: a number that never voted
		if s.Next < 16 {
			s.Next = 16 // lower ones belong to the founders of norm's group
		}
		s.Next++
		n.Num = s.Next
	}
	if old != nil {
		if old.Life == n.Life && !old.Gone {
			return false
		}
		n.Empty = old.Empty && n.Disk == old.Disk
		*old = n
	} else {
		s.forget()
		s.Nodes = append(s.Nodes, n)
		sort.Slice(s.Nodes, func(i, j int) bool { return s.Nodes[i].Addr < s.Nodes[j].Addr })
	}
	if n.Duty == rule.Store && len(s.Shards) > 0 && !n.Empty {
		s.seat(n)
	}
	return true
}

// keepGone is how many processes that are gone stay known; edges come and go
// under ever new addresses.
const keepGone = 512

// forget drops an edge that is gone once too many are known.
func (s *State) forget() {
	gone, first := 0, -1
	for i, n := range s.Nodes {
		if n.Gone && n.Duty == rule.Edge {
			if gone++; first < 0 {
				first = i
			}
		}
	}
	if gone > keepGone {
		s.Nodes = append(s.Nodes[:first:first], s.Nodes[first+1:]...)
	}
}

// seat gives an enrolled store its place: in the stead of its own lost disk, or
// as the follower of a zone that has none.
func (s *State) seat(n rule.Node) {
	m := accord.Member{Num: n.Num, Node: n.Addr}
	for i := range s.Shards {
		sh := &s.Shards[i]
		placed := false
		for _, list := range [][]accord.Member{sh.Voters, sh.Learners} {
			for j := range list {
				if list[j].Node == n.Addr {
					list[j], placed = m, true
				}
			}
		}
		if placed {
			continue
		}
		held := false
		for _, list := range [][]accord.Member{sh.Voters, sh.Learners} {
			for _, x := range list {
				if o := s.find(x.Node); o != nil && o.Zone == n.Zone {
					held = true
				}
			}
		}
		if !held {
			sh.Learners = append(sh.Learners, m)
		}
	}
}

// Place chooses the replicas of each shard: 2·losses+1 voters in as many zones
// as there are, rotated so that leaders and votes spread, and a follower
// without a vote in each zone left over.
func Place(nodes []rule.Node, shards, losses int) []rule.Shard {
	byZone := map[unit.Zone][]rule.Node{}
	var zones []unit.Zone
	for _, n := range nodes {
		if n.Duty != rule.Store || n.Gone || n.Empty {
			continue
		}
		if byZone[n.Zone] == nil {
			zones = append(zones, n.Zone)
		}
		byZone[n.Zone] = append(byZone[n.Zone], n)
	}
	sort.Slice(zones, func(i, j int) bool { return zones[i] < zones[j] })
	// one of each zone in turn, then the next of each
	var order []rule.Node
	first := 0
	for depth := 0; ; depth++ {
		more := false
		for _, z := range zones {
			if depth < len(byZone[z]) {
				order = append(order, byZone[z][depth])
				more = true
			}
		}
		if !more {
			break
		}
		if depth == 0 {
			first = len(order)
		}
	}
	votes := 2*losses + 1
	if len(order) < votes {
		return nil
	}
	ring := max(first, votes) // replicas that carry the shards
	out := make([]rule.Shard, shards)
	for i := range out {
		for j := 0; j < ring; j++ {
			n := order[(i+j)%ring]
			m := accord.Member{Num: n.Num, Node: n.Addr}
			if j < votes {
				out[i].Voters = append(out[i].Voters, m)
			} else {
				out[i].Learners = append(out[i].Learners, m)
			}
		}
		out[i].Founders = append([]accord.Member(nil), out[i].Voters...)
	}
	return out
}

// News is the state as the data plane is told it.
func (s *State) News() *rule.News {
	return &rule.News{Seq: s.Slot, Release: s.Release, Config: s.Config, Nodes: s.Nodes, Shards: s.Shards}
}
