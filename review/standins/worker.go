package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// run is one run of a message at a worker.
type run struct {
	id       string
	worker   string
	began    time.Time
	answered time.Time // when the whole answer was written; zero: never
	status   int
	read     string // how the caller went on after the answer: next, end, reset, or nothing yet
	gone     bool   // the caller had closed the connection before the answer was written
}

// runs is what all workers have run.
type runs struct {
	mu   sync.Mutex
	list []*run
}

func (x *runs) add(n *run) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.list = append(x.list, n)
}

// byID gives copies of the runs of each message, in the order they began.
func (x *runs) byID() map[string][]run {
	x.mu.Lock()
	defer x.mu.Unlock()
	out := map[string][]run{}
	for _, n := range x.list {
		out[n.id] = append(out[n.id], *n)
	}
	return out
}

// worker is a sound worker: it does each message once it is asked to, and answers.
type worker struct {
	r       *record
	c       *cluster
	id      string
	service string
	zone    string
	addr    string
	slots   int
	work    time.Duration // how long a message takes
	runs    *runs

	mu      sync.Mutex
	busy    int
	calls   int
	seals   int
	quit    chan struct{}
	present net.Listener
}

// start listens and registers.
func (w *worker) start(host int) error {
	l, err := net.Listen("tcp", fmt.Sprintf("127.0.%d.%d:0", w.c.net, host))
	if err != nil {
		return err
	}
	w.addr, w.present, w.quit = l.Addr().String(), l, make(chan struct{})
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go w.serve(conn)
		}
	}()
	go func() {
		for {
			w.beat()
			select {
			case <-w.quit:
				return
			case <-time.After(time.Second):
			}
		}
	}()
	return nil
}

// beat registers at the first control process that takes it.
func (w *worker) beat() {
	w.calls++
	body, _ := json.Marshal(map[string]any{
		"service_ref": w.service, "transport_addr": w.addr, "avail_zone": w.zone, "config_release": "v1",
		"capacity_slots": w.slots, "op_state": "in_service", "warmup_left_ms": 0, "call_seq": w.calls,
	})
	for i := range 3 {
		status, _, _ := call("PUT", "http://"+w.c.control(i)+"/v1/instances/"+w.id, string(body),
			map[string]string{"Content-Type": "application/json"})
		if status/100 == 2 {
			return
		}
	}
}

// serve takes one request after the other from a connection.
func (w *worker) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	var last *run
	for {
		conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		request, err := http.ReadRequest(in)
		w.runs.mu.Lock()
		if last != nil {
			switch {
			case last.gone:
				last.read = "gone"
			case err == nil:
				last.read = "next"
			case errors.Is(err, io.EOF) && time.Since(last.answered) >= readTime:
				last.read = "end"
			default:
				last.read = "reset"
			}
		}
		w.runs.mu.Unlock()
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get("X-Attempt-Id")
		if to := request.Header.Get("X-Intended-Instance"); to != "" && to != w.id {
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		if !w.take() {
			w.r.line("worker %s has no room for %s", w.id, id)
			fmt.Fprintf(conn, "HTTP/1.1 503 Full\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		last = w.run(conn, id)
	}
}

// take takes a slot.
func (w *worker) take() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.busy >= w.slots {
		return false
	}
	w.busy++
	return true
}

// readTime is how long after an answer an orderly end of the connection shows that it was
// read: a connection that is closed with bytes unread is reset instead.
const readTime = 20 * time.Millisecond

// hasEnded tells whether the other side has closed a connection.
func hasEnded(conn net.Conn) bool {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	ended := false
	raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		ended = err == nil && n == 0 || err != nil && err != syscall.EAGAIN
	})
	return ended
}

// run does a message and answers.
func (w *worker) run(conn net.Conn, id string) *run {
	n := &run{id: id, worker: w.id, began: time.Now()}
	w.runs.add(n)
	w.r.line("worker %s begins %s", w.id, id)
	time.Sleep(w.work)
	w.mu.Lock()
	w.busy--
	w.seals++
	seal, busy := fmt.Sprintf("%s.%d", w.id, w.seals), w.busy
	w.mu.Unlock()
	status := http.StatusOK
	head := fmt.Sprintf("HTTP/1.1 %d Done\r\nX-Attempt-Id: %s\r\nX-Server-Load: %d,0,%d\r\nKeep-Alive: timeout=10\r\nContent-Length: 0\r\n",
		status, id, busy, w.slots)
	head += "X-Server-Seal: " + seal + "\r\n"
	gone := hasEnded(conn)
	_, err := io.WriteString(conn, head+"\r\n")
	w.runs.mu.Lock()
	defer w.runs.mu.Unlock()
	n.gone = gone
	if n.status = status; err == nil {
		n.answered = time.Now()
	}
	w.r.line("worker %s answers %s %d (%v)", w.id, id, status, err)
	return n
}
