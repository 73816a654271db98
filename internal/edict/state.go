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
	Put        Verb = iota + 1 // a configuration
	Enroll                     // a process began a life
	Leave                      // a process's life ended
	Found                      // place the shards
	Read                       // nothing: its place in the order makes a read current
	Retire                     // empty a storage machine
	Seated                     // a shard's membership is in force
	Follow                     // a store is to follow a shard
	Promote                    // a follower that is level takes a silent member's seat
	Drop                       // a store need not follow a shard any more
	Register                   // a worker began, or changed what it says of itself
	Unregister                 // a worker left, or fell silent
)

func (v Verb) String() string {
	return [...]string{"none", "put", "enrol", "leave", "found", "read", "retire", "seated", "follow", "promote", "drop", "register", "unregister"}[v]
}

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

	Group unit.Group    `cbor:"9,keyasint,omitempty"`
	From  accord.Member `cbor:"10,keyasint,omitempty"`
	To    accord.Member `cbor:"11,keyasint,omitempty"`

	Worker *rule.Worker `cbor:"12,keyasint,omitempty"`
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
	Config  []byte  // packed
	Past    []taken // configurations taken, newest last
	Nodes   []rule.Node
	Next    unit.Num
	Shards  []rule.Shard
	Recent  []doneRow // commands run lately, so a repeat is not run again

	ConfigAt unit.Slot // instances of the last changes
	NewsAt   unit.Slot
	Forgot   unit.Slot

	Workers []rule.Worker // by id
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
		if news {
			changed, s.NewsAt = true, d.Slot
		}
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
		sum := sha256.Sum256(c.Body) // packing is deterministic: equal bodies, equal bytes
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
		s.Release, s.Config, s.ConfigAt = c.Release, c.Body, s.Slot
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
		n.Gone, n.At = true, s.Slot
		return Done, true
	case Found:
		if len(s.Shards) > 0 {
			return Done, false
		}
		s.Shards = Place(s.Nodes, c.Shards, c.Losses)
		for i := range s.Shards {
			s.Shards[i].Group, s.Shards[i].At = unit.Group(i), s.Slot
		}
		return Done, len(s.Shards) > 0
	case Retire:
		return s.retire(c.Node.Name, c.Losses)
	case Seated:
		return Done, c.Seated != nil && s.seated(*c.Seated)
	case Follow, Promote, Drop:
		return Done, int(c.Group) < len(s.Shards) && s.move(&s.Shards[c.Group], c)
	case Register:
		return Done, c.Worker != nil && s.register(*c.Worker)
	case Unregister:
		return Done, c.Worker != nil && s.unregister(*c.Worker)
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
	if !same {
		sh.At = s.Slot
	}
	return !same
}

// move changes a shard's placement by one replica, if it still fits.
func (s *State) move(sh *rule.Shard, c *Command) bool {
	n := s.find(c.To.Node)
	if n == nil || n.Duty != rule.Store || n.Num != c.To.Num {
		return false
	}
	follows := index(sh.Learners, c.To)
	switch c.Verb {
	case Follow:
		if n.Gone || n.Empty || follows >= 0 || accord.Holds(sh.Voters, n.Addr) {
			return false
		}
		sh.Learners = append(cut(sh.Learners, -1), c.To)
	case Promote:
		i := index(sh.Voters, c.From)
		if i < 0 || follows < 0 || n.Gone || n.Empty {
			return false
		}
		sh.Voters = append([]accord.Member(nil), sh.Voters...)
		sh.Voters[i] = c.To
		sh.Learners = cut(sh.Learners, follows)
		if o := s.find(c.From.Node); o != nil && !o.Gone && !o.Empty {
			sh.Learners = append(sh.Learners, accord.Member{Num: o.Num, Node: o.Addr})
		}
	case Drop:
		if follows < 0 {
			return false
		}
		sh.Learners = cut(sh.Learners, follows)
	}
	sh.At = s.Slot
	return true
}

func index(ms []accord.Member, m accord.Member) int {
	for i, x := range ms {
		if x == m {
			return i
		}
	}
	return -1
}

// cut gives a copy without the member at i.
func cut(ms []accord.Member, i int) (out []accord.Member) {
	for j, x := range ms {
		if j != i {
			out = append(out, x)
		}
	}
	return out
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
	n.Empty, n.At = true, s.Slot
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
		n.Empty, n.At = old.Empty && n.Disk == old.Disk, s.Slot
		*old = n
	} else {
		s.forget()
		n.At = s.Slot
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
const keepGone = 128

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
		s.Forgot = s.Slot
		s.Nodes = append(s.Nodes[:first:first], s.Nodes[first+1:]...)
	}
}

// seat renumbers the places of a store whose disk came back empty.
func (s *State) seat(n rule.Node) {
	m := accord.Member{Num: n.Num, Node: n.Addr}
	for i := range s.Shards {
		sh := &s.Shards[i]
		for _, list := range []*[]accord.Member{&sh.Voters, &sh.Learners} {
			for j, x := range *list {
				if x.Node == n.Addr && x != m {
					*list = append([]accord.Member(nil), *list...)
					(*list)[j], sh.At = m, s.Slot
				}
			}
		}
	}
}

// Place chooses the replicas of each shard: 2·losses+1 voters spread over the
// zones, the first zone in turn taking what is left over, and a follower without
// a vote in each zone that has none. Inside a zone the store with the fewest
// seats is next, so shards, leaders and followers spread over all stores.
func Place(nodes []rule.Node, shards, losses int) []rule.Shard {
	byZone := map[unit.Zone][]rule.Node{}
	var zones []unit.Zone
	all := 0
	for _, n := range nodes {
		if n.Duty != rule.Store || n.Gone || n.Empty {
			continue
		}
		if byZone[n.Zone] == nil {
			zones = append(zones, n.Zone)
		}
		byZone[n.Zone] = append(byZone[n.Zone], n)
		all++
	}
	votes := 2*losses + 1
	if all < votes {
		return nil
	}
	sort.Slice(zones, func(i, j int) bool { return zones[i] < zones[j] })
	load, leads := map[unit.Node]int{}, map[unit.Node]int{}
	out := make([]rule.Shard, shards)
	for i := range out {
		sh := &out[i]
		take := func(z unit.Zone, lead bool) (accord.Member, bool) {
			weigh := func(n rule.Node) int {
				if lead {
					return leads[n.Addr]<<16 + load[n.Addr]
				}
				return load[n.Addr]
			}
			best := -1
			for k, n := range byZone[z] {
				if accord.Holds(sh.Voters, n.Addr) {
					continue
				}
				if best < 0 || weigh(n) < weigh(byZone[z][best]) {
					best = k
				}
			}
			if best < 0 {
				return accord.Member{}, false
			}
			n := byZone[z][best]
			load[n.Addr]++
			if lead {
				leads[n.Addr]++
			}
			return accord.Member{Num: n.Num, Node: n.Addr}, true
		}
		for j := 0; len(sh.Voters) < votes; j++ {
			if m, ok := take(zones[(i+j)%len(zones)], j == 0); ok {
				sh.Voters = append(sh.Voters, m)
			}
		}
		for j := votes; j < len(zones); j++ {
			if m, ok := take(zones[(i+j)%len(zones)], false); ok {
				sh.Learners = append(sh.Learners, m)
			}
		}
		sh.Founders = append([]accord.Member(nil), sh.Voters...)
	}
	return out
}

// News is the state as the data plane is told it.
func (s *State) News() *rule.News {
	return &rule.News{Seq: s.NewsAt, Forgot: s.Forgot, Release: s.Release, ConfigAt: s.ConfigAt, Config: s.Config, Nodes: s.Nodes, Shards: s.Shards, Workers: s.Workers}
}
