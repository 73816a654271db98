package transport

import (
	"fmt"
	"io"
	"net"
	"syscall"
	"time"

	"oxbowdeck/internal/ids"
)

// What a relay answers to who connects through it.
const (
	RelayConnected byte = 'c'
	RelayRefused   byte = 'r'
)

// RelayHeader is what a process tells a relay before anything else: who it is and whom it
// wants to reach. Connections begin with it, and so does each datagram.
func RelayHeader(from, to ids.Node) []byte { return fmt.Appendf(nil, "%s %s\n", from, to) }

// dialPeer connects to a peer. Tests on one machine name a relay, through which all
// connections between processes go, so that they can be cut and held up.
func (h *Hub) dialPeer(to ids.Node) (net.Conn, error) {
	if h.bounds.Relay == "" {
		return net.DialTimeout("tcp", string(to), h.bounds.Dial)
	}
	deadline := time.Now().Add(h.bounds.Dial)
	c, err := net.DialTimeout("tcp", h.bounds.Relay, h.bounds.Dial)
	if err != nil {
		return nil, err
	}
	if err := askRelay(c, RelayHeader(h.self.Node, to), deadline); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// askRelay has a relay connect to a peer.
func askRelay(c net.Conn, header []byte, deadline time.Time) error {
	c.SetDeadline(deadline)
	defer c.SetDeadline(time.Time{})
	if _, err := c.Write(header); err != nil {
		return err
	}
	var answer [1]byte
	if _, err := io.ReadFull(c, answer[:]); err != nil {
		return err
	}
	if answer[0] != RelayConnected {
		return syscall.ECONNREFUSED
	}
	return nil
}
