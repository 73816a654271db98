package transport

import (
	"bufio"
	"encoding/binary"
	"io"
	"log/slog"
	"net"
	"sync/atomic"

	"github.com/klauspost/compress/flate"

	"oxbowdeck/internal/codec"
	"oxbowdeck/internal/ids"
)

// Buffers of a link's reader.
const (
	readBuffer   = 8 << 10
	unpackBuffer = 4 << 10 // after inflating
)

// countingConn reads a connection, counts, and notes when something came.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
	heard *atomic.Int64
}

// Read reads and counts.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.bytes.Add(int64(n))
		c.heard.Store(int64(ids.MonotonicNow()))
	}
	return n, err
}

// inflated reads a deflated stream.
func inflated(r io.Reader) *bufio.Reader {
	return bufio.NewReaderSize(flate.NewReader(r), unpackBuffer)
}

// read hands over what comes in until the link ends, and then tells of its end.
func (l *Link) read(c net.Conn) {
	defer l.hub.down(l)
	defer l.Drop()
	r := bufio.NewReaderSize(countingConn{c, &l.hub.bytesRead, &l.lastHeard}, readBuffer)
	if l.packs() { // a link this side dialed: the answers come deflated
		r = inflated(r)
	}
	for {
		kind, body, ok := l.readFrame(r)
		if !ok {
			return
		}
		if kind == kindHello {
			hello, ok := l.greeted(body)
			if !ok {
				return
			}
			if hello.Pack {
				r = inflated(r)
			}
			continue
		}
		if l.Peer().Node == "" || !l.hand(kind, body) {
			return
		}
	}
}

// packs tells whether the link is deflated.
func (l *Link) packs() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pack
}

// readFrame reads the next frame; false when the stream ended, or what it holds is none.
func (l *Link) readFrame(r io.Reader) (Kind, []byte, bool) {
	var head [headBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, nil, false
	}
	l.lastHeard.Store(int64(ids.MonotonicNow()))
	size := int(binary.BigEndian.Uint32(head[:]))
	if size < 1 || size > l.hub.bounds.Frame {
		slog.Warn("frame-refused", "peer", l.Peer().Node, "bytes", size)
		return 0, nil, false
	}
	b := make([]byte, size)
	if _, err := io.ReadFull(r, b); err != nil {
		return 0, nil, false
	}
	return Kind(b[0]), b[1:], true
}

// greeted takes the Hello of a link that a peer opened; false when there was one
// before, or it is of an earlier incarnation.
func (l *Link) greeted(body []byte) (Hello, bool) {
	var hello Hello
	if codec.Unmarshal(body, &hello) != nil || l.to != "" || l.Peer().Node != "" {
		return hello, false
	}
	l.mu.Lock()
	l.peer = hello
	l.pack = hello.Pack
	l.mu.Unlock()
	if !l.hub.admit(l, hello) {
		slog.Info("earlier-incarnation", "peer", hello.Node, "incarnation", hello.Incarnation)
		return hello, false
	}
	return hello, true
}

// hand hands a frame over, unless the link has ended: what was read of it before is
// dropped.
func (l *Link) hand(k Kind, b []byte) bool {
	l.handing.Lock()
	defer l.handing.Unlock()
	l.mu.Lock()
	dead := l.dead
	l.mu.Unlock()
	if !dead {
		l.hub.handle(l, k, b)
	}
	return !dead
}

// awaitHandled returns when no frame of the link is being handed over.
func (l *Link) awaitHandled() {
	l.handing.Lock()
	defer l.handing.Unlock()
}
