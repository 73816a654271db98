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

// worker is one incarnation of a stand-in worker. It does what the pages say of a sound
// one, and writes down when each message began, when its answer was written, and whether
// whoever sent it read the answer.
type worker struct {
	d       *deployment
	id      string
	service string
	zone    int
	slots   int
	work    time.Duration

	listener net.Listener
	runs     *runs
	quit     chan struct{}

	room chan struct{} // holds one for each message that is worked on

	mu      sync.Mutex
	busy    int // messages that are worked on or wait
	calls   int
	counter int
}

// answerState is what is known of an answer that was written.
type answerState int

const (
	answerOnItsWay answerState = iota
	answerRead                 // the sender used the connection again, or closed it with nothing unread
	answerNotRead              // the connection was reset
)

// oneRun is one run of a message at a worker.
type oneRun struct {
	message  string
	worker   string
	sender   string
	began    time.Time
	answered time.Time
	seal     string
	state    answerState
	unheard  bool // the sender had closed the connection before the answer was written
}

// runs is all runs of all workers.
type runs struct {
	mu   sync.Mutex
	list []*oneRun
}

func (r *runs) add(one *oneRun) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, one)
}

func (r *runs) set(one *oneRun, change func(*oneRun)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(one)
}

// byMessage gives the runs of each message in the order they began.
func (r *runs) byMessage() map[string][]oneRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string][]oneRun{}
	for _, one := range r.list {
		out[one.message] = append(out[one.message], *one)
	}
	return out
}

// startWorker starts a worker and registers it.
func startWorker(d *deployment, all *runs, number, zone, slots int, work time.Duration) (*worker, error) {
	w := &worker{
		d: d, id: fmt.Sprintf("i-%d-%d", d.base, number), service: "stock", zone: zone, slots: slots, work: work,
		runs: all, quit: make(chan struct{}), room: make(chan struct{}, slots),
	}
	var err error
	if w.listener, err = net.Listen("tcp", d.address(200+number)+":0"); err != nil {
		return nil, err
	}
	go w.accept()
	go w.beat()
	return w, nil
}

// beat tells control every beat_ms how the worker is.
func (w *worker) beat() {
	ticker := time.NewTicker(1200 * time.Millisecond)
	defer ticker.Stop()
	for {
		w.calls++
		body, _ := json.Marshal(map[string]any{
			"service_ref": w.service, "transport_addr": w.listener.Addr().String(),
			"avail_zone": fmt.Sprintf("zone-%d", w.zone+1), "config_release": "v1", "capacity_slots": w.slots,
			"op_state": "in_service", "warmup_left_ms": 0, "call_seq": w.calls,
		})
		for i := range w.d.controls {
			p := w.d.controls[(i+w.zone)%len(w.d.controls)]
			code, _, err := call("PUT", "http://"+w.d.control(p)+"/v1/instances/"+w.id,
				http.Header{"Content-Type": {"application/json"}}, body, time.Second)
			if err == nil && code/100 == 2 {
				break
			}
		}
		select {
		case <-ticker.C:
		case <-w.quit:
			return
		}
	}
}

func (w *worker) accept() {
	for {
		c, err := w.listener.Accept()
		if err != nil {
			return
		}
		go w.serve(c)
	}
}

// readTime is how long a connection has to stand after an answer for its end in order to show
// that the answer was read.
const readTime = 5 * time.Millisecond

// serve works on the messages of one connection. What comes after an answer tells whether
// it was read: a system that closes a connection with unread bytes resets it. A connection
// that was closed before the answer was written shows nothing.
func (w *worker) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	var last *oneRun
	for {
		request, err := http.ReadRequest(reader)
		if last != nil {
			closed := err != nil
			inOrder := errors.Is(err, io.EOF)
			w.runs.set(last, func(one *oneRun) {
				one.state = answerRead
				if one.unheard || closed && (!inOrder || time.Since(one.answered) < readTime) {
					one.state = answerNotRead
				}
			})
		}
		if err != nil {
			return
		}
		if last, err = w.do(c, request); err != nil {
			return
		}
	}
}

// do works on one message.
func (w *worker) do(c net.Conn, request *http.Request) (*oneRun, error) {
	message := request.Header.Get("X-Attempt-Id")
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return nil, err
	}
	if to := request.Header.Get("X-Intended-Instance"); to != "" && to != w.id {
		return nil, w.answer(c, message, "421 Misdirected Request", "X-Not-Executed: 1\r\n")
	}
	if !w.take() {
		return nil, w.answer(c, message, "503 Service Unavailable", "X-Not-Executed: 1\r\n")
	}
	w.room <- struct{}{}
	one := &oneRun{message: message, worker: w.id, sender: c.RemoteAddr().String(), began: time.Now()}
	w.runs.add(one)
	w.d.line("worker %s: %s begins, from %s", w.id, message, one.sender)
	time.Sleep(w.work)
	<-w.room
	seal := w.free()
	unheard := hasEnded(c)
	err := w.answer(c, message, "200 OK", fmt.Sprintf("X-Server-Seal: %s\r\nX-Server-Load: %d,%d,%d\r\n", seal, min(w.running(), w.slots), max(0, w.running()-w.slots), w.slots))
	if err != nil {
		w.d.line("worker %s: %s done, the answer could not be written: %v", w.id, message, err)
		return nil, err
	}
	w.runs.set(one, func(one *oneRun) { one.answered, one.seal, one.unheard = time.Now(), seal, unheard })
	w.d.line("worker %s: %s done, answered 200 %s", w.id, message, seal)
	return one, nil
}

// hasEnded tells whether the other side has closed a connection.
func hasEnded(c net.Conn) bool {
	raw, err := c.(*net.TCPConn).SyscallConn()
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

func (w *worker) answer(c net.Conn, message, status, header string) error {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\nX-Attempt-Id: %s\r\n%sKeep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n",
		status, message, header)
	return err
}

// take takes a message, if there is a slot for it or a place to wait.
func (w *worker) take() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.busy >= 2*w.slots {
		return false
	}
	w.busy++
	return true
}

// free ends a message, and gives the stamp of its run.
func (w *worker) free() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.busy--
	w.counter++
	return fmt.Sprintf("%s.%d", w.id, w.counter)
}

func (w *worker) running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.busy
}

func (w *worker) stop() {
	close(w.quit)
	w.listener.Close()
}
