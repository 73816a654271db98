package process

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"oxbowdeck/internal/errs"
	"oxbowdeck/internal/metrics"
	"oxbowdeck/internal/requestlog"
)

// Bounds of the readiness server.
const (
	readinessHeaderTimeout  = 3 * time.Second
	readinessWriteTimeout   = 10 * time.Second
	readinessIdleTimeout    = 10 * time.Second
	readinessMaxHeaderBytes = 8 << 10
)

// Readiness answers the platform's probe.
type Readiness struct {
	ready  atomic.Bool
	server *http.Server
}

// Close ends the answering.
func (r *Readiness) Close() { r.server.Close() }

// Set changes the answer.
func (r *Readiness) Set(ready bool) { r.ready.Store(ready) }

// On tells the answer given now.
func (r *Readiness) On() bool { return r.ready.Load() }

// Serve answers GET /v1/readiness at addr, and GET /v1/metrics if it is given a handler
// of metrics.
func (r *Readiness) Serve(addr string, metricsHandler http.Handler) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return errs.Wrap("listen readiness", addr, err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/readiness", func(w http.ResponseWriter, _ *http.Request) {
		if !r.On() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	if metricsHandler != nil {
		mux.Handle("GET "+metrics.Path, metricsHandler)
		mux.Handle("GET "+requestlog.Path, requestlog.Handler())
	}
	r.server = &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: readinessHeaderTimeout,
		WriteTimeout:      readinessWriteTimeout,
		IdleTimeout:       readinessIdleTimeout,
		MaxHeaderBytes:    readinessMaxHeaderBytes,
	}
	go r.server.Serve(listener)
	return nil
}
