package edict

import (
	"fmt"
	"slices"
	"testing"

	"oxbowdeck/internal/accord"
	"oxbowdeck/internal/rule"
	"oxbowdeck/internal/unit"
)

// norms makes a group of three founders and more control processes enrolled.
func norms(t *testing.T, n int) (p *play, seats []accord.Member) {
	p = &play{}
	for i := 0; i < n; i++ {
		x := rule.Node{Duty: rule.Norm, Addr: unit.Node(fmt.Sprint("n", i)), Zone: unit.Zone(fmt.Sprint(i % 3)), Disk: uint64(i + 1), Life: 1}
		if i < 3 {
			x.Num = unit.Num(i + 1)
			seats = append(seats, accord.Member{Num: x.Num, Node: x.Addr})
		}
		p.do(t, Command{Verb: Enroll, Node: x})
	}
	return p, seats
}

func ear(silent ...unit.Num) Ear {
	is := func(n unit.Num) bool { return slices.Contains(silent, n) }
	not := func(n unit.Num) bool { return !slices.Contains(silent, n) }
	return Ear{Self: 1, Settled: len(silent) == 0, Heard: not, Silent: is, Level: not}
}

// TestControlGroupMends plays what may happen to norm's group until nothing is
// left to change: one member at a time, never one that is not there.
func TestControlGroupMends(t *testing.T) {
	for _, c := range []struct {
		name    string
		norms   int
		losses  int
		strike  func(p *play, e *Ear)
		voters  int
		without unit.Node
	}{
		{"nothing", 3, 1, func(*play, *Ear) {}, 3, ""},
		{"grows to what the losses ask for", 6, 2, func(*play, *Ear) {}, 5, ""},
		{"cannot grow", 4, 2, func(*play, *Ear) {}, 4, ""},
		{"silent, and nobody to take the seat", 3, 1, func(_ *play, e *Ear) { *e = ear(2) }, 3, ""},
		{"silent, so never settled, and one is level", 4, 1, func(_ *play, e *Ear) { *e = ear(2) }, 3, "n1"},
		{"left for good", 4, 1, func(p *play, _ *Ear) { p.do(t, Command{Verb: Leave, Node: *p.find("n2")}) }, 3, "n2"},
		{"its disk came back empty", 3, 1, func(p *play, e *Ear) {
			n := *p.find("n1")
			n.Disk, n.Num, n.Life = 99, 0, 2
			p.do(t, Command{Verb: Enroll, Node: n})
			*e = ear(2) // the number it had is silent for ever
		}, 3, ""},
	} {
		p, seats := norms(t, c.norms)
		e := ear()
		c.strike(p, &e)
		for steps := 0; ; steps++ {
			next, _, _ := p.Members(seats, c.losses, e)
			if next == nil {
				break
			}
			changed := 0
			for _, m := range next {
				if index(seats, m) < 0 {
					changed++
					if !e.Heard(m.Num) {
						t.Fatalf("%s: %v is given a seat and is not there", c.name, m)
					}
				}
			}
			if changed != 1 || steps > 10 {
				t.Fatalf("%s: %d changed in step %d", c.name, changed, steps)
			}
			seats = next
		}
		if len(seats) != c.voters || c.without != "" && accord.Holds(seats, c.without) {
			t.Errorf("%s: ends with %v", c.name, seats)
		}
		for _, m := range seats {
			if n := p.find(m.Node); n.Num != m.Num {
				t.Errorf("%s: %v votes, and its disk's number is %d", c.name, m, n.Num)
			}
		}
	}
}
