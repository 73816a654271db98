package accord

import (
	"testing"

	"oxbowdeck/internal/unit"
)

// TestLevelIsOnDisk: a replica says it holds what its disk holds and says is
// decided, and nothing beyond.
func TestLevelIsOnDisk(t *testing.T) {
	c := replica(2, three, Boot{})
	b := unit.MakeBallot(1, 1)
	told := func() (e Effects, at unit.Slot, n int) {
		c.Take(2, "a", Msg{Kind: Beat, From: 1, Ballot: b, Commit: 1, Yes: true})
		e = c.Drain()
		n, m := kinds(e, Level)
		return e, m.Commit, n
	}
	c.Take(1, "a", Msg{Kind: Accept, From: 1, Ballot: b, Slot: 1, Val: encode(Value{})})
	first := c.Drain()
	if _, at, n := told(); n != 1 || at != 0 || c.Commit() != 1 {
		t.Fatalf("%d words, level at %d with nothing on the disk", n, at)
	}
	c.Synced(3, first.Token)
	c.Drain()
	e, _, n := told()
	if n != 0 || len(e.Saves) != 1 || e.Saves[0].Commit != 1 {
		t.Fatalf("%d words before the disk says what is decided, saves %v", n, e.Saves)
	}
	c.Synced(4, e.Token)
	if n, m := kinds(c.Drain(), Level); n != 1 || m.Commit != 1 {
		t.Fatalf("%d words, level at %d", n, m.Commit)
	}
	if e, at, n := told(); n != 1 || at != 1 || len(e.Saves) != 0 {
		t.Fatalf("%d words, level at %d, %d writes for what is there", n, at, len(e.Saves))
	}
}
