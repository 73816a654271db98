// Package childprocess starts the project's programs as child processes, with their output
// passed on line by line, for tools that run a whole deployment on one machine. A child
// stops when its starter dies in any way.
package childprocess

import (
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"oxbowdeck/internal/errs"
	"oxbowdeck/internal/process"
)

// outputTimeout is how long the rest of a child's output may take after it has ended.
const outputTimeout = time.Second

// Child is one running process.
type Child struct {
	Name string

	command  *exec.Cmd
	lifeline io.WriteCloser // its standard input: it stops when this is closed, also by our death
	output   *lineWriter
	ended    chan struct{} // closed once it has ended
	err      error         // how it ended; valid once ended is closed
}

// Spec says what is started.
type Spec struct {
	Programs    string // folder of the programs
	Program     string
	Name        string // before each line of its output
	Output      *Output
	Environment []string // NAME=VALUE, beside that of the starter
	Arguments   []string
}

// Start starts a program.
func Start(spec Spec) (*Child, error) {
	name := spec.Name
	arguments := append(slices.Clip(spec.Arguments), "--"+process.FlagStopWithStdin)
	c := &Child{
		Name:    name,
		command: exec.Command(filepath.Join(spec.Programs, spec.Program), arguments...),
		output:  &lineWriter{name: name, output: spec.Output},
		ended:   make(chan struct{}),
	}
	c.command.Env = append(os.Environ(), spec.Environment...)
	c.command.Stdout = c.output
	c.command.Stderr = c.output // the same writer: one goroutine copies both
	c.command.WaitDelay = outputTimeout
	var err error
	if c.lifeline, err = c.command.StdinPipe(); err != nil {
		return nil, errs.Wrap("start", name, err)
	}
	if err := c.command.Start(); err != nil {
		return nil, errs.Wrap("start", name, err)
	}
	go c.wait()
	return c, nil
}

func (c *Child) wait() {
	c.err = c.command.Wait()
	c.output.flush()
	close(c.ended)
}

// PID is the child's process id.
func (c *Child) PID() int { return c.command.Process.Pid }

// Ended is closed once the child has ended.
func (c *Child) Ended() <-chan struct{} { return c.ended }

// HasEnded tells whether the process is gone.
func (c *Child) HasEnded() bool {
	select {
	case <-c.ended:
		return true
	default:
		return false
	}
}

// Err tells how a child that has ended did so; nil: in order.
func (c *Child) Err() error { return c.err }

// Signal sends a signal. One that has ended takes none.
func (c *Child) Signal(signal os.Signal) { c.command.Process.Signal(signal) }

// Terminate asks the process to stop in order.
func (c *Child) Terminate() { c.Signal(syscall.SIGTERM) }

// Kill ends the process at once.
func (c *Child) Kill() {
	c.command.Process.Kill()
	<-c.ended
}

// AwaitEnd waits for the process to end, and kills it when the deadline passes.
func (c *Child) AwaitEnd(deadline <-chan time.Time) (inTime bool) {
	select {
	case <-c.ended:
		return true
	case <-deadline:
	}
	c.Kill()
	return false
}
