package httpedge

import (
	"encoding/json"
	"errors"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"oxbowdeck/internal/compression"
	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/invariant"
	"oxbowdeck/internal/queue"
	"oxbowdeck/internal/requestbody"
	"oxbowdeck/internal/watch"
)

// attemptID is what an X-Attempt-Id may be: it becomes part of the name a message
// is asked for by, of 64 bytes at the most.
var attemptID = regexp.MustCompile(`^[A-Za-z0-9._-]{1,60}$`)

// messageNamePattern is what a message may be asked for by. It has no slash, so it never
// names a tenant.
var messageNamePattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// Bounds of what a client may send, in bytes.
const (
	maxKey  = 256 // of a sequence
	maxPath = 8 << 10
)

// maxDefer is past any hold a route may have, in milliseconds.
const maxDefer = 1 << 40

// retryPause is how long a client that was turned away is asked to stay away.
const retryPause = time.Second

// retryAfter is the value of Retry-After, in whole seconds, for a client that waited
// here before it was turned away: a wait of half a pause or more counts as the pause.
func retryAfter(waited time.Duration) string {
	if waited >= retryPause/2 {
		return "0"
	}
	return strconv.Itoa(int(retryPause / time.Second))
}

// quotaWait is a wait from which on a message that its tenant's limit turned away was not
// refused at once: it waited for tokens in vain, and there may be some by now.
const quotaWait = 100 * time.Millisecond

// quotaRetryAfter is the value of Retry-After for a client that was turned away so.
func quotaRetryAfter(waited time.Duration) string {
	if waited >= quotaWait {
		return "0"
	}
	return retryAfter(0)
}

// errorBody is the body of an answer that turns a request down.
type errorBody struct {
	Error string `json:"error_text"`
}

// writeError turns a request down.
func writeError(w http.ResponseWriter, code int, why string) {
	w.Header().Set("Content-Type", "application/json")
	turnedAway := code == http.StatusServiceUnavailable || code == http.StatusTooManyRequests
	if turnedAway && w.Header().Get("Retry-After") == "" {
		w.Header().Set("Retry-After", retryAfter(0))
	}
	w.WriteHeader(code)
	json.NewEncoder(w).Encode(errorBody{why})
}

// writeErrorIfCurrent turns a request down for what the configuration says. Unless that
// is known to be the newest one, the answer is 503: a newer one may allow the request.
func writeErrorIfCurrent(w http.ResponseWriter, view *watch.View, code int, why string) {
	now := ids.MonotonicNow()
	if !view.Current(now) {
		code, why = http.StatusServiceUnavailable, "this node does not know the newest configuration yet"
	}
	if code != http.StatusServiceUnavailable && !view.Current(now) {
		invariant.Violated(invariant.AnsweredWithinLease,
			"answer", code, "release", view.Config.Release, "age_ms", view.ConfirmedAge(now))
	}
	writeError(w, code, why)
}

// ServeHTTP answers a client.
func (d *Daemon) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if id, ok := strings.CutPrefix(r.URL.Path, "/v1/message/"); ok {
		d.serveMessage(w, r, id, false)
		return
	}
	if id, ok := strings.CutPrefix(r.URL.Path, "/v1/message-body/"); ok {
		d.serveMessage(w, r, id, true)
		return
	}
	d.acceptMessage(w, r)
}

// acceptMessage takes in a message: it answers 202 once the message lasts.
func (d *Daemon) acceptMessage(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	view := d.core.Updates.View()
	route := view.Config.Route(r.Host, r.RequestURI)
	if route == nil || route.Class != controlapi.Deferred {
		writeErrorIfCurrent(w, view, http.StatusNotFound, "no route for this host and path")
		return
	}
	owner, ok := d.owner(w, r, view, route)
	if !ok {
		return
	}
	msg := queue.Message{
		ID: r.Header.Get("X-Attempt-Id"), Method: r.Method, Host: r.Host, Path: r.RequestURI,
		Type: r.Header.Get("Content-Type"), Key: r.Header.Get("X-Sequence-Key"), Ordered: route.Sequence,
		Hold: ids.Millis(route.HoldS * 1000), Release: view.Config.Release,
		Tenant: owner,
	}
	if !readDefer(w, r, &msg) || !checkHeaders(w, &msg) || !d.readBody(w, r, view, &msg) {
		return
	}
	wait := d.waitOf(r) - ids.Millis(time.Since(began).Milliseconds())
	got := d.propose(route, &msg, wait)
	switch got.verdict {
	case verdictDecided:
		w.Header().Set("X-Message-Id", messageName(got.group, msg.ID))
		w.WriteHeader(http.StatusAccepted)
	case verdictOverQuota:
		w.Header().Set("Retry-After", quotaRetryAfter(time.Since(began)))
		writeError(w, http.StatusTooManyRequests, got.reason)
	case verdictNever:
		w.Header().Set("Retry-After", retryAfter(time.Since(began)))
		writeError(w, http.StatusServiceUnavailable, got.reason)
	default:
		writeError(w, http.StatusGatewayTimeout, got.reason)
	}
}

// waitOf is how long a client waits for its answer at the most.
func (d *Daemon) waitOf(r *http.Request) ids.Millis {
	ms, err := strconv.ParseInt(r.Header.Get("X-Time-Remaining"), 10, 64)
	if err != nil || ms < 0 {
		return d.bounds.answerWait
	}
	return min(d.bounds.answerWait, ids.Millis(ms))
}

// readDefer reads how long a message is to wait before it runs; false if it turned the
// message down, as of the two below.
func readDefer(w http.ResponseWriter, r *http.Request, msg *queue.Message) bool {
	v := r.Header.Get("X-Defer-Ms")
	if v == "" {
		return true
	}
	ms, err := strconv.ParseInt(v, 10, 64)
	if err != nil || ms < 0 || ms > maxDefer {
		writeError(w, http.StatusBadRequest, "X-Defer-Ms must be a whole number of milliseconds, not below 0")
		return false
	}
	msg.Defer = ids.Millis(ms)
	return true
}

// fieldNotText names the first part of a message that is kept as text and is none.
func fieldNotText(msg *queue.Message) (name string, found bool) {
	for _, field := range []struct{ name, value string }{
		{"method", msg.Method},
		{"Host", msg.Host},
		{"path", msg.Path},
		{"Content-Type", msg.Type},
		{"X-Sequence-Key", msg.Key},
	} {
		if !utf8.ValidString(field.value) {
			return field.name, true
		}
	}
	return "", false
}

// checkHeaders turns a message down whose names are too long or malformed.
func checkHeaders(w http.ResponseWriter, msg *queue.Message) bool {
	if name, found := fieldNotText(msg); found {
		writeError(w, http.StatusBadRequest, name+" must be text in UTF-8")
		return false
	}
	switch {
	case !attemptID.MatchString(msg.ID):
		writeError(w, http.StatusBadRequest, "X-Attempt-Id must be 1 to 60 letters, digits or -_.")
	case len(msg.Key) > maxKey:
		writeError(w, http.StatusBadRequest, "X-Sequence-Key is longer than "+strconv.Itoa(maxKey)+" bytes")
	case len(msg.Path) > maxPath:
		writeError(w, http.StatusRequestURITooLong, "the path is longer than "+strconv.Itoa(maxPath)+" bytes")
	default:
		return true
	}
	return false
}

// readBody reads a message's body, within the bound that the configuration names.
func (d *Daemon) readBody(w http.ResponseWriter, r *http.Request, view *watch.View, msg *queue.Message) bool {
	limit := d.bounds.maxBody
	if view.Config.Limits.Body > 0 {
		limit = int64(view.Config.Limits.Body)
	}
	tooLarge := "the body is larger than " + strconv.FormatInt(limit, 10) + " bytes"
	if r.ContentLength > limit {
		writeErrorIfCurrent(w, view, http.StatusRequestEntityTooLarge, tooLarge)
		return false
	}
	body, err := d.bodies.Read(http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	var past *http.MaxBytesError
	switch {
	case errors.As(err, &past):
		writeErrorIfCurrent(w, view, http.StatusRequestEntityTooLarge, tooLarge)
		return false
	case errors.Is(err, requestbody.ErrBusy):
		writeError(w, http.StatusServiceUnavailable, err.Error())
		return false
	case err != nil:
		writeError(w, http.StatusBadRequest, "the body could not be read: "+err.Error())
		return false
	}
	msg.Packed, msg.Body = compression.Body(body.Bytes)
	body.Release() // from here on it counts among the messages under way
	return true
}
