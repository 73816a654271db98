package childprocess

import (
	"bytes"
	"fmt"
	"io"
	"sync"
)

// maxLogLine bounds what is kept of a line that does not end.
const maxLogLine = 64 << 10

// Output is one output that several processes write whole lines to.
type Output struct {
	mu  sync.Mutex
	out io.Writer
}

// NewOutput makes an output that passes lines on.
func NewOutput(out io.Writer) *Output { return &Output{out: out} }

// WriteLine writes one line under a process's name.
func (o *Output) WriteLine(name string, line []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	fmt.Fprintf(o.out, "%-14s | %s\n", name, line)
}

// lineWriter passes what a process writes on, line by line. One goroutine uses it.
type lineWriter struct {
	name    string
	output  *Output
	pending []byte // the beginning of a line
}

// Write keeps an unfinished line until its end comes, or until it is too long.
func (w *lineWriter) Write(p []byte) (int, error) {
	w.pending = append(w.pending, p...)
	for {
		end := bytes.IndexByte(w.pending, '\n')
		if end < 0 {
			break
		}
		w.output.WriteLine(w.name, w.pending[:end])
		w.pending = w.pending[end+1:]
	}
	if len(w.pending) > maxLogLine {
		w.flush()
	}
	return len(p), nil
}

// flush writes an unfinished line as it is.
func (w *lineWriter) flush() {
	if len(w.pending) > 0 {
		w.output.WriteLine(w.name, w.pending)
		w.pending = nil
	}
}
