package dispatch

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"oxbowdeck/internal/pack"
	"oxbowdeck/internal/queue"
	"oxbowdeck/internal/unit"
)

// kind of what came of an attempt, as the worker's health has it.
type kind uint8

const (
	answered kind = iota // an answer of its own
	refused              // it turned the attempt away, and lives
	silent               // no connection, no answer, or one cut short
)

// Result is what came of an attempt.
type Result struct {
	outcome queue.Outcome
	kind    kind
	failed  bool // an answer that counts against the worker
	seal    string
	slots   int // told of its load: running, waiting, slots
	running int
	waiting int
	status  int
	err     error
}

// mostAnswer is the largest body of an answer that is read.
const mostAnswer = 256 << 10

// Attempt is a delivery to be sent.
type Attempt struct {
	msg     *queue.Message
	worker  string // the life it is meant for; empty: whoever is there
	addr    string
	timeout time.Duration // of the route
	dial    time.Duration
}

// Go sends a delivery on a goroutine of its own.
func Go(a *Attempt, p *Pool, done func(Result)) { go func() { done(a.run(p)) }() }

// run sends a delivery and reads the answer.
func (a *Attempt) run(p *Pool) Result {
	body, err := pack.Open(a.msg.Packed, a.msg.Body)
	if err != nil {
		return Result{outcome: queue.NotRun, kind: answered, err: unit.Err("unpack", a.msg.ID, err)}
	}
	l := p.take(time.Now())
	if l == nil {
		if l, err = dial(a.addr, min(a.dial, a.timeout), a.timeout); err != nil {
			return Result{outcome: queue.NotRun, kind: silent, err: err}
		}
	}
	// the answer may still be on its way when the worker's time is over
	until := time.Now().Add(a.timeout + 60*time.Millisecond)
	l.c.SetDeadline(until)
	if _, err := l.c.Write(a.bytes(body)); err != nil {
		l.c.Close()
		return a.cut(l, unit.Err("send", a.addr, err))
	}
	strange := false
	for {
		res, err := http.ReadResponse(l.r, &http.Request{Method: a.msg.Method})
		if err != nil {
			l.c.Close()
			return a.cut(l, unit.Err("read answer", a.addr, err))
		}
		if res.StatusCode < 200 {
			continue
		}
		n, err := io.Copy(io.Discard, io.LimitReader(res.Body, mostAnswer+1))
		res.Body.Close()
		if err != nil || n > mostAnswer {
			l.c.Close()
			return Result{outcome: queue.Lost, kind: silent, status: res.StatusCode, err: unit.Errf("read answer", a.addr, "cut after %d bytes", n)}
		}
		if id := res.Header.Get("X-Attempt-Id"); id != "" && id != a.msg.ID {
			strange = true // a second answer to what went before on this connection
			continue
		}
		r := a.judge(res)
		if strange || res.Close || l.r.Buffered() > 0 {
			l.c.Close()
		} else {
			p.put(l, keepOf(res.Header.Get("Keep-Alive")))
		}
		return r
	}
}

// atOnce is how soon a worker that has no room for a connection resets it.
const atOnce = 100 * time.Millisecond

// cut is an attempt without an answer. A connection that had rested may have been
// closed meanwhile, and one more than a worker takes is reset at once: neither
// says that the worker is ill.
func (a *Attempt) cut(l *line, err error) Result {
	r := Result{outcome: queue.Lost, kind: silent, err: err}
	if reset(err) && (l.used || time.Since(l.since) < atOnce) {
		r.kind = refused
	}
	return r
}

// reset tells whether the other end closed or reset the connection.
func reset(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// judge tells what a whole answer means.
func (a *Attempt) judge(res *http.Response) (r Result) {
	r.status = res.StatusCode
	if part := strings.Split(res.Header.Get("X-Server-Load"), ","); len(part) == 3 {
		r.running, _ = strconv.Atoi(strings.TrimSpace(part[0]))
		r.waiting, _ = strconv.Atoi(strings.TrimSpace(part[1]))
		r.slots, _ = strconv.Atoi(strings.TrimSpace(part[2]))
	}
	seal := res.Header.Get("X-Server-Seal")
	echoed := res.Header.Get("X-Attempt-Id") == a.msg.ID
	switch {
	case res.Header.Get("X-Not-Executed") != "" || r.status == http.StatusMisdirectedRequest:
		r.outcome, r.kind = queue.NotRun, refused
	case r.status >= 200 && r.status < 300 && seal != "":
		r.outcome, r.seal = queue.Done, seal
	case r.status == http.StatusUnprocessableEntity && echoed:
		r.outcome = queue.Never
	case r.status == http.StatusInternalServerError && echoed:
		r.outcome, r.failed = queue.Failed, true
	default:
		r.outcome, r.failed = queue.Lost, true
	}
	return r
}

// bytes is the request as it arrived, with what a delivery adds.
func (a *Attempt) bytes(body []byte) []byte {
	var b bytes.Buffer
	b.Grow(len(body) + 512)
	field := func(name, value string) {
		if value != "" {
			b.WriteString(name + ": " + value + "\r\n")
		}
	}
	b.WriteString(a.msg.Method + " " + a.msg.Path + " HTTP/1.1\r\n")
	field("Host", a.msg.Host)
	field("X-Attempt-Id", a.msg.ID)
	field("X-Sequence-Key", a.msg.Key)
	field("X-Time-Remaining", strconv.FormatInt(a.timeout.Milliseconds(), 10))
	field("X-Intended-Instance", a.worker)
	field("Content-Type", a.msg.Type)
	field("Content-Length", strconv.Itoa(len(body)))
	b.WriteString("\r\n")
	b.Write(body)
	return b.Bytes()
}
