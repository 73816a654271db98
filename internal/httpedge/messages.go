package httpedge

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"oxbowdeck/internal/compression"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/queue"
	"oxbowdeck/internal/shardapi"
)

// messageName is what a message is asked for by: its group and its attempt's id.
func messageName(g ids.Group, id string) string { return strconv.FormatUint(uint64(g), 36) + "." + id }

// parseMessageName reads a name back. One this system did not give may be in any group.
func parseMessageName(name string, shards int) (g ids.Group, id string, ok bool) {
	a, b, found := strings.Cut(name, ".")
	n, err := strconv.ParseUint(a, 36, 32)
	if !found || err != nil || int(n) >= shards || b == "" {
		return 0, name, false
	}
	return ids.Group(n), b, true
}

// serveMessage tells how a message stands, or gives its bytes.
func (d *Daemon) serveMessage(w http.ResponseWriter, r *http.Request, name string, body bool) {
	if r.Method != http.MethodGet {
		w.Header().Set("Allow", "GET")
		writeError(w, http.StatusMethodNotAllowed, "only GET")
		return
	}
	if !messageNamePattern.MatchString(name) {
		writeError(w, http.StatusBadRequest, "the id must be 1 to 64 letters, digits or -_.")
		return
	}
	view := d.core.Updates.View()
	who, ok := d.askerOf(w, r, view)
	if !ok {
		return
	}
	got := d.inquire(who.tenant, name, body)
	switch {
	case !got.known && got.sure && who.unkeyed: // by the keys that the configuration had then
		writeErrorIfCurrent(w, view, http.StatusUnauthorized, keyNeeded)
	case !got.known && got.sure: // by the shards there are, which come with the configuration
		writeErrorIfCurrent(w, d.core.Updates.View(), http.StatusNotFound, "no such message")
	case !got.known:
		writeError(w, http.StatusServiceUnavailable, "who holds the message can't be reached now")
	case body:
		writeBody(w, got.stated)
	default:
		writeState(w, got.stated)
	}
}

// writeBody answers with a message's bytes.
func writeBody(w http.ResponseWriter, got shardapi.Stated) {
	if queue.Outcome(got.Outcome) == queue.Done {
		writeError(w, http.StatusNotFound, "the message is done: its bytes are not kept")
		return
	}
	b, err := compression.Open(got.Packed, got.Body)
	if err != nil {
		writeError(w, http.StatusInternalServerError, "the bytes can't be read")
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.Write(b)
}

// messageState is how a message stands, as clients read it.
type messageState struct {
	State string `json:"op_state"`
	Seal  string `json:"timestamp,omitempty"`
}

// writeState answers with how a message stands.
func writeState(w http.ResponseWriter, got shardapi.Stated) {
	out := messageState{State: "undeliverable"}
	switch queue.Outcome(got.Outcome) {
	case queue.Open:
		out.State = "queued"
	case queue.Done:
		out.State, out.Seal = "completed", got.Seal
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(out)
}
