package testworker

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"
)

// controlTimeout bounds a call to one control process.
const controlTimeout = time.Second

// The states a worker reports.
const (
	stateInService = "in_service"
	stateDraining  = "draining"
)

var client = http.Client{Timeout: controlTimeout}

// registration is the body of a worker's call to the control plane.
type registration struct {
	Service       string `json:"service_ref"`
	Addr          string `json:"transport_addr"`
	Zone          string `json:"avail_zone"`
	ConfigRelease string `json:"config_release"` // the worker's own, not the deployment's
	Slots         int    `json:"capacity_slots"`
	State         string `json:"op_state"`
	WarmupLeftMs  int64  `json:"warmup_left_ms"`
	Call          int64  `json:"call_seq"`
}

// sendHeartbeat tells the first control process that takes it how the worker is.
func (w *Worker) sendHeartbeat() {
	body, err := json.Marshal(w.nextRegistration())
	if err == nil {
		w.callControl(http.MethodPut, body)
	}
}

func (w *Worker) nextRegistration() registration {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls++
	state := stateInService
	if w.draining {
		state = stateDraining
	}
	return registration{
		Service:       w.Service,
		Addr:          w.Addr,
		Zone:          w.Zone,
		ConfigRelease: "stand-in",
		Slots:         w.Slots,
		State:         state,
		Call:          w.calls,
	}
}

// callControl calls the control processes in turn until one takes it; a heartbeat that
// none takes is followed by the next.
func (w *Worker) callControl(method string, body []byte) {
	for _, address := range w.Control {
		request, err := http.NewRequest(method, "http://"+address+"/v1/instances/"+w.ID, bytes.NewReader(body))
		if err != nil {
			return
		}
		response, err := client.Do(request)
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode/100 == 2 {
			return
		}
	}
}
