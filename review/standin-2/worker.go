package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is one run of a message at a worker.
type run struct {
	worker   string
	attempt  string
	key      string
	at       time.Time // it began
	answered time.Time // the answer was written
	status   int
	spoiled  bool // a byte of the answer was wrong
	left     time.Duration
}

// worker is a worker's stand-in: it registers, sends heartbeats, and does what it is sent.
type worker struct {
	id      string
	service string
	zone    string
	fleet   *fleet
	work    time.Duration
	slots   int
	// spoil tells whether to spoil the next answer.
	spoil func(worker *worker, count int) bool
	// fails tells whether a message fails (500).
	fails func(attempt string) bool
	ran   func(run)

	addr     string
	mu       sync.Mutex
	seq      int
	count    int
	draining bool
}

// leave says that it drains; it serves on.
func (w *worker) leave() bool {
	w.mu.Lock()
	w.draining = true
	w.mu.Unlock()
	for _, control := range w.fleet.controls() {
		if status, _ := w.heartbeat(control); status == http.StatusOK {
			return true
		}
	}
	return false
}

// start listens and registers.
func (w *worker) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.addr = l.Addr().String()
	go w.heartbeats()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go w.serve(c)
		}
	}()
	return nil
}

// heartbeat makes one call to a control process.
func (w *worker) heartbeat(control string) (int, string) {
	w.mu.Lock()
	w.seq++
	state := "in_service"
	if w.draining {
		state = "draining"
	}
	body := fmt.Sprintf(`{"service_ref":%q,"transport_addr":%q,"avail_zone":%q,"config_release":"v1","capacity_slots":%d,"op_state":%q,"warmup_left_ms":0,"call_seq":%d}`,
		w.service, w.addr, w.zone, w.slots, state, w.seq)
	w.mu.Unlock()
	return call(http.MethodPut, "http://"+control+"/v1/instances/"+w.id, map[string]string{"Content-Type": "application/json"}, body)
}

// heartbeats registers, about every beat_ms.
func (w *worker) heartbeats() {
	for turn := 0; ; {
		controls := w.fleet.controls()
		if status, _ := w.heartbeat(controls[turn%len(controls)]); status != http.StatusOK {
			turn++
			time.Sleep(100 * time.Millisecond)
			continue
		}
		time.Sleep(time.Second)
	}
}

// serve answers the requests of one connection.
func (w *worker) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.ReadAll(request.Body); err != nil {
			return
		}
		if _, err := c.Write(w.answer(request)); err != nil {
			return
		}
	}
}

// answer does what a request asks for.
func (w *worker) answer(request *http.Request) []byte {
	attempt := request.Header.Get("X-Attempt-Id")
	if to := request.Header.Get("X-Intended-Instance"); to != "" && to != w.id {
		return []byte("HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\nX-Attempt-Id: " + attempt + "\r\nContent-Length: 0\r\n\r\n")
	}
	left, _ := strconv.Atoi(request.Header.Get("X-Time-Remaining"))
	x := run{worker: w.id, attempt: attempt, key: request.Header.Get("X-Sequence-Key"), at: time.Now(), status: 200, left: time.Duration(left) * time.Millisecond}
	time.Sleep(w.work)
	w.mu.Lock()
	w.count++
	count := w.count
	w.mu.Unlock()
	if w.fails != nil && w.fails(attempt) {
		x.status, x.answered = 500, time.Now()
		w.ran(x)
		return fmt.Appendf(nil, "HTTP/1.1 500 Internal Server Error\r\nX-Attempt-Id: %s\r\nX-Server-Load: 0,0,%d\r\nKeep-Alive: timeout=10\r\nContent-Length: 0\r\n\r\n",
			attempt, w.slots)
	}
	seal := []byte(fmt.Sprintf("%s.%04x", w.id, count))
	if w.spoil != nil && w.spoil(w, count) {
		x.spoiled = true
		seal[len(seal)-2] = 0xff
	}
	x.answered = time.Now()
	w.ran(x)
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: %s\r\nX-Server-Load: 0,0,%d\r\nKeep-Alive: timeout=10\r\nContent-Length: 0\r\n\r\n",
		attempt, seal, w.slots)
}
