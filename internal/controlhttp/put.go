package controlhttp

import (
	"errors"
	"log/slog"
	"net/http"
	"strconv"

	"oxbowdeck/internal/control"
	"oxbowdeck/internal/metrics"
	"oxbowdeck/internal/requestbody"
)

var errIfMatch = errors.New("If-Match must hold the number of the version this one builds on")

// put takes a configuration, and counts what it is answered.
func put(w http.ResponseWriter, r *http.Request, d Control, b Bounds, bodies bodies, m *metrics.Control) {
	read, err := whole(w, r, bodies.configurations, b.Body)
	switch {
	case errors.Is(err, requestbody.ErrBusy):
		m.Refused(metrics.RefusedUnavailable)
		return
	case err != nil:
		m.Refused(metrics.RefusedInvalid)
		return
	}
	defer read.Release()
	body := read.Bytes
	release, match, err := checkPut(r, body)
	if err != nil {
		m.Refused(metrics.RefusedInvalid)
		say(w, http.StatusBadRequest, answer{Error: err.Error()})
		return
	}
	res, err := d.Put(match, release, body, b.Wait)
	switch {
	case err != nil:
		m.Refused(metrics.RefusedUnavailable)
		later(w, err)
	case res == control.Stale:
		m.Refused(metrics.RefusedStale)
		slog.Info("config-stale", "release", release, "match", match)
		say(w, http.StatusPreconditionFailed, answer{Error: "another version is in place"})
	case res == control.Low:
		m.Refused(metrics.RefusedNotAbove)
		say(w, http.StatusBadRequest, answer{Error: "field config_release: not above the current version"})
	default:
		m.Acknowledged()
		slog.Info("config-taken", "release", release)
		say(w, http.StatusOK, answer{})
	}
}

// checkPut gives the release of a configuration, and of the one it builds on.
func checkPut(r *http.Request, body []byte) (release, match int64, err error) {
	release, err = control.Check(body)
	if err != nil {
		slog.Warn("config-refused", "err", err)
		return 0, 0, err
	}
	match, err = strconv.ParseInt(r.Header.Get("If-Match"), 10, 64)
	if err != nil || match < 0 {
		return 0, 0, errIfMatch
	}
	return release, match, nil
}
