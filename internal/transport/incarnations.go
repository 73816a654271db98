package transport

import (
	"time"

	"oxbowdeck/internal/ids"
)

// maxPeers bounds the addresses remembered that have no link.
const maxPeers = 4096

// peer is whose frames are taken from an address.
type peer struct {
	incarnation ids.Incarnation
	number      uint64                        // of the link that brought the incarnation
	ended       map[ids.Incarnation]time.Time // those before it, and when they ended
}

// admit takes a peer's Hello; false if it is of an earlier incarnation. The links of
// earlier incarnations end, and it returns when none of them hands over any more.
func (h *Hub) admit(l *Link, hello Hello) bool {
	earlier, ok := h.succeed(l, hello)
	for _, o := range earlier {
		o.Drop()
		o.awaitHandled()
	}
	return ok
}

// succeed makes the incarnation of a Hello that of its address, and gives the links that
// others left there. Incarnations have no order of their own: the later one is that whose
// links were made later. One that ended is turned away for as long as its kernel may hold
// bytes of it, twice over; not for good, as links of two incarnations might be made out of
// order once.
func (h *Hub) succeed(l *Link, hello Hello) (earlier []*Link, ok bool) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.peers[hello.Node]
	if p == nil {
		if len(h.peers) >= maxPeers {
			h.forgetPeers()
		}
		p = &peer{incarnation: hello.Incarnation, number: l.number, ended: map[ids.Incarnation]time.Time{}}
		h.peers[hello.Node] = p
	}
	if p.incarnation != hello.Incarnation {
		p.forgetEnded(now, 2*h.bounds.Silence)
		if _, over := p.ended[hello.Incarnation]; over || l.number < p.number {
			return nil, false
		}
		p.ended[p.incarnation] = now
		p.incarnation = hello.Incarnation
		p.number = l.number
	}
	for o := range h.incoming {
		if other := o.Peer(); o != l && other.Node == hello.Node && other.Incarnation != hello.Incarnation {
			earlier = append(earlier, o)
		}
	}
	return earlier, true
}

// forgetEnded lets go of incarnations that ended so long ago.
func (p *peer) forgetEnded(now time.Time, age time.Duration) {
	for incarnation, at := range p.ended {
		if now.Sub(at) > age {
			delete(p.ended, incarnation)
		}
	}
}

// forgetPeers lets go of the addresses without a link.
func (h *Hub) forgetPeers() {
	linked := map[ids.Node]bool{}
	for l := range h.incoming {
		linked[l.Peer().Node] = true
	}
	for n := range h.peers {
		if !linked[n] {
			delete(h.peers, n)
		}
	}
}
