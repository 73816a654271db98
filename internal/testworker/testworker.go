// Package testworker is a worker to try a deployment with: it registers, sends
// heartbeats, and answers each message that it is sent by noting it. It is no part of
// a deployment.
package testworker

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"oxbowdeck/internal/errs"
)

// Bounds of the worker's server.
const (
	headerTimeout = 3 * time.Second
	idleTimeout   = 10 * time.Second
	maxBody       = 4 << 20 // bytes
)

// Worker is one incarnation of a stand-in.
type Worker struct {
	ID        string
	Service   string
	Zone      string
	Addr      string   // to listen on
	Control   []string // control addresses, tried in turn
	Slots     int      // messages at a time
	Heartbeat time.Duration
	Work      time.Duration                          // how long a message takes
	Fail      float64                                // share of runs that fail
	Ran       func(attempt, key string, body []byte) // told of each run, if set
	Seen      func(http.Header)                      // told of each run's headers, if set

	mu       sync.Mutex
	calls    int64 // number of the last heartbeat
	draining bool
	runs     int
	server   *http.Server
	quit     chan struct{}
}

// Start listens, registers and sends heartbeats.
func (w *Worker) Start() error {
	listener, err := net.Listen("tcp", w.Addr)
	if err != nil {
		return errs.Wrap("listen", w.Addr, err)
	}
	w.Addr = listener.Addr().String()
	w.quit = make(chan struct{})
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	go w.server.Serve(listener)
	go w.sendHeartbeats()
	return nil
}

func (w *Worker) sendHeartbeats() {
	ticker := time.NewTicker(w.Heartbeat)
	defer ticker.Stop()
	for {
		w.sendHeartbeat()
		select {
		case <-ticker.C:
		case <-w.quit:
			return
		}
	}
}

// Leave says that it drains, goes on for a while, and ends.
func (w *Worker) Leave(drain time.Duration) {
	w.mu.Lock()
	w.draining = true
	w.mu.Unlock()
	w.sendHeartbeat()
	time.Sleep(drain)
	w.callControl(http.MethodDelete, nil)
	w.Kill()
}

// Kill ends it without telling anyone.
func (w *Worker) Kill() {
	close(w.quit)
	w.server.Close()
}

// ServeHTTP does a message.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("X-Attempt-Id")
	rw.Header().Set("X-Attempt-Id", attempt)
	if to := r.Header.Get("X-Intended-Instance"); to != "" && to != w.ID {
		refuse(rw, http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(rw, r.Body, maxBody))
	if err != nil || attempt == "" {
		refuse(rw, http.StatusBadRequest)
		return
	}
	run := w.countRun()
	if w.Seen != nil {
		w.Seen(r.Header)
	}
	if w.Ran != nil {
		w.Ran(attempt, r.Header.Get("X-Sequence-Key"), body)
	}
	time.Sleep(w.Work)
	rw.Header().Set("X-Server-Load", fmt.Sprintf("0,0,%d", w.Slots))
	if rand.Float64() < w.Fail {
		rw.WriteHeader(http.StatusInternalServerError)
		return
	}
	rw.Header().Set("X-Server-Seal", fmt.Sprintf("%s.%d", w.ID, run))
	rw.WriteHeader(http.StatusOK)
}

// refuse answers that the message was not run.
func refuse(rw http.ResponseWriter, status int) {
	rw.Header().Set("X-Not-Executed", "1")
	rw.WriteHeader(status)
}

func (w *Worker) countRun() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs++
	return w.runs
}
