package ground

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"oxbowdeck/internal/kin"
	"oxbowdeck/internal/lane"
	"oxbowdeck/internal/rule"
	"oxbowdeck/internal/unit"
)

// LaneBounds are the bounds of links between processes, from the settings.
func LaneBounds(s *Settings) lane.Bounds {
	return lane.Bounds{
		Queue:    s.Int("lane_queue_kb", 16<<10) << 10,
		Frame:    s.Int("lane_frame_kb", 64<<10) << 10,
		Dial:     time.Duration(s.Int("lane_dial_ms", 250)) * time.Millisecond,
		Silence:  time.Duration(s.Int("lane_silence_ms", 1500)) * time.Millisecond,
		RetryMin: time.Duration(s.Int("lane_retry_ms", 20)) * time.Millisecond,
		RetryMax: time.Duration(s.Int("lane_retry_max_ms", 250)) * time.Millisecond,
	}
}

// HostOf gives the host of an address.
func HostOf(addr string) string {
	h, _, err := net.SplitHostPort(addr)
	if err != nil {
		return strings.TrimSpace(addr)
	}
	return h
}

// Fatal ends the process on an error it cannot serve with: a disk that does
// not write must not go on answering.
func Fatal(err error) {
	unit.Log("fatal", "err", err)
	os.Exit(1)
}

// Readiness answers the platform's probe.
type Readiness struct {
	on  atomic.Bool
	srv *http.Server
}

// Close ends the answering.
func (r *Readiness) Close() { r.srv.Close() }

// Set changes the answer.
func (r *Readiness) Set(on bool) { r.on.Store(on) }

// On tells it.
func (r *Readiness) On() bool { return r.on.Load() }

// Serve answers GET /v1/readiness at addr.
func (r *Readiness) Serve(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return unit.Err("listen readiness", addr, err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/readiness", func(w http.ResponseWriter, _ *http.Request) {
		if !r.On() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	r.srv = &http.Server{Handler: mux, ReadHeaderTimeout: 3 * time.Second, IdleTimeout: 10 * time.Second, MaxHeaderBytes: 8 << 10}
	go r.srv.Serve(ln)
	return nil
}

// Told gives a context that ends at SIGTERM or SIGINT: also a process that is
// still starting ends in order. SIGHUP says nothing until Wait.
func Told(ctx context.Context) (context.Context, context.CancelFunc) {
	signal.Ignore(syscall.SIGHUP)
	return signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
}

// Wait calls hup at each SIGHUP and when the settings file at path changed
// without one, and returns when the context ends.
func Wait(ctx context.Context, path string, look time.Duration, hup func()) {
	t := time.NewTicker(look)
	defer t.Stop()
	stamp := stampOf(path)
	c := make(chan os.Signal, 4)
	signal.Notify(c, syscall.SIGHUP)
	defer signal.Stop(c)
	for {
		select {
		case <-c:
			stamp = stampOf(path)
			hup()
		case <-t.C:
			if now := stampOf(path); now != stamp {
				stamp = now
				hup()
			}
		case <-ctx.Done():
			return
		}
	}
}

// Norms gives the control-plane processes of the seeds, by internal address.
func Norms(s *Settings) []unit.Node {
	var out []unit.Node
	for _, x := range s.Seeds {
		out = append(out, InnerOf(HostOf(x), s.Ports, PortNorm))
	}
	return out
}

// Kin makes a node's part in the ring of heartbeats. Beats heard are handed to
// do, the queue of the actor that owns the watch.
func Kin(s *Settings, self rule.Node, do func(func()), report func(unit.Node, unit.Life)) (*kin.Watch, error) {
	w := &kin.Watch{Self: self.Addr, Life: self.Life, Beat: unit.Millis(s.BeatMs), Report: report}
	return w, w.Listen(func(n unit.Node, life unit.Life) {
		do(func() { w.Heard(n, life, unit.Steady()) })
	})
}

type stamp struct {
	at   time.Time
	size int64
}

func stampOf(path string) (s stamp) {
	if i, err := os.Stat(path); err == nil {
		s = stamp{i.ModTime(), i.Size()}
	}
	return s
}
