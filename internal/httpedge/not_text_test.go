package httpedge

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"oxbowdeck/internal/edgetest"
)

// TestWhatIsNotTextIsRefused guards against messages that no replica can read: they were put
// into the decided order, and answered 504 seconds later.
func TestWhatIsNotTextIsRefused(t *testing.T) {
	const spoiled = "k\xff1"
	d, _ := configured(t, edgetest.LongQuiet)
	run(d)
	request := func(change func(*http.Request)) *http.Request {
		r := httptest.NewRequest(http.MethodPost, "/x/1", nil)
		r.Header.Set("X-Attempt-Id", "m1")
		r.Header.Set("X-Sequence-Key", "Häuser")
		change(r)
		return r
	}
	for name, change := range map[string]func(*http.Request){
		"method":         func(r *http.Request) { r.Method = spoiled },
		"Host":           func(r *http.Request) { r.Host = spoiled },
		"path":           func(r *http.Request) { r.RequestURI = "/x/" + spoiled },
		"Content-Type":   func(r *http.Request) { r.Header.Set("Content-Type", spoiled) },
		"X-Sequence-Key": func(r *http.Request) { r.Header.Set("X-Sequence-Key", spoiled) },
	} {
		answer, taken := exchange(d, request(change))
		if answer.Code != http.StatusBadRequest || len(taken) != 0 {
			t.Errorf("%s: answered %d, %d messages handed in", name, answer.Code, len(taken))
		}
	}
	answer, taken := exchange(d, request(func(*http.Request) {}))
	if answer.Code != http.StatusAccepted || len(taken) != 1 {
		t.Errorf("text in UTF-8: answered %d, %d messages handed in", answer.Code, len(taken))
	}
}
