package transport

import (
	"errors"
	"net"
	"time"

	"oxbowdeck/internal/errs"
)

// acceptPause follows a connection that could not be taken.
const acceptPause = 20 * time.Millisecond

// Listen takes connections from peers.
func (h *Hub) Listen(addr string) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return errs.Wrap("listen", addr, err)
	}
	h.listener = listener
	go h.accept(listener)
	return nil
}

// accept takes connections until the listener is closed.
func (h *Hub) accept(listener net.Listener) {
	for {
		c, err := listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			time.Sleep(acceptPause)
		default:
			h.taken(c)
		}
	}
}

// taken begins the link of a connection that a peer made.
func (h *Hub) taken(c net.Conn) {
	l := &Link{hub: h, conn: c, hasReader: true, ready: make(chan struct{}, 1)}
	Tune(c, h.bounds.Silence)
	h.mu.Lock()
	h.accepted++
	l.number = h.accepted
	h.incoming[l] = true
	h.mu.Unlock()
	go l.read(c)
	go l.write(c, false)
}
