package control

import (
	"testing"

	"oxbowdeck/internal/invariant"
)

// TestSecondSuccessorIsSeen: what was acknowledged may be so again; another configuration on the
// same version may not, not even one of the same number.
func TestSecondSuccessorIsSeen(t *testing.T) {
	var s successors
	s.acknowledged(3, 5, Digest([]byte("a")))
	s.acknowledged(3, 5, Digest([]byte("a")))
	s.acknowledged(5, 6, Digest([]byte("b")))
	invariant.Expect(t, invariant.OneSuccessor, func() { s.acknowledged(3, 7, Digest([]byte("c"))) })
	invariant.Expect(t, invariant.OneSuccessor, func() { s.acknowledged(5, 6, Digest([]byte("d"))) })
	for i := range int64(2 * maxSuccessors) {
		s.acknowledged(100+i, 101+i, nil)
	}
	if len(s.byMatch) > maxSuccessors || len(s.order) > maxSuccessors {
		t.Errorf("%d, %d are remembered", len(s.byMatch), len(s.order))
	}
}
