package childprocess

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

// TestLineWriter: whole lines under the process's name, however they arrive.
func TestLineWriter(t *testing.T) {
	var out bytes.Buffer
	w := &lineWriter{name: "a", output: NewOutput(&out)}
	for _, part := range []string{"on", "e\ntwo\n", "\nthr", "ee"} {
		if n, err := w.Write([]byte(part)); n != len(part) || err != nil {
			t.Fatalf("wrote %d, %v", n, err)
		}
	}
	w.flush()
	w.Write(bytes.Repeat([]byte("x"), maxLogLine+1))
	if len(w.pending) > 0 {
		t.Errorf("%d bytes of a line without an end are kept", len(w.pending))
	}
	prefix := fmt.Sprintf("%-14s | ", "a")
	want := prefix + "one\n" + prefix + "two\n" + prefix + "\n" + prefix + "three\n" + prefix + strings.Repeat("x", maxLogLine+1) + "\n"
	if out.String() != want {
		t.Fatalf("got %q", out.String())
	}
}
