package transport

import (
	"bytes"
	"testing"
)

// FuzzReadFrame: no stream makes the reader of frames panic, take more than the bound, or hand
// over a frame that is not whole.
func FuzzReadFrame(f *testing.F) {
	f.Add(appendFrame(nil, 3, []byte("body")))
	f.Add(appendFrame(nil, 3, bytes.Repeat([]byte("x"), 500))[:100])
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1})
	const bound = 1 << 10
	f.Fuzz(func(t *testing.T, stream []byte) {
		l := &Link{hub: New(Hello{Node: "a"}, Bounds{Frame: bound}, nil, nil)}
		r := bytes.NewReader(stream)
		for {
			before := r.Len()
			_, body, ok := l.readFrame(r)
			if !ok {
				return
			}
			if len(body) >= bound || before-r.Len() != headBytes+1+len(body) {
				t.Fatalf("a frame of %d bytes took %d", len(body), before-r.Len())
			}
		}
	})
}
