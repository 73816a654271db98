package dispatch

import (
	"bufio"
	"errors"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"oxbowdeck/internal/errs"
	"oxbowdeck/internal/transport"
)

const (
	// maxUnfinished bounds the unfinished messages of a connection: one that carried
	// more is not kept.
	maxUnfinished = 32
	// defaultKeepAlive is how long a connection is kept idle when its worker does not
	// say how long it keeps one.
	defaultKeepAlive = 2 * time.Second
	// keepAliveShare is the share of what it says that is used: the worker must not
	// be faster.
	keepAliveShare = 0.7
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 2 << 10
)

// errAnswerTooLong ends the reading of an answer.
var errAnswerTooLong = errors.New("the answer is too long")

// Pool is the idle connections to one worker.
type Pool struct {
	mu   sync.Mutex
	idle []*connection
}

// take gives an idle connection, or nil. A message goes only once over a
// connection: a second answer to the first time would be taken for one to the
// second. (One that was done, or never can be, is not sent again from here.)
func (p *Pool) take(now time.Time, messageID string) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	spent := -1 // the last one that has carried the message
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		if slices.Contains(c.unfinished, messageID) {
			spent = i
			continue
		}
		spent--
		p.idle = slices.Delete(p.idle, i, i+1)
		if now.Before(c.keepUntil) && c.healthy() {
			return c
		}
		c.conn.Close()
	}
	if spent >= 0 { // its place is for the one that is opened now
		p.idle[spent].conn.Close()
		p.idle = slices.Delete(p.idle, spent, spent+1)
	}
	return nil
}

// put keeps a connection for other messages.
func (p *Pool) put(c *connection, keep time.Duration) {
	c.keepUntil = time.Now().Add(keep)
	c.reused = true
	p.mu.Lock()
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

// tidy closes what has been idle for too long.
func (p *Pool) tidy(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := 0
	for _, c := range p.idle {
		if now.Before(c.keepUntil) {
			p.idle[kept] = c
			kept++
		} else {
			c.conn.Close()
		}
	}
	p.idle = p.idle[:kept]
}

// drop closes all idle connections.
func (p *Pool) drop() { p.tidy(time.Now().Add(idleForever)) }

// connection is one to a worker.
type connection struct {
	conn       net.Conn
	in         *limitedReader
	reader     *bufio.Reader
	openedAt   time.Time
	keepUntil  time.Time // the worker keeps it for so long
	reused     bool      // it has been idle
	unfinished []string  // messages that were sent on it and have not ended
}

// dial opens a connection.
func dial(addr string, timeout, silence time.Duration) (*connection, error) {
	conn, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return nil, errs.Wrap("dial", addr, err)
	}
	transport.Tune(conn, silence)
	in := &limitedReader{conn: conn}
	return &connection{
		conn:     conn,
		in:       in,
		reader:   bufio.NewReaderSize(in, readBufferBytes),
		openedAt: time.Now(),
	}, nil
}

// healthy tells whether an idle connection is open, and nothing came over it that
// nobody asked for.
func (c *connection) healthy() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	c.conn.SetDeadline(time.Time{})
	raw, err := c.conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN
		return true
	})
	return err == nil && open
}

// reset closes a connection so that what is still on its way over it is dropped.
func (c *connection) reset() {
	if t, ok := c.conn.(interface{ SetLinger(int) error }); ok {
		t.SetLinger(0)
	}
	c.conn.Close()
}

// limitedReader reads a connection up to a bound.
type limitedReader struct {
	conn net.Conn
	left int
}

// Read reads what has come, as far as the bound allows.
func (l *limitedReader) Read(b []byte) (int, error) {
	if l.left <= 0 {
		return 0, errAnswerTooLong
	}
	n, err := l.conn.Read(b[:min(len(b), l.left)])
	l.left -= n
	return n, err
}

// keepAliveTime reads how long a worker keeps an idle connection.
func keepAliveTime(header string) time.Duration {
	for _, part := range strings.Split(header, ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.ParseFloat(value, 64); err == nil && seconds >= 0 {
			return time.Duration(seconds * keepAliveShare * float64(time.Second))
		}
	}
	return defaultKeepAlive
}
