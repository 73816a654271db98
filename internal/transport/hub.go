package transport

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"oxbowdeck/internal/ids"
)

// flushPoll is how often Close looks whether what is queued has left.
const flushPoll = 5 * time.Millisecond

// Hub is a process's end of all its links.
type Hub struct {
	// Far tells whether a node is in another zone: bytes between zones are dear.
	Far func(ids.Node) bool

	self   Hello
	bounds Bounds
	handle func(*Link, Kind, []byte)
	down   func(*Link)

	mu           sync.Mutex
	outgoing     map[route]*Link
	incoming     map[*Link]bool
	accepted     uint64 // links taken, in the order they were made
	dialFailures map[ids.Node]dialFailure
	peers        map[ids.Node]*peer
	closed       bool
	listener     net.Listener

	bytesSent atomic.Int64 // on the wire
	bytesRead atomic.Int64
}

// route is one of the links to a peer.
type route struct {
	to      ids.Node
	purpose purpose
}

// purpose is what a link is for. When a lost packet holds the ordinary one up, what is
// urgent goes again on that for retransmissions; what is large goes on the bulk one, so
// that nothing waits behind it, and is not deflated: that would cost more than the way.
type purpose uint8

const (
	ordinary purpose = iota
	retransmission
	bulk
)

// New makes a hub. handle runs on the reader of each link, down when one ends, after
// the last frame.
func New(self Hello, b Bounds, handle func(*Link, Kind, []byte), down func(*Link)) *Hub {
	return &Hub{
		self:         self,
		bounds:       b,
		handle:       handle,
		down:         down,
		outgoing:     map[route]*Link{},
		incoming:     map[*Link]bool{},
		dialFailures: map[ids.Node]dialFailure{},
		peers:        map[ids.Node]*peer{},
	}
}

// Bytes gives how many bytes were sent and read since the start.
func (h *Hub) Bytes() (sent, read int64) { return h.bytesSent.Load(), h.bytesRead.Load() }

// To gives the link to a node, dialing if there is none.
func (h *Hub) To(n ids.Node) *Link { return h.link(route{n, ordinary}) }

// RetransmitLink gives the link to a node for what is sent once more.
func (h *Hub) RetransmitLink(n ids.Node) *Link { return h.link(route{n, retransmission}) }

// BulkLink gives the link to a node for what is large.
func (h *Hub) BulkLink(n ids.Node) *Link { return h.link(route{n, bulk}) }

// Has tells whether the ordinary link to n stands or is being made.
func (h *Hub) Has(n ids.Node) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.outgoing[route{to: n}] != nil
}

// Send queues a frame to n; lost if the link breaks first.
func (h *Hub) Send(n ids.Node, k Kind, v any) { h.To(n).Send(k, v) }

// Close ends all links after flushing what is queued, within wait.
func (h *Hub) Close(wait time.Duration) {
	links := h.closeListener()
	until := time.Now().Add(wait)
	for _, l := range links {
		for time.Now().Before(until) && !l.flushed() {
			time.Sleep(flushPoll)
		}
	}
	time.Sleep(flushPoll)
	for _, l := range links {
		l.Drop()
	}
}

// closeListener takes no new links, and gives those there are.
func (h *Hub) closeListener() (links []*Link) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	for _, l := range h.outgoing {
		links = append(links, l)
	}
	for l := range h.incoming {
		links = append(links, l)
	}
	if h.listener != nil {
		h.listener.Close()
	}
	return links
}
