// Package controlhttp is the operator's side: the control plane's HTTP interface.
package controlhttp

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"time"

	"oxbowdeck/internal/control"
	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/errs"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/metrics"
	"oxbowdeck/internal/requestlog"
)

// Bounds of the interface.
type Bounds struct {
	Body int64         // largest configuration
	Wait time.Duration // for the group, before the caller is sent on
}

// TenantQuery is the parameter of GET /v1/status that names a tenant.
const TenantQuery = "tenant"

type answer struct {
	Error string `json:"error_text,omitempty"`
	State string `json:"op_state,omitempty"`
}

// Control is the control process that answers: control.Daemon.
type Control interface {
	Current(wait time.Duration) (release int64, body []byte, err error)
	Put(match, release int64, body []byte, wait time.Duration) (control.Result, error)
	Retire(name string, wait time.Duration) (control.Result, error)
	Emptied(name string, wait time.Duration) (known, asked, done bool, err error)
	StatusOf(tenant ids.Tenant) (control.Status, error)
	Heartbeat(w controlapi.Worker, wait ids.Millis, done func(bool))
	Left(id string, wait ids.Millis, done func(bool))
}

// Serve answers the operator at addr, until the function it returns is called. Without
// metrics (nil) there are none to be read.
func Serve(addr string, d Control, b Bounds, m *metrics.Control) (func(), error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errs.Wrap("listen control", addr, err)
	}
	srv := &http.Server{
		Handler:           handler(d, b, m),
		ReadHeaderTimeout: 3 * time.Second,
		ReadTimeout:       10 * time.Second,
		WriteTimeout:      10 * time.Second,
		IdleTimeout:       15 * time.Second,
		MaxHeaderBytes:    16 << 10,
	}
	go srv.Serve(ln)
	return func() { srv.Close() }, nil
}

func handler(d Control, b Bounds, m *metrics.Control) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/configuration", func(w http.ResponseWriter, r *http.Request) { put(w, r, d, b, m) })
	mux.HandleFunc("GET /v1/configuration", func(w http.ResponseWriter, _ *http.Request) { current(w, d, b) })
	mux.HandleFunc("POST /v1/retire/{node}", func(w http.ResponseWriter, r *http.Request) { retire(w, r, d, b) })
	mux.HandleFunc("GET /v1/retire/{node}", func(w http.ResponseWriter, r *http.Request) { retirement(w, r, d, b) })
	workers(mux, d, b)
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, r *http.Request) { status(w, r, d) })
	if metricsHandler := m.Handler(); metricsHandler != nil {
		mux.Handle("GET "+metrics.Path, metricsHandler)
		mux.Handle("GET "+requestlog.Path, requestlog.Handler())
	}
	return mux
}

// status gives what this process sees; with ?tenant=LABEL, that tenant's part too.
func status(w http.ResponseWriter, r *http.Request, d Control) {
	s, err := d.StatusOf(ids.Tenant(r.URL.Query().Get(TenantQuery)))
	switch {
	case errors.Is(err, control.ErrNoTenant):
		say(w, http.StatusNotFound, answer{Error: err.Error()})
	case err != nil:
		say(w, http.StatusInternalServerError, answer{Error: err.Error()})
	default:
		say(w, http.StatusOK, s)
	}
}

// current gives the newest configuration.
func current(w http.ResponseWriter, d Control, b Bounds) {
	release, body, err := d.Current(b.Wait)
	switch {
	case err != nil:
		later(w, err)
	case release == 0:
		say(w, http.StatusNotFound, answer{Error: "no configuration has been taken yet"})
	default:
		w.Header().Set("Content-Type", "application/json")
		w.Write(body)
	}
}

// retire orders a storage machine to be emptied.
func retire(w http.ResponseWriter, r *http.Request, d Control, b Bounds) {
	var order struct {
		RampS float64 `json:"ramp_s"`
	}
	if !read(w, r, mostOrder, &order) {
		return
	}
	if order.RampS < 0 {
		say(w, http.StatusBadRequest, answer{Error: "field ramp_s: must not be below 0"})
		return
	}
	res, err := d.Retire(r.PathValue("node"), b.Wait)
	switch {
	case err != nil:
		later(w, err)
	case res == control.Unknown:
		say(w, http.StatusNotFound, answer{Error: "no such storage machine"})
	case res == control.TooFew:
		say(w, http.StatusConflict, answer{Error: "too few storage machines would be left"})
	default:
		slog.Info("retire", "node", r.PathValue("node"))
		say(w, http.StatusOK, answer{State: "active"})
	}
}

// retirement tells how far an order to empty a machine is.
func retirement(w http.ResponseWriter, r *http.Request, d Control, b Bounds) {
	known, asked, done, err := d.Emptied(r.PathValue("node"), b.Wait)
	switch {
	case err != nil:
		later(w, err)
	case !known || !asked:
		say(w, http.StatusNotFound, answer{Error: "no retirement of that machine"})
	case done:
		say(w, http.StatusOK, answer{State: "completed"})
	default:
		say(w, http.StatusOK, answer{State: "active"})
	}
}

// mostOrder is the largest body of a call about one machine or worker.
const mostOrder = 16 << 10

// whole reads a body; without it, the caller is told why.
func whole(w http.ResponseWriter, r *http.Request, most int64) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
	var big *http.MaxBytesError
	switch {
	case err == nil:
		return body, true
	case errors.As(err, &big):
		text := "the body is larger than " + strconv.FormatInt(most, 10) + " bytes"
		say(w, http.StatusRequestEntityTooLarge, answer{Error: text})
	default:
		say(w, http.StatusBadRequest, answer{Error: "the body could not be read: " + err.Error()})
	}
	return nil, false
}

// read reads a body that is one JSON object and nothing else; an empty one says
// nothing.
func read(w http.ResponseWriter, r *http.Request, most int64, v any) bool {
	body, ok := whole(w, r, most)
	if body = bytes.TrimSpace(body); !ok || len(body) == 0 {
		return ok
	}
	err := json.Unmarshal(body, v)
	if err == nil && body[0] != '{' {
		err = errors.New("it is no object")
	}
	if err != nil {
		say(w, http.StatusBadRequest, answer{Error: "unreadable: " + err.Error()})
	}
	return err == nil
}

func say(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	json.NewEncoder(w).Encode(v)
}

func later(w http.ResponseWriter, err error) {
	w.Header().Set("Retry-After", "1")
	say(w, http.StatusServiceUnavailable, answer{Error: err.Error()})
}
