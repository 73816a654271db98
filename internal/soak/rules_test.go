package soak

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// rulesOf gives the rules that were violated.
func rulesOf(h *QueueHistory) string {
	var rules []string
	for _, v := range h.Violations() {
		rules = append(rules, v.Rule)
	}
	return strings.Join(rules, " ")
}

// TestArrivalsBite: a service with a limit may get so many arrivals in any window, and no more.
func TestArrivalsBite(t *testing.T) {
	for _, test := range []struct {
		what     string
		arrivals int
		within   time.Duration
		want     string
	}{
		{"as many as may be", mostArrivals(), ceilingWindow / 2, ""},
		{"one more", mostArrivals() + 1, ceilingWindow / 2, "CEILING"},
		{"twice as many in two windows", 2 * mostArrivals(), 2*ceilingWindow + second, ""},
	} {
		h := newQueueHistory(newHistory(io.Discard))
		start := time.Now()
		for i := range test.arrivals {
			h.arrivals = append(h.arrivals, start.Add(test.within*time.Duration(i)/time.Duration(test.arrivals)))
		}
		if h.checkArrivals(); rulesOf(h) != test.want {
			t.Errorf("%s: violated %q, want %q", test.what, rulesOf(h), test.want)
		}
	}
	h := newQueueHistory(newHistory(io.Discard))
	h.arrives(stockService)
	if h.arrives(meteredService); len(h.arrivals) != 1 {
		t.Errorf("%d arrivals are noted, want that of the limited service", len(h.arrivals))
	}
}

// TestBudgetBites: a message that fails at each run, or is refused for good, must not come
// again without an end.
func TestBudgetBites(t *testing.T) {
	for _, test := range []struct {
		path    string
		answers int
		trouble bool
		want    string
	}{
		{failingPath, budgetFactor*failingAttempts - 1, false, ""},
		{failingPath, budgetFactor * failingAttempts, false, "BUDGET"},
		{failingPath, budgetFactor * failingAttempts, true, ""},
		{refusedPath, refusedBudget - 1, false, ""},
		{refusedPath, refusedBudget, false, "BUDGET"},
	} {
		h := newQueueHistory(newHistory(io.Discard))
		if test.trouble {
			h.calendar.begin()
		}
		m := &queueMessage{id: "m", path: test.path, sent: time.Now()}
		h.sending(m)
		request := httptest.NewRequest(http.MethodPost, test.path, nil)
		for range test.answers {
			h.answersHopeless(h.begins("w", "m", request, nil), hopelessAnswer(test.path))
		}
		if h.begins("w", "m", request, nil); rulesOf(h) != test.want {
			t.Errorf("%s after %d answers: violated %q, want %q", test.path, test.answers, rulesOf(h), test.want)
		}
	}
}

// edgeThatAnswers is an edge that gives each question one answer.
func edgeThatAnswers(t *testing.T, status int, body string) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
		rw.WriteHeader(status)
		io.WriteString(rw, body)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// TestAskerBites: a message that was accepted is known everywhere, and ends as its workers say.
func TestAskerBites(t *testing.T) {
	for _, test := range []struct {
		what    string
		status  int
		body    string
		path    string
		trouble bool
		want    string
	}{
		{"queued", 200, `{"op_state":"queued"}`, "/stock/1", false, ""},
		{"unknown", 404, "", "/stock/1", false, "LOST"},
		{"gone", 410, "", "/stock/1", false, "LOST"},
		{"unknown in a trouble", 404, "", "/stock/1", true, ""},
		{"not sure", 503, "", "/stock/1", false, ""},
		{"undeliverable, and has not ended", 200, `{"op_state":"undeliverable"}`, failingPath, false, "LOST"},
	} {
		h := newQueueHistory(newHistory(io.Discard))
		if test.trouble {
			h.calendar.begin()
		}
		front := edgeThatAnswers(t, test.status, test.body)
		m := &queueMessage{id: "m", name: "m", path: test.path, acceptedAt: time.Now().Add(-knownTime)}
		a := &asker{history: h, fronts: func() []string { return []string{front} }, keyOf: keyOfTenant}
		if a.ask(m); rulesOf(h) != test.want {
			t.Errorf("%s: violated %q, want %q", test.what, rulesOf(h), test.want)
		}
	}
}
