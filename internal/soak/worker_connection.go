package soak

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// readTime is how long a connection has to stand after an answer for its end in order to show
// that the answer was read.
const readTime = 5 * time.Millisecond

// workerListener gives connections that watch what becomes of answers.
type workerListener struct{ net.Listener }

// Accept waits for the next connection.
func (l workerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &workerConnection{Conn: conn}, nil
}

// workerConnection tells of each answer whether its receiver read it, by what comes after it:
// another request, or an end in order. A system resets a connection of a process that ends
// with bytes unread; one that its sender closed before the answer was written shows nothing.
type workerConnection struct {
	net.Conn

	mu    sync.Mutex
	run   *queueRun // the last one that came over it
	ended bool      // the sender has closed it
}

// connectionKey is the place of a request's connection in its context.
type connectionKey struct{}

// withConnection is an http.Server's ConnContext.
func withConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

// watchAnswer has the connection of a request watch the answer to a run.
func watchAnswer(ctx context.Context, run *queueRun) {
	if c, ok := ctx.Value(connectionKey{}).(*workerConnection); ok {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.run = run
	}
}

// Write notes when an answer is written.
func (c *workerConnection) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.run != nil && err == nil && !c.ended {
		c.run.wasWritten(time.Now())
	}
	return n, err
}

// Read looks at what comes after an answer.
func (c *workerConnection) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return n, err // the server's own
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.ended = true
	}
	if c.run != nil {
		c.run.wasFollowed(n > 0, errors.Is(err, io.EOF), time.Now())
	}
	return n, err
}
