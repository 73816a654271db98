// Package transport carries CBOR frames between the system's own processes over
// TCP. A link is an ordered queue of frames to one peer; a queue that grows
// past its bound breaks the link instead of growing, and every protocol above
// recovers from a broken link by itself.
//
// What the protocols above may count on: nothing of a link is handed over after its
// end was told; and once a process has been heard, nothing of an earlier incarnation at its
// address is.
//
// A Hub holds a process's links: it dials (dialer.go), takes connections (listener.go)
// and tells the incarnations of peers apart (incarnations.go). A Link has one goroutine
// that reads (reader.go) and one that writes (writer.go).
package transport

import (
	"encoding/binary"
	"net"
	"syscall"
	"time"

	"oxbowdeck/internal/codec"
	"oxbowdeck/internal/ids"
)

// Kind names what a frame holds.
type Kind uint8

// kindHello is the frame that opens every connection.
const kindHello Kind = 0

// Hello opens every connection.
type Hello struct {
	_           struct{} `cbor:",toarray"`
	Node        ids.Node
	Incarnation ids.Incarnation
	Pack        bool // both directions are deflated: the link leaves the zone
}

// Bounds of a hub; all come from the settings.
type Bounds struct {
	Queue    int           // bytes waiting for one peer
	Frame    int           // largest frame
	Dial     time.Duration // to connect
	Silence  time.Duration // unacknowledged bytes break a connection (TCP_USER_TIMEOUT)
	RetryMin time.Duration
	RetryMax time.Duration
	Relay    string        // of tests: connections are made through this address; see dialPeer
	Idle     time.Duration // a link that nothing used for so long is closed by who dialed it; 0: never
}

// headBytes come before each frame: the length of its kind and body.
const headBytes = 4

// appendFrame appends a frame: its length, its kind and its body.
func appendFrame(b []byte, k Kind, body []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)+1))
	return append(append(b, byte(k)), body...)
}

// Get decodes a frame's content.
func Get[T any](b []byte) (T, bool) {
	var v T
	return v, codec.Unmarshal(b, &v) == nil
}

// tcpUserTimeout is the socket option TCP_USER_TIMEOUT, which package syscall lacks.
const tcpUserTimeout = 18

// Tune sets how long unacknowledged bytes may hang, and that small frames leave at once.
func Tune(c net.Conn, silence time.Duration) {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	t.SetNoDelay(true)
	raw, err := t.SyscallConn()
	if err != nil {
		return
	}
	raw.Control(func(fd uintptr) {
		syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(silence/time.Millisecond))
	})
}
