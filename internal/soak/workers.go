package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The services of a queue's soak and how many workers each has.
const (
	stockService = "stock"
	lockService  = "lock" // knows the ids of what it did
	pairService  = "pair" // has two workers, and little to do
	workersEach  = 3
	pairWorkers  = 2

	// failingShare is one in how many runs that fail at any worker; pairFailingShare at those of
	// the small service.
	failingShare     = 50
	pairFailingShare = 10

	// spoiledShare is one in how many answers a worker spoils that hands out wrong bytes.
	spoiledShare = 4

	workerSlots     = 8
	workerHeartbeat = 300 * time.Millisecond
	workTime        = 8 * time.Millisecond  // mean
	plannedWorkTime = 30 * time.Millisecond // the same where nothing is in trouble: more is under way
)

// services are all of them: plans name them by their places.
var services = [...]string{stockService, lockService, meteredService, pairService}

// workerFleet is the workers of a deployment.
type workerFleet struct {
	deployment *deployment
	history    *QueueHistory
	workTime   time.Duration // mean

	mu      sync.Mutex
	workers []*worker
	last    int
	done    map[string]string // of the service that knows ids: the seal of each success
}

// worker is one incarnation of a worker.
type worker struct {
	fleet   *workerFleet
	id      string
	service string
	address string
	quit    chan struct{}
	server  *http.Server
	calls   atomic.Int64
	mode    atomic.Value // Kind: how it misbehaves; empty: it does not
	seals   atomic.Int64

	leaves       bool // it was drawn to leave; of the fleet's lock
	draining     atomic.Bool
	unregistered atomic.Bool
}

func newWorkerFleet(d *deployment, history *QueueHistory) *workerFleet {
	f := &workerFleet{deployment: d, history: history, workTime: workTime, done: map[string]string{}}
	if d.config.Shape.Planned {
		f.workTime = plannedWorkTime
	}
	return f
}

// start starts all workers.
func (f *workerFleet) start() error {
	for _, service := range services {
		count := workersEach
		if service == pairService {
			count = pairWorkers
		}
		for range count {
			if err := f.add(service); err != nil {
				return err
			}
		}
	}
	return nil
}

// add starts a further worker.
func (f *workerFleet) add(service string) error {
	listener, err := net.Listen("tcp", fmt.Sprintf("127.0.%d.%d:0", f.deployment.plan.Net, workerHost))
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.last++
	w := &worker{
		fleet: f, id: fmt.Sprintf("w-%d-%x", f.last, rand.Uint32()), service: service,
		address: listener.Addr().String(), quit: make(chan struct{}),
	}
	w.mode.Store(Kind(""))
	w.server = &http.Server{
		Handler: w, ReadHeaderTimeout: 3 * time.Second, IdleTimeout: 10 * time.Second, ConnContext: withConnection,
	}
	go w.server.Serve(workerListener{listener})
	go w.heartbeats()
	f.workers = append(f.workers, w)
	return nil
}

func (f *workerFleet) list() []*worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*worker(nil), f.workers...)
}

// stop ends all workers.
func (f *workerFleet) stop() {
	for _, w := range f.list() {
		w.kill()
	}
}

// trouble has some workers misbehave for a while.
func (f *workerFleet) trouble(t Trouble) {
	if f == nil {
		return
	}
	all := f.list()
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	switch t.Kind {
	case WorkerReplace:
		f.replace(all[0])
		return
	case WorkerGhost:
		f.ghost(t.For)
		return
	case WorkerDrain, WorkerLeave:
		f.leave(services[t.Place%len(services)], t.Kind == WorkerDrain, t.For)
		return
	}
	struck := all[:max(1, len(all)/3)]
	if t.Kind == WorkerSpoil {
		struck = all
	}
	for _, w := range struck {
		w.mode.Store(t.Kind)
	}
	time.Sleep(t.For)
	for _, w := range struck {
		w.mode.Store(Kind(""))
	}
}

// replace has one worker vanish without a word, and another come.
func (f *workerFleet) replace(w *worker) {
	f.mu.Lock()
	if w.leaves {
		f.mu.Unlock()
		return
	}
	w.leaves = true
	f.mu.Unlock()
	f.remove(w)
	w.kill()
	if err := f.add(w.service); err != nil {
		f.history.note("worker: %v", err)
	}
}

// ghost registers a worker that takes connections and says nothing, and one at an address where
// nobody listens. Neither is heard of again.
func (f *workerFleet) ghost(stays time.Duration) {
	listener, err := net.Listen("tcp", fmt.Sprintf("127.0.%d.%d:0", f.deployment.plan.Net, workerHost))
	if err != nil {
		return
	}
	for i, address := range []string{listener.Addr().String(), fmt.Sprintf("127.0.%d.%d:9", f.deployment.plan.Net, workerHost)} {
		w := &worker{fleet: f, id: fmt.Sprintf("ghost-%d-%x", i, rand.Uint32()), service: stockService, address: address}
		w.sendHeartbeat()
	}
	time.Sleep(stays)
	listener.Close()
}

func (w *worker) kill() {
	close(w.quit)
	w.server.Close()
}

// heartbeats registers the worker again and again.
func (w *worker) heartbeats() {
	for !w.unregistered.Load() {
		w.sendHeartbeat()
		select {
		case <-w.quit:
			return
		case <-time.After(workerHeartbeat):
		}
	}
}

// sendHeartbeat calls one control process after the other until one acknowledges.
func (w *worker) sendHeartbeat() {
	list := w.fleet.deployment.controlAddresses()
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	for _, address := range list {
		if w.putHeartbeat(address) {
			return
		}
	}
}

// putHeartbeat makes one call to a control process, and tells whether it is acknowledged.
func (w *worker) putHeartbeat(address string) bool {
	state := "in_service"
	if w.draining.Load() {
		state = "draining"
	}
	body, _ := json.Marshal(map[string]any{
		"service_ref": w.service, "transport_addr": w.address, "avail_zone": "zone-1", "config_release": "v1",
		"capacity_slots": workerSlots, "op_state": state, "warmup_left_ms": 0, "call_seq": w.calls.Add(1),
	})
	return call(http.MethodPut, "http://"+address+"/v1/instances/"+w.id, nil, body).status/100 == 2
}

// ServeHTTP works on a message.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("X-Attempt-Id")
	rw.Header().Set("X-Attempt-Id", attempt)
	body, err := io.ReadAll(io.LimitReader(r.Body, 2<<20))
	if err != nil {
		return
	}
	w.fleet.history.metered.arrives(w.service)
	if to := r.Header.Get("X-Intended-Instance"); to != "" && to != w.id {
		rw.Header().Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if w.service == lockService && w.repeated(rw, attempt) {
		return
	}
	run := w.fleet.history.begins(w.id, attempt, r, body)
	watchAnswer(r.Context(), run)
	mode := w.mode.Load().(Kind)
	if status := hopelessAnswer(r.RequestURI); status != 0 && mode != WorkerHang {
		w.work("", r)
		w.fleet.history.answersHopeless(run, status)
		rw.WriteHeader(status)
		return
	}
	w.work(mode, r)
	w.answer(rw, attempt, mode, run)
}

// repeated answers what was done before, of a service that knows ids.
func (w *worker) repeated(rw http.ResponseWriter, attempt string) bool {
	w.fleet.mu.Lock()
	seal, done := w.fleet.done[attempt]
	if !done {
		w.fleet.done[attempt] = "" // under way
	}
	w.fleet.mu.Unlock()
	switch {
	case !done:
		return false
	case seal == "":
		rw.Header().Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusConflict)
	default:
		rw.Header().Set("X-Server-Seal", seal)
		rw.WriteHeader(http.StatusOK)
	}
	return true
}

// work takes its time.
func (w *worker) work(mode Kind, r *http.Request) {
	switch mode {
	case WorkerHang:
		select {
		case <-r.Context().Done():
		case <-time.After(5 * time.Second):
		}
	case WorkerLate:
		time.Sleep(queueGuard + time.Duration(rand.Int64N(int64(300*time.Millisecond))))
	default:
		time.Sleep(time.Duration(rand.Int64N(int64(2 * w.fleet.workTime))))
	}
}

// answer answers, or does not.
func (w *worker) answer(rw http.ResponseWriter, attempt string, mode Kind, run *queueRun) {
	share := failingShare
	if w.service == pairService {
		share = pairFailingShare
	}
	fails := mode == WorkerFail || rand.IntN(share) == 0
	seal := fmt.Sprintf("%s.%d", w.id, w.seals.Add(1))
	if fails || mode == WorkerHang {
		w.settle(attempt, "")
		w.fleet.history.failed(mode == WorkerHang)
		if mode == WorkerHang {
			w.drop(rw)
			return
		}
		rw.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.settle(attempt, seal)
	w.fleet.history.succeeded(run, seal)
	spoils := mode == WorkerSpoil && rand.IntN(spoiledShare) == 0
	whole := "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Server-Seal: %s\r\nContent-Length: 0\r\n\r\n"
	switch {
	case spoils:
		w.fleet.history.count("answers that are spoiled")
		w.raw(rw, fmt.Sprintf(whole, spoiled(seal)))
	case mode == WorkerCut:
		w.raw(rw, "HTTP/1.1 200 OK\r\nX-Attempt-Id: "+attempt+"\r\nX-Server-Se")
	case mode == WorkerTwice:
		w.raw(rw, strings.Repeat(fmt.Sprintf(whole, seal), 2))
	default:
		run.succeeds()
		rw.Header().Set("X-Server-Seal", seal)
		rw.Header().Set("X-Server-Load", fmt.Sprintf("1,0,%d", workerSlots))
		rw.WriteHeader(http.StatusOK)
	}
}

// spoiled is a seal with one byte of it wrong.
func spoiled(seal string) string {
	at := rand.IntN(len(seal))
	return seal[:at] + "\xff" + seal[at+1:]
}

// settle notes how a message ended at a service that knows ids.
func (w *worker) settle(attempt, seal string) {
	if w.service != lockService {
		return
	}
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	if seal == "" {
		delete(w.fleet.done, attempt)
		return
	}
	w.fleet.done[attempt] = seal
}

// raw writes bytes in place of an answer, and ends the connection a moment later.
func (w *worker) raw(rw http.ResponseWriter, text string) {
	if hijacker, ok := rw.(http.Hijacker); ok {
		if conn, _, err := hijacker.Hijack(); err == nil {
			io.Copy(conn, bytes.NewReader([]byte(text)))
			time.Sleep(tenth)
			conn.Close()
		}
	}
}

// drop ends the connection without an answer.
func (w *worker) drop(rw http.ResponseWriter) { w.raw(rw, "") }
