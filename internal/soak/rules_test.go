package soak

import (
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// rulesOf gives the rules that were violated.
func rulesOf(h *History) string {
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
			h.metered.arrivals = append(h.metered.arrivals, start.Add(test.within*time.Duration(i)/time.Duration(test.arrivals)))
		}
		if h.checkArrivals(); rulesOf(h.History) != test.want {
			t.Errorf("%s: violated %q, want %q", test.what, rulesOf(h.History), test.want)
		}
	}
	h := newQueueHistory(newHistory(io.Discard))
	h.metered.arrives(stockService)
	if h.metered.arrives(meteredService); len(h.metered.arrivals) != 1 {
		t.Errorf("%d arrivals are noted, want that of the limited service", len(h.metered.arrivals))
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
		if h.begins("w", "m", request, nil); rulesOf(h.History) != test.want {
			t.Errorf("%s after %d answers: violated %q, want %q", test.path, test.answers, rulesOf(h.History), test.want)
		}
	}
}

// TestWaitBites: a message that may run is sent to a worker in time while nothing is in trouble.
func TestWaitBites(t *testing.T) {
	for _, test := range []struct {
		what    string
		path    string
		waited  time.Duration
		delay   time.Duration
		ran     bool
		trouble bool
		want    string
	}{
		{what: "in time", path: "/pair/1", waited: longestWait - second},
		{what: "too late", path: "/pair/1", waited: longestWait + second, want: "LOST"},
		{what: "too late, in a trouble", path: "/pair/1", waited: longestWait + second, trouble: true},
		{what: "delayed", path: "/pair/1", waited: longestWait + second, delay: 2 * second},
		{what: "it ran before", path: "/pair/1", waited: longestWait + second, ran: true},
		{what: "of a service with much to do", path: "/stock/1", waited: longestWait + second},
	} {
		h := newQueueHistory(newHistory(io.Discard))
		if test.trouble {
			h.calendar.begin()
		}
		sent := time.Now().Add(-test.waited)
		m := &queueMessage{id: "m", path: test.path, sent: sent, acceptedAt: sent, delay: test.delay}
		if test.ran {
			m.runs = append(m.runs, &queueRun{message: m, began: sent})
		}
		h.sending(m)
		request := httptest.NewRequest(http.MethodPost, test.path, nil)
		if h.begins("w", "m", request, nil); rulesOf(h.History) != test.want {
			t.Errorf("%s: violated %q, want %q", test.what, rulesOf(h.History), test.want)
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
		if a.ask(m); rulesOf(h.History) != test.want {
			t.Errorf("%s: violated %q, want %q", test.what, rulesOf(h.History), test.want)
		}
	}
}

// TestStaysBite: who stays subscribed gets what is acknowledged in time, unless older messages
// still come or something is in trouble.
func TestStaysBite(t *testing.T) {
	const topic = retainedPrefix + "0"
	start := time.Now().Add(-time.Minute)
	for _, test := range []struct {
		what    string
		left    time.Duration // when the subscriber left, after the acknowledgement
		got     time.Duration // when it came; 0: never
		older   time.Duration // when an older message came; 0: none did
		trouble bool
		want    string
	}{
		{"it came", 10 * second, second, 0, false, ""},
		{"it never came", 10 * second, 0, 0, false, "LOST"},
		{"it came late", 10 * second, 5 * second, 0, false, "LOST"},
		{"older ones still came", 10 * second, 5 * second, 3 * second, false, ""},
		{"an older one came, and then nothing", 10 * second, 5 * second, second, false, "LOST"},
		{"the subscriber left", 3 * second, 0, 0, false, ""},
		{"something was in trouble", 10 * second, 0, 0, true, ""},
	} {
		h := newTopicHistory(newHistory(io.Discard))
		if test.trouble {
			h.calendar.troubles.list = []*period{{from: start, to: start.Add(second)}}
		}
		acked := start.Add(second)
		s := h.subscription("c", topic)
		s.since = start
		s.stays.list = []*period{{from: start, to: acked.Add(test.left)}}
		h.messages["m"] = &topicMessage{topic: topic, body: "m", first: acked.Add(-tenth), ackedAt: acked}
		h.messages["older"] = &topicMessage{topic: topic, body: "older", first: start.Add(tenth)}
		if test.got > 0 {
			s.seen["m"] = acked.Add(test.got)
		}
		if test.older > 0 {
			s.seen["older"] = acked.Add(test.older)
		}
		if h.checkStays(); rulesOf(h.History) != test.want {
			t.Errorf("%s: violated %q, want %q", test.what, rulesOf(h.History), test.want)
		}
	}
}

// TestRouteBites: a message for which there was never a route is not accepted, and does not run;
// one that has a route is not answered 404.
func TestRouteBites(t *testing.T) {
	for _, test := range []struct {
		what   string
		path   string
		status int
		want   string
	}{
		{"no route, unknown", noRoutePath, http.StatusNotFound, ""},
		{"no route, accepted", noRoutePath, http.StatusAccepted, "ROUTE"},
		{"a route, unknown", "/stock/1", http.StatusNotFound, "ROUTE"},
		{"a route, accepted", "/stock/1", http.StatusAccepted, ""},
	} {
		h := newQueueHistory(newHistory(io.Discard))
		front := edgeThatAnswers(t, test.status, "")
		s := &sender{history: h, fronts: func() []string { return []string{front} }, random: rand.New(rand.NewPCG(1, 1))}
		s.try(&queueMessage{id: "m", path: test.path, sent: time.Now()})
		if rulesOf(h.History) != test.want {
			t.Errorf("%s: violated %q, want %q", test.what, rulesOf(h.History), test.want)
		}
	}
	h := newQueueHistory(newHistory(io.Discard))
	h.sending(&queueMessage{id: "m", path: noRoutePath, sent: time.Now()})
	if h.begins("w", "m", httptest.NewRequest(http.MethodPost, noRoutePath, nil), nil); rulesOf(h.History) != "ROUTE" {
		t.Errorf("a run without a route violates %q", rulesOf(h.History))
	}
}
