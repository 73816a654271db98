package control

import (
	"cmp"
	"slices"

	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
)

// Report is what a shard's leader last said of its replicas.
type Report struct {
	controlapi.MemberLost
	Long  map[ids.ReplicaID]bool // silent for so long that a busy store may replace it
	Stuck map[ids.ReplicaID]bool // learners that have not caught up for so long that another store is taken

	// learners, of the shard's placement as it is now, that the group may let go
	Released []paxos.Member
}

// mayDrop tells whether a learner may be let go: its group waits for nothing of it, or it is
// not there to be waited for.
func (r *Report) mayDrop(m paxos.Member, node *controlapi.Node) bool {
	return node == nil || node.Gone || index(r.Released, m) >= 0
}

// maxStuckLearners bounds the learners of a shard that are waited for no longer.
const maxStuckLearners = 2

// Moves gives the next change of each shard's placement, at most one a shard,
// from what its leader reported. Every change is of one replica: a store follows
// first, and becomes a voter only once the leader calls it caught up.
//
// In this order: a voter that is silent, or to be emptied, is replaced by a learner
// that caught up; else a store begins to follow for it; a zone without a live
// replica gets a learner; learners nobody needs any more are let go; a shard founded
// with too few voters gets one more; and, when nothing else is under way, a store
// with few votes relieves one with many.
func (s *State) Moves(reports map[ids.Group]Report) (out []Command) {
	load := s.loads()
	calm := true
	for i := range s.Shards {
		sh := &s.Shards[i]
		r, ok := reports[sh.Group]
		if !ok || r.Epoch < sh.Epoch {
			calm = false
			continue
		}
		if move, ok := s.repair(sh, r, load); ok {
			out = append(out, move)
		} else if len(r.Silent) == 0 && paxos.SameMembers(sh.Members, sh.Voters) {
			move, underWay := s.addVoter(sh, r, load)
			if move.Verb != 0 {
				out = append(out, move)
			}
			if !underWay {
				continue
			}
		}
		calm = false
	}
	if calm {
		if move, ok := s.balance(reports, load); ok {
			out = append(out, move)
		}
	}
	return out
}

// repair gives the next change that a shard needs.
func (s *State) repair(sh *controlapi.Shard, r Report, load map[ids.Node]int) (Command, bool) {
	if move, ok := s.replaceVoter(sh, r, load); ok {
		return move, true
	}
	return s.coverZones(sh, r, load)
}

// usable gives a store that can be given replicas.
func (s *State) usable(a ids.Node) *controlapi.Node {
	n := s.find(a)
	if n == nil || n.Gone || n.Empty {
		return nil
	}
	return n
}

// outside tells whether a process is a store that could begin to follow a shard.
func (s *State) outside(sh *controlapi.Shard, n *controlapi.Node) bool {
	return n.Role == controlapi.Store && s.usable(n.Addr) != nil &&
		!paxos.ContainsNode(sh.Voters, n.Addr) && !paxos.ContainsNode(sh.Learners, n.Addr)
}

func follow(sh *controlapi.Shard, n *controlapi.Node) Command {
	return Command{Verb: Follow, Group: sh.Group, To: paxos.Member{ID: n.Num, Node: n.Addr}}
}

// promote has a learner take a voter's place. The one replaced follows on: it may have led,
// and has to hear whom to report to what it began.
func promote(sh *controlapi.Shard, from, to paxos.Member) Command {
	return Command{Verb: Promote, Group: sh.Group, From: from, To: to, UntilReleased: true}
}

// replaceVoter gives the next step of replacing a voter that is silent or to be emptied.
func (s *State) replaceVoter(sh *controlapi.Shard, r Report, load map[ids.Node]int) (Command, bool) {
	for _, v := range sh.Voters {
		node := s.find(v.Node)
		empty := node != nil && node.Empty
		if !empty && index(r.Silent, v) < 0 {
			continue
		}
		votes := s.votersByZone(sh, v)
		var zone ids.Zone
		if node != nil {
			zone = node.Zone
		}
		ready, following := s.replacements(sh, r)
		if n := nearest(ready, zone, votes, load); n != nil {
			to := paxos.Member{ID: n.Num, Node: n.Addr}
			return promote(sh, v, to), true
		}
		if following {
			continue // it is on its way
		}
		anyStore := empty || r.Long[v.ID] || node == nil || node.Gone
		var free []*controlapi.Node
		for i := range s.Nodes {
			n := &s.Nodes[i]
			if s.outside(sh, n) && (anyStore || s.idle(n.Addr, v.Node)) {
				free = append(free, n)
			}
		}
		if n := nearest(free, zone, votes, load); n != nil {
			load[n.Addr] += learnerLoad
			return follow(sh, n), true
		}
	}
	return Command{}, false
}

// replacements gives the learners that caught up, and whether to wait for a learner
// that is not there for its zone's sake: one that does not get on, while it lives on
// the ring of heartbeats, would hold up the replacement for as long as it likes.
func (s *State) replacements(sh *controlapi.Shard, r Report) (ready []*controlapi.Node, following bool) {
	stuck := 0
	for _, m := range sh.Learners {
		n := s.usable(m.Node)
		if n == nil || n.Num != m.ID {
			continue
		}
		if index(r.Ready, m) >= 0 {
			ready = append(ready, n)
		}
		if !s.spare(sh, n) {
			continue
		}
		if r.Stuck[m.ID] {
			stuck++
		} else {
			following = true
		}
	}
	return ready, following || stuck >= maxStuckLearners
}

// idle tells whether a store holds nothing but votes it took off another.
func (s *State) idle(a, from ids.Node) bool {
	for _, sh := range s.Shards {
		if paxos.ContainsNode(sh.Voters, a) && !paxos.ContainsNode(sh.Learners, from) {
			return false
		}
	}
	return true
}

// spare tells whether a learner is not there for its zone's sake.
func (s *State) spare(sh *controlapi.Shard, n *controlapi.Node) bool {
	for _, list := range [][]paxos.Member{sh.Voters, sh.Learners} {
		for _, m := range list {
			if o := s.usable(m.Node); o != nil && o.Zone == n.Zone && o.Addr != n.Addr {
				return true
			}
		}
	}
	return false
}

// votersByZone counts a shard's votes in each zone, without one member's.
func (s *State) votersByZone(sh *controlapi.Shard, but paxos.Member) map[ids.Zone]int {
	zones := map[ids.Zone]int{}
	for _, m := range sh.Voters {
		if o := s.find(m.Node); o != nil && m != but {
			zones[o.Zone]++
		}
	}
	return zones
}

// nearest chooses among stores: where the fewest votes are, then the zone that
// is left, then the least loaded.
func nearest(
	list []*controlapi.Node, zone ids.Zone, votes map[ids.Zone]int, load map[ids.Node]int,
) *controlapi.Node {
	if len(list) == 0 {
		return nil
	}
	otherZone := func(n *controlapi.Node) int {
		if n.Zone == zone {
			return 0
		}
		return 1
	}
	return slices.MinFunc(list, func(a, b *controlapi.Node) int {
		return cmp.Or(
			cmp.Compare(votes[a.Zone], votes[b.Zone]),
			cmp.Compare(otherZone(a), otherZone(b)),
			cmp.Compare(load[a.Addr], load[b.Addr]),
			cmp.Compare(a.Addr, b.Addr),
		)
	})
}
