package httpedge

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"oxbowdeck/internal/edgetest"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/shardapi"
	"oxbowdeck/internal/transport"
)

const oneRoute = `{"config_release":1,"limits":{"body_max_bytes":8},"service_set":[{"label":"s"}],"routing_entries":[` +
	`{"label":"x","host_id":"","path_prefix":"/x","route_class":"deferred","service_ref":"s","hold_s":60}]}`

// begun is an edge that has just begun: no update has reached it.
func begun(t *testing.T) *Daemon {
	t.Helper()
	d := newDaemon(bounds{
		maxCalls: 100, maxBytes: 1 << 20, maxBody: 1 << 16,
		replicaQuiet: 400, resend: 50, leaderLate: 1 << 30, answerWait: 100,
	})
	d.core = edgetest.NewCore(t)
	return d
}

// run lets the edge's actor begin.
func run(d *Daemon) *Daemon {
	go d.core.Actor.Run(func() time.Duration {
		d.giveUp(ids.MonotonicNow())
		return 5 * time.Millisecond
	})
	return d
}

// configured is an edge that an update source brought a configuration, and the link to
// that source.
func configured(t *testing.T, quiet ids.Millis) (d *Daemon, source *transport.Link) {
	t.Helper()
	d = begun(t)
	source = edgetest.Configure(t, d.core, oneRoute, quiet)
	return d, source
}

// cutOff is an edge that nobody has confirmed the configuration to for too long.
func cutOff(t *testing.T) *Daemon {
	d, _ := configured(t, edgetest.ShortQuiet)
	edgetest.OutlastShortQuiet()
	return d
}

// stoodStill is an edge that stood still for too long, and then read what had waited in
// its buffers.
func stoodStill(t *testing.T) *Daemon {
	d, source := configured(t, edgetest.ShortQuiet)
	edgetest.StandStill(d.core, source)
	return d
}

// handIn is a message that a client hands in; of a body in chunks the length is not known.
func handIn(path, body string, chunked bool) func(*Daemon) *http.Request {
	return func(*Daemon) *http.Request {
		r := httptest.NewRequest("POST", path, strings.NewReader(body))
		r.Header.Set("X-Attempt-Id", "m")
		if chunked {
			r.ContentLength = -1
		}
		return r
	}
}

// askOf is a question for a message that the one shard there is does not know.
func askOf(path string) func(*Daemon) *http.Request {
	return func(d *Daemon) *http.Request {
		go func() {
			for range 50 {
				time.Sleep(time.Millisecond)
				d.core.Actor.Do(func() { d.answerInquiry(shardapi.Stated{Req: 1}) })
			}
		}()
		return httptest.NewRequest("GET", path+"0.m", nil)
	}
}

// TestRefusedByTheNewestConfigurationAlone: what the configuration rules out is refused
// for good only by an edge that knows it has the newest one; one that has just begun, was
// cut off or stood still answers 503 with Retry-After.
func TestRefusedByTheNewestConfigurationAlone(t *testing.T) {
	states := map[string]func(*testing.T) *Daemon{
		"is current":     func(t *testing.T) *Daemon { d, _ := configured(t, edgetest.LongQuiet); return d },
		"has just begun": begun,
		"was cut off":    cutOff,
		"stood still":    stoodStill,
	}
	requests := []struct {
		name    string
		request func(d *Daemon) *http.Request
		refused int // by the newest configuration
	}{
		{"no route", handIn("/y", "body", false), http.StatusNotFound},
		{"too large", handIn("/x", "more than 8", false), http.StatusRequestEntityTooLarge},
		{"too large in chunks", handIn("/x", "more than 8", true), http.StatusRequestEntityTooLarge},
		{"state", askOf("/v1/message/"), http.StatusNotFound},
		{"bytes", askOf("/v1/message-body/"), http.StatusNotFound},
	}
	for state, start := range states {
		for _, a := range requests {
			d := run(start(t))
			want := http.StatusServiceUnavailable
			if state == "is current" {
				want = a.refused
			}
			w := httptest.NewRecorder()
			d.ServeHTTP(w, a.request(d))
			after := w.Header().Get("Retry-After")
			if w.Code != want || (w.Code == http.StatusServiceUnavailable) != (after != "") {
				t.Errorf("an edge that %s, %s: answered %d, Retry-After %q, not %d", state, a.name, w.Code, after, want)
			}
		}
	}
	// what the last known configuration allows goes on
	d := run(cutOff(t))
	w := httptest.NewRecorder()
	d.ServeHTTP(w, handIn("/x", "body", false)(d))
	if w.Code == http.StatusNotFound || strings.Contains(w.Body.String(), "configuration") {
		t.Errorf("an edge that was cut off refuses what it knows to be allowed: %d %s", w.Code, w.Body)
	}
}
