package edict

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"oxbowdeck/internal/accord"
	"oxbowdeck/internal/rule"
	"oxbowdeck/internal/unit"
)

// fleet is a founded deployment of so many edges and stores.
func fleet(t *testing.T, edges, stores int) *play {
	p := &play{}
	zones := []unit.Zone{"a", "b", "c", "d", "e", "f"}
	enrol := func(d rule.Duty, n int) {
		for i := 0; i < n; i++ {
			name := fmt.Sprintf("%s-%s-%03d", d, zones[i%6], i)
			p.do(t, Command{Verb: Enroll, Node: rule.Node{Name: name, Duty: d, Zone: zones[i%6], Addr: unit.Node(name), Front: name, Disk: uint64(i + 1), Life: 1}})
		}
	}
	enrol(rule.Norm, 5)
	enrol(rule.Store, stores)
	enrol(rule.Edge, edges)
	p.do(t, Command{Verb: Found, Shards: 16, Losses: 2})
	p.do(t, put(0, 1, string(routes(1500, -1, ""))))
	return p
}

// store gives one that holds nothing of shard 3.
func store(p *play) accord.Member {
	for _, n := range p.Nodes {
		if n.Duty == rule.Store && !accord.Holds(p.Shards[3].Voters, n.Addr) && !accord.Holds(p.Shards[3].Learners, n.Addr) {
			return accord.Member{Num: n.Num, Node: n.Addr}
		}
	}
	return accord.Member{}
}

func size(t *testing.T, v any) int {
	b, err := cbor.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return len(b)
}

// TestNewsOfAFleet: what a process is told does not grow with the edges there
// are: the sketch an edge begins with, and each change after it.
func TestNewsOfAFleet(t *testing.T) {
	small, large := fleet(t, 25, 45), fleet(t, 250, 45)
	if a, b := size(t, small.News().Sketch()), size(t, large.News().Sketch()); a != b || b > 12<<10 {
		t.Errorf("a sketch takes %d bytes with 25 edges, %d with 250", a, b)
	}
	change := func(p *play, c Command) int {
		seq := p.NewsAt
		p.do(t, c)
		return size(t, p.News().Since(seq))
	}
	for what, c := range map[string]Command{
		"an edge that joins": {Verb: Enroll, Node: rule.Node{Name: "edge-x", Duty: rule.Edge, Zone: "a", Addr: "edge-x", Life: 1}},
		"an edge that goes":  {Verb: Leave, Node: rule.Node{Addr: "edge-b-007", Life: 1}},
		"a store that moves": {Verb: Follow, Group: 3, To: store(small)},
	} {
		if a, b := change(small, c), change(large, c); b > a+16 || b > 2<<10 {
			t.Errorf("%s: %d bytes of news with 25 edges, %d with 250", what, a, b)
		}
	}
}

// TestSketchThenNews: a process begins with the sketch, takes the news of any
// home after it, and no later sketch takes them back.
func TestSketchThenNews(t *testing.T) {
	p := fleet(t, 10, 12)
	heard := 0
	c := rule.Client{Self: rule.Node{Addr: "edge-a-000", Life: 1}, OnNews: func(*rule.News) { heard++ }}
	c.Take(p.News().Sketch())
	if c.News == nil || c.Seq() != 0 || c.Listed() || len(c.News.Shards) != 16 {
		t.Fatal("the sketch was not taken as one")
	}
	if live, _ := c.Norms(); len(live) != 5 {
		t.Fatalf("%d control processes in the sketch", len(live))
	}
	p.do(t, Command{Verb: Leave, Node: rule.Node{Addr: "edge-b-001", Life: 1}})
	c.Take(p.News().Since(p.NewsAt - 1))
	if c.Seq() != 0 || !c.Lacks() {
		t.Fatal("changes were taken onto a sketch")
	}
	c.Asked()
	c.Take(p.News().Since(0))
	if c.Seq() != p.NewsAt || !c.Listed() || c.Lacks() {
		t.Fatal("the news were not taken")
	}
	c.Take(p.News().Sketch())
	if c.Seq() != p.NewsAt || heard != 2 {
		t.Fatal("a sketch took the news back")
	}
}
