package dispatch

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"oxbowdeck/internal/compression"
	"oxbowdeck/internal/errs"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/queue"
)

// headRoom is about how many bytes the head of a request takes.
const headRoom = 512

// Attempt is a delivery to be sent.
type Attempt struct {
	message     *queue.Message
	worker      string // the incarnation it is meant for; empty: whoever is there
	addr        string
	timeout     time.Duration // of the route
	dialTimeout time.Duration
	startWithin ids.Millis // not sent later than that: whoever leads next may think it is over
}

// Go sends a delivery on a goroutine of its own.
func Go(a *Attempt, pool *Pool, done func(Result)) {
	startBy := time.Now().Add(a.startWithin.Duration())
	go func() { done(a.run(pool, startBy)) }()
}

// run sends a delivery and reads the answer. It did not run as long as not a byte
// of it was written; from then on only a whole answer that names it says what came
// of it. A connection that gave no such answer is reset, so that no bytes of the
// question that are still on their way arrive later.
func (a *Attempt) run(pool *Pool, startBy time.Time) Result {
	body, err := compression.Open(a.message.Packed, a.message.Body)
	if err != nil {
		return Result{outcome: queue.NotRun, kind: answered, err: errs.Wrap("unpack", a.message.ID, err)}
	}
	c, deadline, failure := a.send(pool, startBy, a.request(body))
	if failure != nil {
		return *failure
	}
	return a.receive(pool, c, deadline)
}

// send writes the request to a connection; when one that was idle takes not a byte
// of it, to the next. The deadline is when the worker's time is over.
func (a *Attempt) send(pool *Pool, startBy time.Time, request []byte) (*connection, time.Time, *Result) {
	for {
		c, err := a.connect(pool)
		if err != nil {
			return nil, time.Time{}, &Result{outcome: queue.NotRun, kind: silent, err: err}
		}
		now := time.Now()
		if now.After(startBy) {
			c.conn.Close()
			err := errs.Errorf("send", a.addr, "%s too late", now.Sub(startBy))
			return nil, time.Time{}, &Result{outcome: queue.NotRun, kind: refused, err: err}
		}
		deadline := now.Add(a.timeout + answerMargin.Duration())
		c.conn.SetDeadline(deadline)
		written, err := c.conn.Write(request)
		if err == nil {
			return c, deadline, nil
		}
		c.reset()
		err = errs.Wrap("send", a.addr, err)
		if written > 0 {
			result := a.unknown(c, deadline, err)
			return nil, time.Time{}, &result
		}
		if !c.reused {
			return nil, time.Time{}, &Result{outcome: queue.NotRun, kind: refused, err: err}
		}
	}
}

// receive reads answers until one names the message. The connection is kept if
// nothing else can come over it.
func (a *Attempt) receive(pool *Pool, c *connection, deadline time.Time) Result {
	c.in.left = 2 * maxAnswerBytes
	strange := false
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: a.message.Method})
		if err != nil {
			c.reset()
			return a.unknown(c, deadline, errs.Wrap("read answer", a.addr, err))
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		named, err := a.readAnswer(response)
		if err != nil {
			c.reset()
			return Result{
				outcome:   queue.Lost,
				kind:      silent,
				mayRunFor: time.Until(deadline),
				status:    response.StatusCode,
				err:       err,
			}
		}
		if !named {
			strange = true // a second answer to what went before on this connection
			continue
		}
		result := judge(response)
		if !result.final() {
			c.unfinished = append(c.unfinished, a.message.ID)
		}
		if strange || response.Close || result.err != nil || c.reader.Buffered() > 0 || len(c.unfinished) > maxUnfinished {
			c.conn.Close()
		} else {
			pool.put(c, keepAliveTime(response.Header.Get("Keep-Alive")))
		}
		return result
	}
}

// readAnswer reads the body of an answer and tells whether it names the message
// alone. It is an error if it is not whole, or may be of this message and others.
func (a *Attempt) readAnswer(response *http.Response) (named bool, err error) {
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxAnswerBytes+1))
	response.Body.Close()
	if err != nil || n > maxAnswerBytes {
		return false, errs.Errorf("read answer", a.addr, "cut after %d bytes", n)
	}
	names := response.Header.Values("X-Attempt-Id")
	if len(names) == 0 || len(names) > 1 && slices.Contains(names, a.message.ID) {
		return false, errs.Errorf("read answer", a.addr, "status %d names %d messages", response.StatusCode, len(names))
	}
	return names[0] == a.message.ID, nil
}

// connect gives a connection that is good for this message: an idle one, or a new
// one.
func (a *Attempt) connect(pool *Pool) (*connection, error) {
	if c := pool.take(time.Now(), a.message.ID); c != nil {
		return c, nil
	}
	return dial(a.addr, min(a.dialTimeout, a.timeout), a.timeout)
}

// refusalTime is how soon a worker that has no room for a connection resets it.
const refusalTime = 100 * time.Millisecond

// unknown is an attempt without an answer: it may run until its time is over, also
// without its connection. A connection that was idle may have been closed
// meanwhile, and one more than a worker takes is reset at once: neither says that
// the worker is ill.
func (a *Attempt) unknown(c *connection, deadline time.Time, err error) Result {
	result := Result{outcome: queue.Lost, kind: silent, mayRunFor: time.Until(deadline), err: err}
	if isReset(err) && (c.reused || time.Since(c.openedAt) < refusalTime) {
		result.kind = refused
	}
	return result
}

// tenantField is a tenant's label as a header carries it. Operators may choose any label; one
// that a header can't carry is escaped.
func tenantField(tenant ids.Tenant) string {
	isControl := func(r rune) bool { return r < ' ' || r == '\x7f' }
	if strings.ContainsFunc(string(tenant), isControl) {
		return url.PathEscape(string(tenant))
	}
	return string(tenant)
}

// request is the request as it arrived, with what a delivery adds.
func (a *Attempt) request(body []byte) []byte {
	var b bytes.Buffer
	b.Grow(len(body) + headRoom)
	field := func(name, value string) {
		if value != "" {
			b.WriteString(name + ": " + value + "\r\n")
		}
	}
	b.WriteString(a.message.Method + " " + a.message.Path + " HTTP/1.1\r\n")
	field("Host", a.message.Host)
	field("X-Attempt-Id", a.message.ID)
	field("X-Sequence-Key", a.message.Key)
	field("X-Tenant", tenantField(a.message.Tenant))
	field("X-Time-Remaining", strconv.FormatInt(a.timeout.Milliseconds(), 10))
	field("X-Intended-Instance", a.worker)
	field("Content-Type", a.message.Type)
	field("Content-Length", strconv.Itoa(len(body)))
	b.WriteString("\r\n")
	b.Write(body)
	return b.Bytes()
}
