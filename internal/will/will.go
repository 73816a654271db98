// Package will is the operator's side: the control plane's HTTP interface.
package will

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"oxbowdeck/internal/edict"
	"oxbowdeck/internal/unit"
)

// Bounds of the interface.
type Bounds struct {
	Body int64         // largest configuration
	Wait time.Duration // for the group, before the caller is sent on
}

type answer struct {
	Error string `json:"error_text,omitempty"`
	State string `json:"op_state,omitempty"`
}

// Serve answers the operator at addr, until the function it returns is called.
func Serve(addr string, d *edict.Daemon, b Bounds) (func(), error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, unit.Err("listen control", addr, err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/configuration", func(w http.ResponseWriter, r *http.Request) { put(w, r, d, b) })
	mux.HandleFunc("GET /v1/configuration", func(w http.ResponseWriter, r *http.Request) {
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
	})
	mux.HandleFunc("POST /v1/retire/{node}", func(w http.ResponseWriter, r *http.Request) {
		var order struct {
			RampS float64 `json:"ramp_s"`
		}
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 4096)).Decode(&order); err != nil && err != io.EOF || order.RampS < 0 {
			say(w, http.StatusBadRequest, answer{Error: "the body must be an object with ramp_s"})
			return
		}
		res, err := d.Retire(r.PathValue("node"), b.Wait)
		switch {
		case err != nil:
			later(w, err)
		case res == edict.Unknown:
			say(w, http.StatusNotFound, answer{Error: "no such storage machine"})
		case res == edict.TooFew:
			say(w, http.StatusConflict, answer{Error: "too few storage machines would be left"})
		default:
			unit.Log("retire", "node", r.PathValue("node"))
			say(w, http.StatusOK, answer{State: "active"})
		}
	})
	mux.HandleFunc("GET /v1/retire/{node}", func(w http.ResponseWriter, r *http.Request) {
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
	})
	workers(mux, d, b)
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, r *http.Request) { say(w, http.StatusOK, d.Status()) })
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: 3 * time.Second, ReadTimeout: 10 * time.Second,
		WriteTimeout: 10 * time.Second, IdleTimeout: 15 * time.Second, MaxHeaderBytes: 16 << 10}
	go srv.Serve(ln)
	return func() { srv.Close() }, nil
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

func put(w http.ResponseWriter, r *http.Request, d *edict.Daemon, b Bounds) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, b.Body))
	if err != nil {
		var big *http.MaxBytesError
		if errors.As(err, &big) {
			say(w, http.StatusRequestEntityTooLarge, answer{Error: "the configuration is larger than " + strconv.FormatInt(b.Body, 10) + " bytes"})
			return
		}
		say(w, http.StatusBadRequest, answer{Error: "the body could not be read: " + err.Error()})
		return
	}
	release, err := edict.Check(body)
	if err != nil {
		unit.Log("config-refused", "err", err)
		say(w, http.StatusBadRequest, answer{Error: err.Error()})
		return
	}
	match, err := strconv.ParseInt(r.Header.Get("If-Match"), 10, 64)
	if err != nil || match < 0 {
		say(w, http.StatusBadRequest, answer{Error: "If-Match must hold the number of the version this one builds on"})
		return
	}
	res, err := d.Put(match, release, body, b.Wait)
	switch {
	case err != nil:
		later(w, err)
	case res == edict.Stale:
		unit.Log("config-stale", "release", release, "match", match)
		say(w, http.StatusPreconditionFailed, answer{Error: "another version is in place"})
	case res == edict.Low:
		say(w, http.StatusBadRequest, answer{Error: "field config_release: not above the current version"})
	default:
		unit.Log("config-taken", "release", release)
		say(w, http.StatusOK, answer{})
	}
}
