package dispatch

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"oxbowdeck/internal/compression"
	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/queue"
)

// scripted answers each request with what script says, given its number, its
// connection's and the id; an empty answer closes the connection, "-" gives none.
func scripted(t *testing.T, script func(n, conn int, id string) string) string {
	n, conns := 0, 0
	return served(t, func(c net.Conn) {
		conns++
		conn := conns
		r := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			io.Copy(io.Discard, req.Body)
			n++
			a := script(n, conn, req.Header.Get("X-Attempt-Id"))
			if a == "" {
				return
			}
			if a != "-" {
				io.WriteString(c, a)
			}
		}
	})
}

// served is a worker's address: it takes one connection after the other.
func served(t *testing.T, serve func(net.Conn)) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			serve(c)
			c.Close()
		}
	}()
	return ln.Addr().String()
}

func attempt(id, addr string) *Attempt {
	return &Attempt{
		message:     &queue.Message{ID: id, Method: "POST", Host: "h", Path: "/x", Body: []byte("body")},
		addr:        addr,
		timeout:     150 * time.Millisecond,
		dialTimeout: time.Second,
	}
}

func ok(id, more string) string {
	const format = "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: s-%s\r\n" +
		"X-Server-Load: 2,1,6\r\n%sContent-Length: 2\r\n\r\nok"
	return fmt.Sprintf(format, id, id, more)
}

func soon() time.Time { return time.Now().Add(time.Second) }

// attemptTime is what an attempt of TestAttempts has. Rows that end in silence take all
// of it, the others must end well before it, on a busy machine too.
const attemptTime = time.Second

// TestAttempts: what each kind of answer is taken for, whether the run may go on
// without it, and that a connection is used again only after a whole answer to what
// was asked.
func TestAttempts(t *testing.T) {
	plain := func(answer string) func(int, int, string) string {
		return func(_, _ int, id string) string { return strings.ReplaceAll(answer, "ID", id) }
	}
	status := func(code int, more string) func(int, int, string) string {
		return plain(fmt.Sprintf("HTTP/1.1 %d x\r\nX-Attempt-Id: ID\r\n%sContent-Length: 0\r\n\r\n", code, more))
	}
	nameless := func(code int, more string) func(int, int, string) string {
		return plain(fmt.Sprintf("HTTP/1.1 %d x\r\n%sContent-Length: 0\r\n\r\n", code, more))
	}
	const sealed = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Server-Seal: s\r\n"
	brokenChunks := sealed + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\nzz\r\n"
	endlessHead := sealed + "X: " + strings.Repeat("x", 1<<20) + "\r\nContent-Length: 0\r\n\r\n"
	const twoNames = "X-Attempt-Id: m1\r\nX-Attempt-Id: m2\r\nX-Server-Seal: s\r\n"
	closesLater := func(int, int, string) string {
		time.Sleep(110 * time.Millisecond)
		return ""
	}
	for _, c := range []struct {
		what   string
		script func(n, conn int, id string) string
		want   queue.Outcome
		kind   kind
		idle   int
		runs   bool // it may run on
	}{
		{"done", plain(ok("ID", "")), queue.Done, answered, 1, false},
		{"done, and closes", plain(ok("ID", "Connection: close\r\n")), queue.Done, answered, 0, false},
		{"a second answer with it", plain(ok("ID", "") + ok("ID", "")), queue.Done, answered, 0, false},
		{"an answer to something else first", plain(ok("other", "") + ok("ID", "")), queue.Done, answered, 0, false},
		{"an answer to something else alone", plain(ok("other", "")), queue.Lost, silent, 0, false},
		{"cut short", plain(ok("ID", "")[:90]), queue.Lost, silent, 0, false},
		{"a body cut short", func(n, _ int, id string) string {
			return strings.ReplaceAll(sealed, "ID", id) + "Connection: close\r\nContent-Length: 9\r\n\r\nhalf"
		}, queue.Lost, silent, 0, false},
		{"chunks that break off", plain(brokenChunks), queue.Lost, silent, 0, true},
		{"a head without an end", plain(endlessHead), queue.Lost, silent, 0, true},
		{"done, of no message", nameless(200, "X-Server-Seal: s\r\n"), queue.Lost, silent, 0, true},
		{"full, of no message", nameless(503, "X-Not-Executed: 1\r\n"), queue.Lost, silent, 0, true},
		{"another incarnation, of no message", nameless(421, ""), queue.Lost, silent, 0, true},
		{"never, of no message", nameless(422, ""), queue.Lost, silent, 0, true},
		{"done, of two messages", nameless(200, twoNames), queue.Lost, silent, 0, true},
		{"no seal", status(200, ""), queue.Lost, answered, 1, false},
		{"a seal that is not text", status(200, "X-Server-Seal: 3e\xff1b\r\n"), queue.Lost, answered, 0, false},
		{"a seal with a control byte", status(200, "X-Server-Seal: 3e\x011b\r\n"), queue.Lost, silent, 0, true},
		{"failed", status(500, ""), queue.Failed, answered, 1, false},
		{"never", status(422, ""), queue.Never, answered, 1, false},
		{"full", status(503, "X-Not-Executed: 1\r\n"), queue.NotRun, refused, 1, false},
		{"503 that promises nothing", status(503, ""), queue.Lost, answered, 1, false},
		{"another incarnation", status(421, ""), queue.NotRun, refused, 1, false},
		{"closes at once", plain(""), queue.Lost, refused, 0, true},
		{"closes later", closesLater, queue.Lost, silent, 0, true},
		{"silence", plain("-"), queue.Lost, silent, 0, false},
		{"not HTTP", plain("what?\r\n\r\n"), queue.Lost, silent, 0, true},
	} {
		t.Run(c.what, func(t *testing.T) {
			t.Parallel()
			var p Pool
			defer p.drop()
			a := attempt("m1", scripted(t, c.script))
			a.timeout = attemptTime
			r := a.run(&p, time.Now().Add(3*attemptTime))
			runs := r.mayRunFor > 40*time.Millisecond
			if r.outcome != c.want || r.kind != c.kind || len(p.idle) != c.idle || runs != c.runs {
				t.Errorf("%s, kind %d, %d idle, runs on for %s (%v); want %s, %d, %d, %v",
					r.outcome, r.kind, len(p.idle), r.mayRunFor, r.err, c.want, c.kind, c.idle, c.runs)
			}
			if c.want == queue.Done && r.seal != "s-m1" {
				t.Errorf("seal %q", r.seal)
			}
		})
	}
}

// once stands for a connection whose next write takes n bytes and fails.
type once struct {
	*net.TCPConn
	n int
}

func (c once) Write(b []byte) (int, error) { return c.n, syscall.ECONNRESET }

// TestWritten: an attempt did not run as long as not a byte of it was written, and
// goes on over the next connection; from then on it may have run.
func TestWritten(t *testing.T) {
	if r := attempt("m1", "127.0.0.1:1").run(&Pool{}, soon()); r.outcome != queue.NotRun || r.kind != silent {
		t.Errorf("refused connection: %s", r.outcome)
	}
	asked := 0
	addr := scripted(t, func(n, _ int, id string) string { asked = n; return ok(id, "") })
	if r := attempt("m1", addr).run(&Pool{}, time.Now()); r.outcome != queue.NotRun || asked != 0 {
		t.Errorf("past its time: %s, asked %d times", r.outcome, asked)
	}
	for n, want := range []queue.Outcome{queue.Done, queue.Lost} {
		rest, err := dial(addr, time.Second, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		rest.conn = once{rest.conn.(*net.TCPConn), n}
		var p Pool
		p.put(rest, time.Second)
		r := attempt("m1", addr).run(&p, soon())
		if r.outcome != want || (r.mayRunFor > 0) != (n > 0) {
			t.Errorf("reset after %d bytes: %s, runs on for %s; want %s", n, r.outcome, r.mayRunFor, want)
		}
		p.drop()
	}
}

// TestBound: a message goes only once over a connection, so that a second answer to
// its first attempt is not taken for one to its second; others go on using it.
func TestBound(t *testing.T) {
	conns := 0
	addr := scripted(t, func(n, conn int, id string) string {
		conns = max(conns, conn)
		switch {
		case conn == 1 && n == 1:
			return fmt.Sprintf("HTTP/1.1 500 x\r\nX-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
		case conn == 1 && id == "m1": // the late one
			const refusal = "HTTP/1.1 503 x\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
			return fmt.Sprintf(refusal, id) + ok(id, "")
		}
		return ok(id, "")
	})
	var p Pool
	defer p.drop()
	if r := attempt("m1", addr).run(&p, soon()); r.outcome != queue.Failed || len(p.idle) != 1 {
		t.Fatalf("first: %s", r.outcome)
	}
	for i := 0; i < 2*maxUnfinished; i++ {
		if r := attempt(fmt.Sprint("other", i), addr).run(&p, soon()); r.outcome != queue.Done || conns != 1 {
			t.Fatalf("another message: %s over connection %d", r.outcome, conns)
		}
	}
	if r := attempt("m1", addr).run(&p, soon()); r.outcome != queue.Done || conns != 2 {
		t.Fatalf("the same message again: %s over connection %d", r.outcome, conns)
	}
	p.idle[0].unfinished = make([]string, maxUnfinished+1)
	if r := attempt("m3", addr).run(&p, soon()); r.outcome != queue.Done || len(p.idle) != 0 {
		t.Fatalf("a connection that carried %d messages that failed is kept", maxUnfinished+1)
	}
}

// TestSilent: a connection that was closed while it rested, or over which something
// came that nobody asked for, is not used; the attempt goes over a new one.
func TestSilent(t *testing.T) {
	for _, after := range []string{"", ok("m2", ""), "x"} {
		conns, rested := 0, make(chan bool)
		addr := served(t, func(c net.Conn) {
			conns++
			req, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			io.Copy(io.Discard, req.Body)
			io.WriteString(c, ok(req.Header.Get("X-Attempt-Id"), ""))
			if conns == 1 {
				<-rested
				io.WriteString(c, after)
			}
		})
		var p Pool
		if r := attempt("m1", addr).run(&p, soon()); r.outcome != queue.Done || len(p.idle) != 1 {
			t.Fatal(r.outcome)
		}
		rested <- true
		time.Sleep(20 * time.Millisecond)
		if r := attempt("m2", addr).run(&p, soon()); r.outcome != queue.Done || r.seal != "s-m2" || conns != 2 {
			t.Errorf("after %q: %s, %d connections (%v)", after, r.outcome, conns, r.err)
		}
		p.drop()
	}
}

// TestReset: a connection that gave no answer is reset, so that what a link still
// holds of the question is lost with it.
func TestReset(t *testing.T) {
	end := make(chan error, 1)
	addr := served(t, func(c net.Conn) {
		_, err := io.Copy(io.Discard, c)
		end <- err
	})
	attempt("m1", addr).run(&Pool{}, soon())
	if err := <-end; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the worker saw %v", err)
	}
}

// TestKeep: a connection rests no longer than its worker says it keeps one.
func TestKeep(t *testing.T) {
	for header, want := range map[string]time.Duration{
		"":                 defaultKeepAlive,
		"timeout=10":       7 * time.Second,
		"max=5, timeout=1": 700 * time.Millisecond,
		"timeout=x":        defaultKeepAlive,
	} {
		if got := keepAliveTime(header); got != want {
			t.Errorf("%q: %s, want %s", header, got, want)
		}
	}
	addr := scripted(t, func(_, _ int, id string) string { return ok(id, "Keep-Alive: timeout=0\r\n") })
	var p Pool
	if attempt("m1", addr).run(&p, soon()); p.take(time.Now(), "m2") != nil {
		t.Error("a connection that is not kept was used again")
	}
}

// TestShares: the connections of all leaders fit what a worker accepts, with room
// for those that an earlier leader leaves.
func TestShares(t *testing.T) {
	for _, c := range []struct{ limit, shards, want int }{{24, 12, 1}, {390, 8, 29}, {4, 12, 1}, {0, 4, 9}} {
		h := New(Environment{})
		h.update = &controlapi.Update{Shards: make([]controlapi.Shard, c.shards)}
		if got := h.connectionLimit(&service{Service: controlapi.Service{ConnLimit: c.limit}}); got != c.want {
			t.Errorf("%d connections for %d leaders: %d each, want %d", c.limit, c.shards, got, c.want)
		}
	}
}

// TestPack: bodies come back as they were.
func TestPack(t *testing.T) {
	for _, b := range []string{"", "short", strings.Repeat("abcdefghijklmnop", 800)} {
		packed, out := compression.Body([]byte(b))
		back, err := compression.Open(packed, out)
		if err != nil || string(back) != b || len(out) > len(b) {
			t.Errorf("%d bytes: %d, %v", len(b), len(out), err)
		}
	}
	if _, out := compression.Body([]byte(strings.Repeat("abcdefghijklmnop", 800))); len(out) > 7000 {
		t.Errorf("12,800 letters of 16 kinds take %d bytes", len(out))
	}
}
