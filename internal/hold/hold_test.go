package hold

import "testing"

// TestTight: the bounds of disk and memory close above the high mark and open
// only below the low one.
func TestTight(t *testing.T) {
	was := false
	for i, c := range []struct {
		used int64
		want bool
	}{{50, false}, {84, false}, {86, true}, {80, true}, {76, true}, {74, false}, {84, false}, {99, true}} {
		if was = tight(c.used, 100, 85, 75, was); was != c.want {
			t.Fatalf("step %d: %d of 100: %v", i, c.used, was)
		}
	}
	if tight(1<<40, 0, 85, 75, false) {
		t.Fatal("a machine without that limit is never full")
	}
}
