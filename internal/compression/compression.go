// Package compression deflates the bodies of messages once, where they are handed in:
// the log, the disks and the ways between zones carry them as they are then.
package compression

import (
	"bytes"
	"io"
	"sync"

	"github.com/klauspost/compress/flate"
)

// least is the size below which a body is left as it is.
const least = 256

var writers = sync.Pool{New: func() any {
	w, _ := flate.NewWriter(nil, flate.HuffmanOnly) // the level is known to be good
	return w
}}

// Body deflates a body, if that makes it smaller.
func Body(b []byte) (packed bool, out []byte) {
	if len(b) < least {
		return false, b
	}
	var buf bytes.Buffer
	buf.Grow(len(b) * 3 / 4)
	w := writers.Get().(*flate.Writer)
	w.Reset(&buf)
	w.Write(b) // to memory: cannot fail
	w.Close()
	writers.Put(w)
	if buf.Len() >= len(b) {
		return false, b
	}
	return true, bytes.Clone(buf.Bytes())
}

// Open gives the body back.
func Open(packed bool, b []byte) ([]byte, error) {
	if !packed {
		return b, nil
	}
	return io.ReadAll(flate.NewReader(bytes.NewReader(b)))
}
