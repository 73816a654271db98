package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"
)

// Times of a worker that leaves.
const (
	// leavePause is how soon a call that was not acknowledged is made again.
	leavePause = tenth
	// leaveCalls is how many calls a worker makes before it ends all the same.
	leaveCalls = 20
	// leaveGrace is how long a worker that ends waits for its last answers.
	leaveGrace = second
)

// leave has one worker of a service leave as planned, and another come once it has ended. A
// worker that drains says so, serves on and unregisters; one that does not unregisters first and
// serves on. A service keeps a worker that stays.
func (f *workerFleet) leave(service string, drains bool, serves time.Duration) {
	w := f.leaving(service)
	if w == nil {
		return
	}
	if drains {
		w.draining.Store(true)
		w.callControl(w.putHeartbeat)
	} else {
		w.unregister()
	}
	time.Sleep(serves)
	if drains {
		w.unregister()
	}
	f.remove(w)
	w.end()
	f.history.count("workers that left")
	if err := f.add(w.service); err != nil {
		f.history.note("worker: %v", err)
	}
}

// leaving draws a worker of a service that has another that stays; nil: there is none.
func (f *workerFleet) leaving(service string) *worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	var staying []*worker
	for _, w := range f.workers {
		if w.service == service && !w.leaves {
			staying = append(staying, w)
		}
	}
	if len(staying) < 2 {
		return nil
	}
	w := staying[rand.IntN(len(staying))]
	w.leaves = true
	return w
}

// remove takes a worker off the list.
func (f *workerFleet) remove(w *worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, x := range f.workers {
		if x == w {
			f.workers = append(f.workers[:i], f.workers[i+1:]...)
			return
		}
	}
}

// unregister takes the worker off control's list; no heartbeat follows.
func (w *worker) unregister() {
	w.unregistered.Store(true)
	w.callControl(func(address string) bool {
		url := "http://" + address + "/v1/instances/" + w.id
		return call(http.MethodDelete, url, nil, nil).status/100 == 2
	})
}

// callControl makes a call to one control process or another until it is acknowledged.
func (w *worker) callControl(put func(address string) bool) {
	for range leaveCalls {
		list := w.fleet.deployment.controlAddresses()
		if put(list[rand.IntN(len(list))]) {
			return
		}
		time.Sleep(leavePause)
	}
}

// end ends a worker that is sent nothing more.
func (w *worker) end() {
	close(w.quit)
	ctx, cancel := context.WithTimeout(context.Background(), leaveGrace)
	defer cancel()
	if w.server.Shutdown(ctx) != nil {
		w.server.Close()
	}
}
