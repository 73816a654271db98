package invariant

import (
	"strings"
	"testing"
)

// TestViolationFailsTests: a check that does not hold panics in a test, names what was
// compared and is counted; one that holds does neither.
func TestViolationFailsTests(t *testing.T) {
	before := Count(AppliedInOrder)
	Check(AppliedInOrder, true, "slot", 7)
	if Count(AppliedInOrder) != before {
		t.Fatal("a check that holds was counted")
	}
	func() {
		defer func() {
			violation, ok := recover().(Violation)
			if !ok || !strings.Contains(violation.String(), "applied-in-order slot=7 want=6") {
				t.Errorf("got %v", violation)
			}
		}()
		Check(AppliedInOrder, false, "slot", 7, "want", 6)
	}()
	if Count(AppliedInOrder) != before+1 {
		t.Error("a violation was not counted")
	}
}

// TestNamesAreListed: each name has a counter of its own.
func TestNamesAreListed(t *testing.T) {
	seen := map[Name]bool{}
	for _, name := range Names() {
		if seen[name] || counters[name] == nil {
			t.Errorf("%s stands twice, or has no counter", name)
		}
		seen[name] = true
	}
}

// TestHoldingChecksAllocateNothing: the form for hot paths.
func TestHoldingChecksAllocateNothing(t *testing.T) {
	position := uint64(5)
	allocations := testing.AllocsPerRun(100, func() {
		if position > 9 {
			Violated(DeliveredInOrder, "position", position)
		}
	})
	if allocations != 0 {
		t.Errorf("%v allocations", allocations)
	}
}
