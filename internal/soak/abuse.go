package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

// abusers are clients that misbehave. Nothing is promised to them but that the others do not
// notice; their names and topics are their own.
type abusers struct {
	fronts  func() []string
	history *History
	queue   bool
	key     string // of a tenant, where keys are needed
}

const (
	abuserCount = 4
	abusePause  = 150 * time.Millisecond
	floodLines  = 2000
	hugeBody    = 1 << 20
)

// run has the abusers at work until stop is closed.
func (a *abusers) run(stop chan struct{}, seed uint64) {
	var all sync.WaitGroup
	if a.queue {
		all.Go(func() { a.floodQueue(stop, seed) })
	} else {
		all.Go(func() { a.flood(stop, rand.New(rand.NewPCG(seed, 0xf100d))) })
	}
	for i := range abuserCount {
		random := rand.New(rand.NewPCG(seed, 0xab05e+uint64(i)))
		all.Go(func() { atRandom(stop, random, abusePause, func() { a.once(random) }) })
	}
	all.Wait()
}

// once makes one connection that misbehaves.
func (a *abusers) once(random *rand.Rand) {
	fronts := a.fronts()
	conn, err := net.DialTimeout("tcp", fronts[random.IntN(len(fronts))], time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(3 * time.Second))
	lines := a.lines(random)
	a.history.count("connections that misbehave")
	if _, err := io.WriteString(conn, lines); err != nil {
		return
	}
	switch random.IntN(4) {
	case 0: // reads nothing and stays
		time.Sleep(time.Duration(random.Int64N(int64(second))))
	case 1: // reads a little
		io.ReadFull(conn, make([]byte, 1+random.IntN(200)))
	case 2: // goes at once, by a reset
		if t, ok := conn.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
	default:
		conn.SetDeadline(time.Now().Add(300 * time.Millisecond))
		io.Copy(io.Discard, conn)
	}
}

// lines is what an abuser says.
func (a *abusers) lines(random *rand.Rand) string {
	if a.queue {
		return a.httpLines(random)
	}
	name := fmt.Sprintf("abuser%d", random.IntN(3)) // some use one name twice
	attach := strings.TrimSpace("ATTACH "+name+" "+a.key) + "\r\n"
	topic := fmt.Sprintf("%sabuse%d", retainedPrefix, random.IntN(2))
	publish := func(seq, length int) string {
		return fmt.Sprintf("PUBLISH %s %d %d\r\n%s\r\n", topic, seq, length, strings.Repeat("y", length))
	}
	switch random.IntN(10) {
	case 0:
		return attach + "SUBSCR" // half a line
	case 1:
		return attach + fmt.Sprintf("PUBLISH %s 5 200\r\nshort", topic)
	case 2:
		return attach + "SUBSCRIBE " + topic + "\r\n" + strings.Repeat("KEEPALIVE\r\n", floodLines)
	case 3:
		return attach + publish(1000-random.IntN(900), 30) + publish(random.IntN(900), 30) // numbers that fall
	case 4:
		return attach + fmt.Sprintf("PUBLISH %s 7 %d\r\n%s", topic, hugeBody, strings.Repeat("z", hugeBody))
	case 5:
		return attach + strings.Repeat("SUBSCRIBE "+topic+" c-zz\r\nUNSUB "+topic+"\r\n", 200)
	case 6:
		return attach + attach + "SUBSCRIBE " + strings.Repeat("t", 5000) + "\r\n"
	case 7:
		return strings.Repeat("\x00\xff\r\n", 50)
	case 8:
		flood := attach + "SUBSCRIBE " + topic + "\r\n"
		for i := range 300 {
			flood += publish(i+random.IntN(100000), 40)
		}
		return flood
	}
	return attach + "SUBSCRIBE " + topic + "\r\nCENSUS " + topic + "\r\nPUBLISH  - -1 x\r\n"
}

// httpLines is what an abuser of a queue says.
func (a *abusers) httpLines(random *rand.Rand) string {
	head := "POST /abuse/1 HTTP/1.1\r\nHost: in.example\r\n"
	if a.key != "" {
		head += "X-Api-Key: " + a.key + "\r\n"
	}
	id := fmt.Sprintf("X-Attempt-Id: abuse-%x\r\n", random.Uint64())
	switch random.IntN(9) {
	case 0:
		return head[:len(head)/2]
	case 1:
		return head + id + "Content-Length: 500\r\n\r\nshort"
	case 2:
		return head + id + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", hugeBody, strings.Repeat("z", hugeBody))
	case 3:
		return head + id + "Transfer-Encoding: chunked\r\n\r\nfffffff\r\nx"
	case 4:
		return head + id + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"
	case 5:
		return head + id + "X-Defer-Ms: 1e9\r\nContent-Length: 0\r\n\r\n"
	case 6:
		return strings.Repeat("GET /v1/message/0."+strings.Repeat("a", 40)+" HTTP/1.1\r\nHost: in.example\r\n\r\n", 100)
	case 7:
		return head + id + "X-Sequence-Key: k\xff\r\nContent-Type: \xc3\r\nContent-Length: 2\r\n\r\nhi"
	}
	return strings.Repeat(head+id+"Content-Length: 2\r\n\r\nhi", 20)
}
