package transport

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"oxbowdeck/internal/ids"
)

// small are bounds that a test reaches soon.
var small = Bounds{
	Queue:    1 << 20,
	Frame:    1 << 16,
	Dial:     time.Second,
	Silence:  time.Second,
	RetryMin: time.Millisecond,
	RetryMax: 10 * time.Millisecond,
}

func pair(t *testing.T, far bool, got func(*Link, Kind, []byte)) (a *Hub, to ids.Node, down chan ids.Node) {
	t.Helper()
	down = make(chan ids.Node, 100)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	to = ids.Node(ln.Addr().String())
	ln.Close()
	b := New(Hello{Node: "b"}, small, got, func(*Link) {})
	if err := b.Listen(string(to)); err != nil {
		t.Fatal(err)
	}
	a = New(Hello{Node: "a"}, small, got, func(l *Link) { down <- l.Peer().Node })
	a.Far = func(ids.Node) bool { return far }
	t.Cleanup(func() { a.Close(0); b.Close(0) })
	return a, to, down
}

// TestFramesBothWays: frames arrive whole and in order, and answers come back,
// on links inside a zone and on deflated ones that leave it.
func TestFramesBothWays(t *testing.T) {
	for _, far := range []bool{false, true} {
		t.Run(fmt.Sprint("far=", far), func(t *testing.T) {
			back := make(chan []byte, 500)
			a, to, _ := pair(t, far, func(l *Link, k Kind, b []byte) {
				if k == 5 {
					if l.Peer().Node != "a" {
						t.Errorf("from %q", l.Peer().Node)
					}
					l.SendRaw(6, append([]byte(nil), b...))
				} else {
					back <- b
				}
			})
			var sent [][]byte
			for i := 0; i < 200; i++ {
				b := bytes.Repeat([]byte{byte(i)}, i*i%3000+1)
				sent = append(sent, b)
				if !a.To(to).SendRaw(5, b) {
					t.Fatal("refused")
				}
			}
			for i, want := range sent {
				select {
				case got := <-back:
					if !bytes.Equal(got, want) {
						t.Fatalf("frame %d: %d bytes, want %d", i, len(got), len(want))
					}
				case <-time.After(5 * time.Second):
					t.Fatalf("frame %d did not come back", i)
				}
			}
		})
	}
}

// TestBounds: a frame over the bound ends the link and is told; a queue nobody
// empties ends its link instead of growing.
func TestBounds(t *testing.T) {
	a, to, down := pair(t, false, func(*Link, Kind, []byte) {})
	a.To(to).SendRaw(5, make([]byte, small.Frame+1))
	select {
	case n := <-down:
		if n != to {
			t.Fatalf("down: %q", n)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("a frame over the bound was taken")
	}
	nobody := a.To("127.0.0.1:1")
	sent := 0
	for nobody.SendRaw(5, make([]byte, 60000)) && sent < 1000 {
		sent++
	}
	if sent > small.Queue/60000+1 {
		t.Fatalf("%d frames queued for a peer that is not there", sent)
	}
}

// TestDropWaitsForNobody guards against a process that stands still for good: its actor drops a
// link that is still being dialed, and who is told of that waits until the actor takes more.
func TestDropWaitsForNobody(t *testing.T) {
	relay, err := net.Listen("tcp", "127.0.0.1:0") // accepts and says nothing: the dial goes on
	if err != nil {
		t.Fatal(err)
	}
	defer relay.Close()
	bounds := small
	bounds.Relay, bounds.Dial = relay.Addr().String(), time.Minute
	taken, told := make(chan struct{}), make(chan *Link, 10)
	hub := New(Hello{Node: "a"}, bounds, func(*Link, Kind, []byte) {}, func(l *Link) {
		<-taken
		told <- l
	})
	defer hub.Close(0)
	for what, drop := range map[string]func(*Link){
		"dropped": (*Link).Drop,
		"too much is queued": func(l *Link) {
			for l.SendRaw(5, make([]byte, 60000)) {
			}
		},
	} {
		link := hub.To("peer")
		dropped := make(chan struct{})
		go func() {
			drop(link)
			close(dropped)
		}()
		select {
		case <-dropped:
		case <-time.After(5 * time.Second):
			t.Fatalf("%s: waits for who is told", what)
		}
		taken <- struct{}{}
		select {
		case l := <-told:
			if l != link {
				t.Errorf("%s: another link's end is told", what)
			}
		case <-time.After(5 * time.Second):
			t.Errorf("%s: nobody is told", what)
		}
	}
	close(taken)
}

type counted struct {
	net.Conn
	writes chan int
}

func (c counted) Write(b []byte) (int, error) { c.writes <- len(b); return len(b), nil }
func (c counted) Close() error                { return nil }

// TestOneWriteATurn: a deflated turn leaves in one write. Scraps are packets,
// and each packet is one more that a lossy link can lose.
func TestOneWriteATurn(t *testing.T) {
	h := New(Hello{Node: "a"}, small, nil, func(*Link) {})
	l := &Link{hub: h, to: "b", ready: make(chan struct{}, 1), pack: true}
	for i := 0; i < 20; i++ {
		l.SendRaw(5, []byte(fmt.Sprint("frame ", i*i*7919, " of many different ones")))
	}
	c := counted{writes: make(chan int, 100)}
	go l.write(c, true)
	hello, turn := <-c.writes, <-c.writes
	if hello == 0 || turn == 0 {
		t.Fatal("nothing written")
	}
	select {
	case n := <-c.writes:
		t.Fatalf("a second write of %d bytes", n)
	case <-time.After(50 * time.Millisecond):
	}
	l.Drop()
}

// TestDeflatedLinksAreSmall: an edge has a link to each leader, most of them in
// other zones; what each of those keeps must not be a deflater's tables.
func TestDeflatedLinksAreSmall(t *testing.T) {
	got := make(chan bool, 400)
	a, to, _ := pair(t, true, func(*Link, Kind, []byte) { got <- true })
	const links, most = 30, 200 << 10 // both ends of a link are in this process
	frame := bytes.Repeat([]byte("a frame of many words, "), 20)
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	for i := 0; i < links; i++ {
		l := &Link{hub: a, to: to, purpose: purpose(100 + i), ready: make(chan struct{}, 1)}
		go l.dial()
		l.SendRaw(5, frame)
		<-got
	}
	if each := int64(heap()-before) / links; each > most {
		t.Fatalf("%d bytes a link", each)
	}
}

// TestLives: once a process has been heard, nothing of an earlier incarnation at its address
// is taken any more: not over the links it left, nor over one that turns up late.
// Frames of nobody are not taken at all.
func TestIncarnations(t *testing.T) {
	got := make(chan byte, 9)
	_, to, _ := pair(t, false, func(_ *Link, _ Kind, b []byte) { got <- b[0] })
	dial := func() net.Conn {
		c, err := net.Dial("tcp", string(to))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	hello := func(c net.Conn, incarnation ids.Incarnation) {
		b, _ := cbor.Marshal(Hello{Node: "p", Incarnation: incarnation})
		c.Write(appendFrame(nil, kindHello, b))
	}
	taken := func(c net.Conn, n byte) {
		t.Helper()
		c.Write(appendFrame(nil, 5, []byte{n}))
		select {
		case x := <-got:
			if x != n {
				t.Fatalf("frame %d was taken, want %d", x, n)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("frame %d was not taken", n)
		}
	}
	ended := func(c net.Conn, n byte) {
		t.Helper()
		c.Write(appendFrame(nil, 5, []byte{n}))
		c.SetReadDeadline(time.Now().Add(5 * time.Second))
		if _, err := c.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("the link of frame %d stands", n)
		}
		select {
		case x := <-got:
			t.Fatalf("frame %d was taken", x)
		default:
		}
	}
	a, b, c := dial(), dial(), dial()
	hello(a, 1)
	taken(a, 1)
	hello(c, 2)
	taken(c, 2)
	ended(a, 3)
	hello(b, 7) // made before that of incarnation 2, and not heard before
	ended(b, 4)
	late, more := dial(), dial()
	hello(late, 1)
	ended(late, 5)
	hello(more, 2)
	taken(more, 6)
	taken(c, 7)
	ended(dial(), 8)
}

// TestNothingAfterTheEnd: the end of a link is told after its last frame, what was read
// of it and not handed over is dropped, and a later incarnation's frames come after it.
func TestNothingAfterTheEnd(t *testing.T) {
	at, hold, told := make(chan bool, 9), make(chan bool), make(chan string, 9)
	h := New(Hello{Node: "b"}, small, func(l *Link, _ Kind, b []byte) {
		at <- true
		<-hold
		told <- string(b)
	}, func(*Link) { told <- "end" })
	if err := h.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	defer h.Close(0)
	say := func(incarnation ids.Incarnation, frames ...string) {
		c, err := net.Dial("tcp", h.listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		b, _ := cbor.Marshal(Hello{Node: "p", Incarnation: incarnation})
		b = appendFrame(nil, kindHello, b)
		for _, f := range frames {
			b = appendFrame(b, 5, []byte(f))
		}
		c.Write(b)
	}
	say(1, "one", "two")
	<-at
	say(2, "new")
	select {
	case <-at:
		t.Fatal("a later life's frame was handed over beside one of the earlier")
	case <-time.After(50 * time.Millisecond):
	}
	close(hold)
	var order []string
	for len(order) < 3 {
		select {
		case x := <-told:
			order = append(order, x)
		case <-time.After(5 * time.Second):
			t.Fatalf("told of %q", order)
		}
	}
	if slices.Contains(order, "two") || order[0] != "one" || !slices.Contains(order, "end") {
		t.Fatalf("told of %q", order)
	}
}

// TestPartOfAFrameIsHeard guards against a link over which a long frame comes in being taken for
// silent until it has ended.
func TestPartOfAFrameIsHeard(t *testing.T) {
	got := make(chan int, 1)
	handled := func(_ *Link, _ Kind, body []byte) { got <- len(body) }
	hub := New(Hello{Node: "b"}, small, handled, func(*Link) {})
	here, there := net.Pipe()
	t.Cleanup(func() { here.Close(); there.Close() })
	link := &Link{hub: hub, to: "a", conn: here, hasReader: true, ready: make(chan struct{}, 1)}
	go link.read(here)
	frame := appendFrame(nil, 5, make([]byte, 30_000))
	const pieces = 5
	last := link.Heard()
	for i := range pieces {
		time.Sleep(20 * time.Millisecond)
		there.Write(frame[i*len(frame)/pieces : (i+1)*len(frame)/pieces])
		if now := link.Heard(); i > 0 && i < pieces-1 && now < last+10 {
			t.Errorf("after part %d of the frame the link was heard at %d, before at %d", i+1, now, last)
		}
		last = link.Heard()
	}
	if size := <-got; size != 30_000 {
		t.Errorf("%d bytes came", size)
	}
}
