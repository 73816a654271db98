package control

import (
	"slices"

	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
)

// retirement is an order to empty a machine: an operator knows it by its name
// alone, and names are used again.
type retirement struct {
	_    struct{} `cbor:",toarray"`
	Name string
	Addr ids.Node
	Disk uint64
	Time ids.Millis // decided time of the order
}

// maxRetirements bounds the orders remembered.
const maxRetirements = 256

// retire takes a storage machine's duties away: its votes go to others. A repeat
// of an order, within the time that it may be repeated, speaks of the machine that
// it was given for, also when another one of that name has joined meanwhile.
func (s *State) retire(name string, losses int, within ids.Millis) (Result, bool) {
	n, r := s.store(name), s.ordered(name)
	if r != nil && (n == nil || n.Disk != r.Disk) && s.Time-r.Time <= within {
		return Done, false
	}
	if n == nil || n.Gone && !n.Empty {
		return Unknown, false
	}
	if n.Empty {
		return Done, false
	}
	left := 0
	for _, o := range s.Nodes {
		if o.Role == controlapi.Store && !o.Gone && !o.Empty && o.Addr != n.Addr {
			left++
		}
	}
	if left < 2*losses+1 {
		return TooFew, false
	}
	n.Empty, n.At = true, s.Slot
	s.Retired = append(s.Retired, retirement{Name: name, Addr: n.Addr, Disk: n.Disk, Time: s.Time})
	if len(s.Retired) > maxRetirements {
		s.Retired = append([]retirement(nil), s.Retired[len(s.Retired)-maxRetirements:]...)
	}
	return Done, true
}

// ordered gives the last order for a machine of that name.
func (s *State) ordered(name string) *retirement {
	for i := len(s.Retired) - 1; i >= 0; i-- {
		if s.Retired[i].Name == name {
			return &s.Retired[i]
		}
	}
	return nil
}

// renewOrder has the order to empty a store hold for the disk that the store joins with; false:
// the order has come to its end.
func (s *State) renewOrder(store *controlapi.Node, disk uint64) bool {
	order := s.ordered(store.Name)
	if order == nil || order.Addr != store.Addr || order.Disk != store.Disk {
		return false
	}
	if _, _, done := s.Emptied(store.Name); done {
		return false
	}
	s.Retired = slices.Clone(s.Retired)
	s.ordered(store.Name).Disk = disk
	return true
}

// store gives the storage machine of a name: the one that lives, else the one
// that was heard of last.
func (s *State) store(name string) (best *controlapi.Node) {
	for i := range s.Nodes {
		n := &s.Nodes[i]
		if n.Name != name || n.Role != controlapi.Store {
			continue
		}
		if best == nil || best.Gone && !n.Gone || best.Gone == n.Gone && n.At > best.At {
			best = n
		}
	}
	return best
}

// Emptied tells how far a store's retirement is: known, asked for, and done once no shard's
// membership in force holds it and no shard's placement names it any more. A store that was
// replaced as a voter follows on until the leader after it releases it, so what the store
// read from workers as the leader before is decided by then.
func (s *State) Emptied(name string) (known, asked, done bool) {
	n, r := s.store(name), s.ordered(name)
	if r == nil && (n == nil || !n.Empty) {
		return n != nil, false, false
	}
	addr, empty := ids.Node(""), true
	if r != nil {
		addr = r.Addr
		if o := s.find(addr); o != nil && o.Disk == r.Disk {
			empty = o.Empty
		}
	} else { // ordered before orders were kept
		addr = n.Addr
	}
	done = empty
	for _, sh := range s.Shards {
		if len(sh.Members) == 0 {
			done = false
		}
		for _, list := range [][]paxos.Member{sh.Voters, sh.Learners, sh.Members} {
			done = done && !paxos.ContainsNode(list, addr)
		}
	}
	return true, empty, done
}
