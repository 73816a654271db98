package transport

import (
	"bytes"
	"log/slog"
	"net"

	"github.com/klauspost/compress/flate"

	"oxbowdeck/internal/codec"
)

// keptBuffer bounds the buffers that a link keeps from one write to the next.
const keptBuffer = 64 << 10

// packHistory is how much of what went before a frame may point back to. A
// deflater that keeps tables holds 0.8 MB a link, and an edge has a link to each
// leader; this one keeps these bytes alone. A stream of 300-byte frames is left
// at 63%, as with tables, for a third of the processor time.
const packHistory = 2 << 10

// write writes what is queued until the link ends; on a link that this side dialed, a
// Hello first.
func (l *Link) write(c net.Conn, pack bool) {
	if l.to != "" && !l.writeHello(c, pack) {
		l.Drop()
		return
	}
	var spare []byte // the queue's buffer of the turn before
	var deflated deflater
	for {
		queued, pack, dead := l.takeQueue(spare)
		if dead {
			return
		}
		if len(queued) == 0 {
			spare = queued
			<-l.ready
			continue
		}
		out := queued
		if pack {
			out = deflated.pack(queued)
		}
		l.hub.bytesSent.Add(int64(len(out)))
		if _, err := c.Write(out); err != nil {
			l.Drop()
			return
		}
		deflated.reset()
		spare = queued
		if cap(spare) > keptBuffer {
			spare = nil
		}
	}
}

// writeHello tells the other side who this is.
func (l *Link) writeHello(c net.Conn, pack bool) bool {
	hello := l.hub.self
	hello.Pack = pack
	body, err := codec.Marshal(hello)
	if err != nil {
		slog.Warn("encode-failed", "kind", kindHello, "err", err)
		return false
	}
	_, err = c.Write(appendFrame(nil, kindHello, body))
	return err == nil
}

// takeQueue takes what is queued, and leaves an empty buffer in its place.
func (l *Link) takeQueue(empty []byte) (queued []byte, pack, dead bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	queued = l.queue
	l.queue = empty[:0]
	return queued, l.pack, l.dead
}

// deflater packs a stream piece by piece, each in one buffer: on its own it would
// write in scraps, and each scrap is a packet.
type deflater struct {
	packed  bytes.Buffer
	history []byte // the last bytes of the stream
}

// reset empties the buffer, and lets go of a large one.
func (d *deflater) reset() {
	if d.packed.Reset(); d.packed.Cap() > keptBuffer {
		d.packed = bytes.Buffer{}
	}
}

// pack deflates a piece; what it gives holds until the buffer is reset.
func (d *deflater) pack(b []byte) []byte {
	flate.StatelessDeflate(&d.packed, b, false, d.history) // to memory: cannot fail
	d.history = lastBytes(d.history, b)
	return d.packed.Bytes()
}

// lastBytes gives the last packHistory bytes of a stream.
func lastBytes(before, b []byte) []byte {
	if len(b) >= packHistory {
		return append(before[:0], b[len(b)-packHistory:]...)
	}
	before = append(before, b...)
	if len(before) > packHistory {
		before = before[:copy(before, before[len(before)-packHistory:])]
	}
	return before
}
