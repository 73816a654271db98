package httpedge

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// How an edge ends. The platform probes readiness every second and sends new
// connections until a node missed two probes, so the listener must outlive that: a
// connection that still waits to be accepted when it closes is reset without an answer.
const (
	acceptAfterLeave = 2500 * time.Millisecond // two missed probes, and a quarter as much again
	acceptQuiet      = 300 * time.Millisecond  // no new connection for so long: none is on its way
	acceptLook       = 50 * time.Millisecond   // between looks at the time
	stopPercent      = 80                      // of the grace time; the rest is for the process's own end
	flushTimeout     = 100 * time.Millisecond  // for what is queued on links
)

// arrivals remembers when the last connection was accepted.
type arrivals struct {
	last atomic.Int64 // as UnixNano; 0: none yet
}

// note is an http.Server's ConnState hook.
func (a *arrivals) note(_ net.Conn, state http.ConnState) {
	if state == http.StateNew {
		a.last.Store(time.Now().UnixNano())
	}
}

// quiet tells whether no connection was accepted lately.
func (a *arrivals) quiet() bool {
	return time.Now().UnixNano()-a.last.Load() > int64(acceptQuiet)
}

// drainTimes are the moments of an ending.
type drainTimes struct {
	accept     time.Time // connections are accepted until then at the least
	acceptMost time.Time // and until then at the most, while more of them come
	stop       time.Time // what is under way then is broken off
}

// drain goes on accepting connections until the platform sends no more, then answers
// what is under way.
func drain(server *http.Server, seen *arrivals, times drainTimes) {
	server.SetKeepAlivesEnabled(false) // answers say that the connection closes
	for now := time.Now(); now.Before(times.acceptMost); now = time.Now() {
		if now.After(times.accept) && seen.quiet() {
			break
		}
		time.Sleep(acceptLook)
	}
	ctx, cancel := context.WithDeadline(context.Background(), times.stop)
	defer cancel()
	server.Shutdown(ctx)
}

// drainTimes gives the moments of an ending that begins now.
func (d *Daemon) drainTimes() drainTimes {
	now, most := time.Now(), d.core.DrainDeadline()
	times := drainTimes{accept: now.Add(acceptAfterLeave), acceptMost: most, stop: most}
	grace := time.Duration(d.core.Settings.GraceS * float64(time.Second))
	if end := now.Add(grace * stopPercent / 100); end.After(times.stop) {
		times.stop = end
	}
	return times
}

// Stop drains: no new connections are wanted, what is under way is answered.
func (d *Daemon) Stop() {
	times := d.drainTimes()
	d.core.Actor.Do(func() {
		d.core.BeginLeave()
		d.core.TellLeave()
	})
	drain(d.server, &d.arrivals, times)
	d.core.Close(flushTimeout)
}
