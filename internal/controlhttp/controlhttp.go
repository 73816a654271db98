// Package controlhttp is the operator's side: the control plane's HTTP interface.
package controlhttp

import (
	"bytes"
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"time"
	"unicode/utf8"

	"oxbowdeck/internal/control"
	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/errs"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/metrics"
	"oxbowdeck/internal/requestbody"
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
	bodies := newBodies(b)
	mux.HandleFunc("PUT /v1/configuration", func(w http.ResponseWriter, r *http.Request) { put(w, r, d, b, bodies, m) })
	mux.HandleFunc("GET /v1/configuration", func(w http.ResponseWriter, _ *http.Request) { current(w, d, b) })
	mux.HandleFunc("POST /v1/retire/{node}", func(w http.ResponseWriter, r *http.Request) { retire(w, r, d, b, bodies) })
	mux.HandleFunc("GET /v1/retire/{node}", func(w http.ResponseWriter, r *http.Request) { retirement(w, r, d, b) })
	workers(mux, d, b, bodies)
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
func retire(w http.ResponseWriter, r *http.Request, d Control, b Bounds, bodies bodies) {
	var order struct {
		RampS float64 `json:"ramp_s"`
	}
	if !bodies.readOrder(w, r, &order) {
		return
	}
	if order.RampS < 0 {
		say(w, http.StatusBadRequest, answer{Error: "field ramp_s: must not be below 0"})
		return
	}
	name := r.PathValue("node")
	if !utf8.ValidString(name) {
		say(w, http.StatusNotFound, answer{Error: "no such storage machine"})
		return
	}
	res, err := d.Retire(name, b.Wait)
	switch {
	case err != nil:
		later(w, err)
	case res == control.Unknown:
		say(w, http.StatusNotFound, answer{Error: "no such storage machine"})
	case res == control.TooFew:
		say(w, http.StatusConflict, answer{Error: "too few storage machines would be left"})
	default:
		slog.Info("retire", "node", name)
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

const (
	// mostOrder is the largest body of a call about one machine or worker.
	mostOrder = 16 << 10
	// orderMemory is what the bodies of such calls may take at one time.
	orderMemory = 4 << 20
	// configurationsAtOnce is how many configurations of the largest size may be read and checked
	// at one time. Operators have up to eight orders under way.
	configurationsAtOnce = 8
)

// bodies bounds the memory of the bodies that are being read, or worked on. Calls of workers
// and configurations do not take each other's.
type bodies struct {
	orders         *requestbody.Budget
	configurations *requestbody.Budget
}

func newBodies(b Bounds) bodies {
	configurations := configurationsAtOnce * (b.Body + 1)
	return bodies{
		orders:         requestbody.NewBudget(orderMemory/2, orderMemory/2),
		configurations: requestbody.NewBudget(configurations, configurations),
	}
}

// whole reads a body, which the caller releases; without it, the caller is told why.
func whole(w http.ResponseWriter, r *http.Request, budget *requestbody.Budget, most int64) (*requestbody.Body, error) {
	body, err := budget.Read(http.MaxBytesReader(w, r.Body, most), r.ContentLength)
	var big *http.MaxBytesError
	switch {
	case err == nil:
	case errors.Is(err, requestbody.ErrBusy):
		later(w, err)
	case errors.As(err, &big):
		text := "the body is larger than " + strconv.FormatInt(most, 10) + " bytes"
		say(w, http.StatusRequestEntityTooLarge, answer{Error: text})
	default:
		say(w, http.StatusBadRequest, answer{Error: "the body could not be read: " + err.Error()})
	}
	return body, err
}

// readOrder reads a body that is one JSON object and nothing else; an empty one says
// nothing.
func (b bodies) readOrder(w http.ResponseWriter, r *http.Request, v any) bool {
	body, err := whole(w, r, b.orders, mostOrder)
	if err != nil {
		return false
	}
	defer body.Release()
	text := bytes.TrimSpace(body.Bytes)
	if len(text) == 0 {
		return true
	}
	err = json.Unmarshal(text, v)
	if err == nil && text[0] != '{' {
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
