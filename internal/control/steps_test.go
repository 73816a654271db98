package control

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
)

func init() {
	flag.Set("rapid.seed", "1") // the same draws on every machine
	flag.Set("rapid.nofailfile", "true")
}

// stores draws storage machines in up to four zones.
func drawStores(t *rapid.T, least int) (out []controlapi.Node) {
	n := rapid.IntRange(least, 9).Draw(t, "stores")
	zones := rapid.IntRange(1, 4).Draw(t, "zones")
	for i := 0; i < n; i++ {
		z := i
		if i >= zones {
			z = rapid.IntRange(0, zones-1).Draw(t, "zone")
		}
		out = append(out, controlapi.Node{Name: fmt.Sprint("s", i), Role: controlapi.Store, Zone: ids.Zone(fmt.Sprint(z % zones)),
			Addr: ids.Node(fmt.Sprint("a", i)), Disk: uint64(100 + i), Incarnation: 1})
	}
	return out
}

// distinct fails if two replicas of a shard are on one node.
func distinct(t *rapid.T, sh controlapi.Shard) {
	seen := map[ids.Node]bool{}
	for _, list := range [][]paxos.Member{sh.Voters, sh.Learners} {
		for _, m := range list {
			if seen[m.Node] {
				t.Fatalf("shard %d has two replicas on %s: %v %v", sh.Group, m.Node, sh.Voters, sh.Learners)
			}
			seen[m.Node] = true
		}
	}
}

// TestPlaceAnywhere: wherever stores stand, each shard has its votes, spread over
// the zones as evenly as these allow, on stores that are there.
func TestPlaceAnywhere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := drawStores(t, 1)
		live, size := 0, map[ids.Zone]int{}
		for i := range nodes {
			n := &nodes[i]
			n.Num = ids.ReplicaID(i + 1)
			n.Gone = rapid.IntRange(0, 5).Draw(t, "gone") == 0
			n.Empty = rapid.IntRange(0, 5).Draw(t, "empty") == 0
			if !n.Gone && !n.Empty {
				live++
				size[n.Zone]++
			}
		}
		losses, shards := rapid.IntRange(1, 2).Draw(t, "losses"), rapid.IntRange(1, 5).Draw(t, "shards")
		out := Place(nodes, shards, losses)
		if (live >= 2*losses+1) != (len(out) == shards) {
			t.Fatalf("%d of %d shards on %d stores", len(out), shards, live)
		}
		for _, sh := range out {
			distinct(t, sh)
			votes := map[ids.Zone]int{}
			for _, m := range append(sh.Voters[:len(sh.Voters):len(sh.Voters)], sh.Learners...) {
				for _, n := range nodes {
					if n.Addr == m.Node && (n.Gone || n.Empty || n.Num != m.ID) {
						t.Fatalf("%v is given a seat: gone %v, to be emptied %v", m, n.Gone, n.Empty)
					}
					if n.Addr == m.Node && paxos.ContainsNode(sh.Voters, m.Node) {
						votes[n.Zone]++
					}
				}
			}
			if len(sh.Voters) != 2*losses+1 {
				t.Fatalf("%d voters", len(sh.Voters))
			}
			for z, a := range size {
				for y := range size {
					if votes[z] < a && votes[y] > votes[z]+1 {
						t.Fatalf("%d votes in zone %s, which has room, and %d in %s", votes[z], z, votes[y], y)
					}
				}
			}
		}
	})
}

// TestMovesAnyDay: whatever befalls the stores, each step changes one replica of
// a shard, a seat goes only to one that followed and is there, and the moves come
// to rest.
func TestMovesAnyDay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &State{}
		losses := rapid.IntRange(1, 2).Draw(t, "losses")
		nodes := drawStores(t, 2*losses+1)
		for _, n := range nodes {
			s.run(&Command{Verb: Enroll, Node: n})
		}
		s.run(&Command{Verb: Found, Shards: rapid.IntRange(1, 4).Draw(t, "shards"), Losses: losses})
		silent := map[ids.Node]bool{}
		for day := rapid.IntRange(1, 6).Draw(t, "days"); day > 0; day-- {
			n := nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "store")]
			switch what := rapid.SampledFrom([]string{"silent", "back", "leaves", "retired", "wiped", "new"}).Draw(t, "what"); what {
			case "silent":
				silent[n.Addr] = true
			case "back":
				delete(silent, n.Addr)
			case "leaves":
				if o := s.find(n.Addr); !o.Gone {
					s.run(&Command{Verb: Leave, Node: *o})
					silent[n.Addr] = true
				}
			case "retired":
				s.run(&Command{Verb: Retire, Node: controlapi.Node{Name: n.Name}, Losses: losses})
			case "wiped":
				o := *s.find(n.Addr)
				o.Disk, o.Incarnation, o.Num, o.Gone = o.Disk+1000, o.Incarnation+1, 0, false
				s.run(&Command{Verb: Enroll, Node: o})
				delete(silent, n.Addr)
			case "new":
				n.Name, n.Addr, n.Disk = fmt.Sprint("n", day), ids.Node(fmt.Sprint("b", day)), uint64(5000+day)
				nodes = append(nodes, n)
				s.run(&Command{Verb: Enroll, Node: n})
			}
			s.rest(t, silent, rapid.Bool().Draw(t, "long"))
		}
	})
}

// rest lets the moves come to rest, each checked.
func (s *State) rest(t *rapid.T, silent map[ids.Node]bool, long bool) {
	for steps := 0; ; steps++ {
		for i := range s.Shards {
			s.Shards[i].Members = s.Shards[i].Voters // it is in force, and level
		}
		told := s.simulatedReports(silent, long)
		if steps%3 != 2 { // a follower is level after a while, not at once
			for g, r := range told {
				r.Ready = nil
				told[g] = r
			}
		}
		moves := s.Moves(told)
		if len(moves) == 0 && steps%3 == 2 {
			s.checkFollowers(t)
			return
		}
		if steps > 600 {
			t.Fatalf("moves without an end: %v", moves)
		}
		for _, c := range moves {
			was := s.Shards[c.Group]
			s.run(&c)
			sh := s.Shards[c.Group]
			distinct(t, sh)
			if len(sh.Voters) != len(was.Voters) {
				t.Fatalf("%d voters, were %d", len(sh.Voters), len(was.Voters))
			}
			comes := 0
			for _, m := range sh.Voters {
				if index(was.Voters, m) >= 0 {
					continue
				}
				comes++
				n := s.find(m.Node)
				if n.Gone || n.Empty || n.Num != m.ID || silent[m.Node] || index(was.Learners, m) < 0 {
					t.Fatalf("%v takes a seat: gone %v, to be emptied %v, number %d, silent %v, followed %v", m, n.Gone, n.Empty, n.Num, silent[m.Node], index(was.Learners, m) >= 0)
				}
			}
			for _, m := range sh.Learners {
				// a voter that is replaced follows on until it is released
				replaced := paxos.ContainsNode(was.Voters, m.Node) && c.Verb == Promote
				if n := s.find(m.Node); index(was.Learners, m) < 0 && (n.Gone || n.Empty && !replaced || n.Num != m.ID) {
					t.Fatalf("%v begins to follow: gone %v, to be emptied %v", m, n.Gone, n.Empty)
				}
			}
			if comes > 1 {
				t.Fatalf("%d members changed by %v", comes, c.Verb)
			}
		}
	}
}

// checkFollowers: once the moves are at rest nobody follows who is gone or to be emptied.
func (s *State) checkFollowers(t *rapid.T) {
	for _, sh := range s.Shards {
		for _, m := range sh.Learners {
			if n := s.find(m.Node); n == nil || n.Gone || n.Empty {
				t.Fatalf("%v follows shard %d at rest: %+v", m, sh.Group, n)
			}
		}
	}
}

// TestFollowerOfARetirementStays while it is not level yet, also where its zone
// has another replica.
func TestFollowerOfARetirementStays(t *testing.T) {
	p := &play{}
	p.found(t, 1, 1, "a", "a", "a", "a")
	out := p.Shards[0].Voters[0]
	p.do(t, Command{Verb: Retire, Node: controlapi.Node{Name: p.find(out.Node).Name}, Losses: 1})
	told := p.simulatedReports(nil, false)
	moves := p.Moves(told)
	if len(moves) != 1 || moves[0].Verb != Follow {
		t.Fatalf("moves %v", moves)
	}
	p.do(t, moves[0])
	if again := p.Moves(told); len(again) != 0 { // nobody is reported to be level
		t.Fatalf("%s of %v, which is on its way", again[0].Verb, again[0].To)
	}
	p.settle(t, nil, false)
	if p.holds(out.Node) != 0 {
		t.Fatal("not emptied")
	}
}
