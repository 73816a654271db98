package control

import (
	"oxbowdeck/internal/invariant"
)

// maxSuccessors bounds the acknowledgements that are remembered.
const maxSuccessors = 1024

// successor is a configuration that was acknowledged on top of a version.
type successor struct {
	release int64
	digest  string
}

// successors is which configuration this process acknowledged on top of each version. It
// is compared with every further acknowledgement, and nothing else rests on it.
type successors struct {
	byMatch map[int64]successor
	order   []int64 // versions, the oldest first
}

// acknowledged takes an acknowledgement.
func (s *successors) acknowledged(match, release int64, digest []byte) {
	now := successor{release: release, digest: string(digest)}
	if before, found := s.byMatch[match]; found {
		if before != now {
			invariant.Violated(invariant.OneSuccessor, "match", match, "release", release, "before", before.release)
		}
		return
	}
	if s.byMatch == nil {
		s.byMatch = map[int64]successor{}
	}
	if len(s.order) >= maxSuccessors {
		delete(s.byMatch, s.order[0])
		s.order = s.order[1:]
	}
	s.byMatch[match] = now
	s.order = append(s.order, match)
}
