package dispatch

import (
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/shardapi"
)

// A service with a rate limit is counted at one place: the leader of the shard its
// name belongs to. Messages to it are handed in there, so as a rule it counts
// what it sends itself; whoever else has some (the messages of a sequence, or of
// a service that got its rate limit later) asks it for grants, which have a lease.

const (
	grantLease    = ids.Millis(400) // a grant that was not used by then is void
	grantInterval = ids.Millis(100) // between two requests for a grant
)

const (
	millisPerSecond = 1000
	// burstPart is the part of a second's worth of tokens that may gather.
	burstPart = 10
)

// tokenBucket counts what may be sent now. It starts empty with each leadership:
// what the leader before sent is not known, and need not be.
type tokenBucket struct {
	tokens   float64
	filledAt ids.Millis
	running  bool
}

// fill adds what has come due.
func (b *tokenBucket) fill(now ids.Millis, perSecond float64) {
	if !b.running {
		b.running = true
		b.tokens = 0
		b.filledAt = now
	}
	due := perSecond * float64(now-b.filledAt) / millisPerSecond
	b.tokens = min(b.tokens+due, max(1, perSecond/burstPart))
	b.filledAt = now
}

// take uses a token, if there is one.
func (b *tokenBucket) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// takeUpTo uses as many tokens as there are, up to a number; it gives how many.
func (b *tokenBucket) takeUpTo(want int) int {
	n := min(int(b.tokens), want)
	if n > 0 {
		b.tokens -= float64(n)
	}
	return n
}

// limiter is a service's rate limit as this process sees it: the tokens, where it
// counts them, or what it was granted.
type limiter struct {
	bucket       tokenBucket
	grants       int
	grantsExpire ids.Millis
	askedAt      ids.Millis
}

// granted takes a grant.
func (l *limiter) granted(now ids.Millis, n int) {
	l.grants = n
	l.grantsExpire = now + grantLease
}

// useGrant uses one of the attempts that were granted, if there is one.
func (l *limiter) useGrant(now ids.Millis) bool {
	if now >= l.grantsExpire || l.grants <= 0 {
		return false
	}
	l.grants--
	return true
}

// allow tells whether one more attempt may be sent to a service now, and counts
// it; want is how many wait.
func (h *Host) allow(s *service, now ids.Millis, want int) bool {
	if s.PerS <= 0 {
		return true
	}
	home := HomeOf(s.Label, h.shardCount())
	if h.leads(home) {
		s.limiter.bucket.fill(now, s.PerS)
		return s.limiter.bucket.take()
	}
	s.limiter.bucket.running = false
	if s.limiter.useGrant(now) {
		return true
	}
	h.askForGrant(s, home, now, want)
	return false
}

// askForGrant asks the members of the shard that counts a service; who leads among
// them answers.
func (h *Host) askForGrant(s *service, home ids.Group, now ids.Millis, want int) {
	if now-s.limiter.askedAt < grantInterval || h.update == nil || int(home) >= len(h.update.Shards) {
		return
	}
	s.limiter.askedAt = now
	request := shardapi.Grant{Service: s.Label, Group: home, N: want, For: h.Self.Addr}
	for _, member := range h.update.Shards[home].Voters {
		h.Send(member.Node, shardapi.KindGrant, request)
	}
}

// grant gives a host that asks a part of what may be sent.
func (h *Host) grant(now ids.Millis, request shardapi.Grant) {
	s := h.services[request.Service]
	if s == nil || s.PerS <= 0 || !h.leads(request.Group) {
		return
	}
	s.limiter.bucket.fill(now, s.PerS)
	if n := s.limiter.bucket.takeUpTo(request.N); n > 0 {
		h.Send(request.For, shardapi.KindGranted, shardapi.Granted{Service: request.Service, N: n})
	}
}

// granted takes the answer to a request for a grant.
func (h *Host) granted(now ids.Millis, answer shardapi.Granted) {
	if s := h.services[answer.Service]; s != nil {
		s.limiter.granted(now, answer.N)
	}
}

// leads tells whether a group is led here.
func (h *Host) leads(id ids.Group) bool {
	group := h.Group(id)
	if group == nil {
		return false
	}
	_, here := group.Lead()
	return here
}
