package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// What senders of messages do.
const (
	queueHost     = "in.example"
	queueGuard    = 800 * time.Millisecond
	queueAttempts = 200 // attempts that may fail: none is to be spent
	queueHold     = 600 // seconds
	queueSenders  = 10
	// plannedSenders is the same where nothing is in trouble.
	plannedSenders = 20
	queuePause     = 100 * time.Millisecond // mean
	queueTries     = 4
	queueTimeout   = 3 * time.Second
	queueKeys      = 5 // sequences
	queueDelay     = 1500 * time.Millisecond
	queueLargest   = 12 << 10
	pairShare      = 10 // one message in so many is for the service with two workers
)

// queueConfiguration is a valid configuration of a queue.
func queueConfiguration(release, guard int64, mark string, tenanted bool) string {
	accounts := ""
	if tenanted {
		accounts = tenantAccounts()
	}
	route := func(label, path, service string, level int, sequence bool) string {
		attempts := queueAttempts
		if path == failingPath {
			attempts = failingAttempts
		}
		return fmt.Sprintf(`{"label":"%s","host_id":%q,"path_prefix":%q,"route_class":"deferred","guard_timer_ms":%d,`+
			`"target_ms":150,"prio_level":%d,"service_ref":%q,"max_attempts":%d,"in_sequence":%v,"hold_s":%d}`,
			label, queueHost, path, queueGuard.Milliseconds(), level, service, attempts, sequence, queueHold)
	}
	routes := []string{
		route("stock", "/stock/", stockService, 2, false),
		route("lock", "/lock/", lockService, 1, true),
		route("metered", "/metered/", meteredService, 2, false),
		route("pair", pairPath, pairService, 2, false),
		route("failing", failingPath, stockService, 2, false),
		route("refused", refusedPath, stockService, 2, false),
		route("abuse", "/abuse/", stockService, 2, false),
		route(mark, fmt.Sprintf("/extra%d/", release), stockService, 2, false), // the last: operators read its label
	}
	return fmt.Sprintf(`{"config_release":%d,"routing_entries":[%s],
"service_set":[{"label":"stock","conn_limit":40,"rate_per_s":0,"fixed_endpoint":null},
{"label":"metered","conn_limit":40,"rate_per_s":%d,"fixed_endpoint":null},
{"label":"pair","conn_limit":40,"rate_per_s":0,"fixed_endpoint":null},
{"label":"lock","conn_limit":40,"dedup_capable":true,"fixed_endpoint":null}],
"limits":{"header_max_bytes":16384,"body_max_bytes":65536,"header_timer_ms":3000,"idle_timer_ms":%d}%s}`,
		release, strings.Join(routes, ","), meteredRate, 15000+guard, accounts)
}

// queueMessage is one try of a sender: each has an id of its own.
type queueMessage struct {
	id, path, key, body string
	tenant              string
	sent                time.Time
	delay               time.Duration
	acceptedAt          time.Time // zero: not, as far as is known
	name                string    // that it is asked for by
	promised            bool      // it was told that it never runs
	runs                []*queueRun
	doneAt              time.Time // a worker answered with success
	hopelessAt          time.Time // it ended since it can't be done
	failed, refused     int       // answers that a run failed, or that it can't be done
	seals               []string
}

// QueueHistory is what senders and workers of a queue saw.
type QueueHistory struct {
	*History

	mu       sync.Mutex
	messages map[string]*queueMessage   // by id
	keys     map[string][]*queueMessage // accepted, by sequence
	took     []time.Duration            // from the sending of a message to its 202
	accepts  []*queueMessage            // in the order they were accepted

	metered arrivalMeter
	asked   answerTimes // of questions after messages
}

func newQueueHistory(h *History) *QueueHistory {
	return &QueueHistory{
		History:  h,
		messages: map[string]*queueMessage{},
		keys:     map[string][]*queueMessage{},
	}
}

func (h *QueueHistory) sending(m *queueMessage) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.messages[m.id] = m
	h.count("messages sent")
}

func (h *QueueHistory) accepted(m *queueMessage, name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	m.acceptedAt, m.name = time.Now(), name
	h.took = append(h.took, m.acceptedAt.Sub(m.sent))
	h.accepts = append(h.accepts, m)
	if m.name == "" {
		m.name = m.id
	}
	if m.key != "" {
		key := m.tenant + "/" + m.key
		h.keys[key] = append(h.keys[key], m)
	}
	h.count("messages accepted")
}

// promised takes a promise that a message never runs.
func (h *QueueHistory) promise(m *queueMessage, status int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	m.promised = true
	if len(m.runs) > 0 {
		h.violate("REFUSED", "message %s ran and was then answered %d", m.id, status)
	}
}

// noRoutePath is under no route of any configuration.
const noRoutePath = "/no-route/1"

// earlyMost is how much earlier than its delay says a message may run.
const earlyMost = 200 * time.Millisecond

// begins judges a run that begins at a worker.
func (h *QueueHistory) begins(worker, id string, r *http.Request, body []byte) *queueRun {
	h.mu.Lock()
	defer h.mu.Unlock()
	m := h.messages[id]
	if m == nil {
		if !strings.HasPrefix(id, "abuse-") {
			h.violate("MIXED", "a worker gets %q, which nobody sent", id)
		}
		return &queueRun{began: time.Now()}
	}
	run := &queueRun{message: m, worker: worker, began: time.Now()}
	h.count("runs")
	h.checkWait(m, run.began)
	if string(body) != m.body || r.RequestURI != m.path || r.Header.Get("X-Sequence-Key") != m.key {
		h.violate("MIXED", "a worker gets %s with another body, path or key", id)
	}
	if m.tenant != "" && r.Header.Get("X-Tenant") != m.tenant {
		h.violate("MIXED", "a worker gets %s as of tenant %q", id, r.Header.Get("X-Tenant"))
	}
	if m.path == noRoutePath {
		h.violate("ROUTE", "message %s runs, for which there was never a route", id)
	}
	if m.promised {
		h.violate("REFUSED", "message %s runs, which was told that it never does", id)
	}
	if run.began.Before(m.sent.Add(m.delay - earlyMost)) {
		h.violate("ORDER", "message %s runs %v after it was sent, its delay is %v", id, run.began.Sub(m.sent), m.delay)
	}
	if !m.doneAt.IsZero() {
		h.count("runs after a success") // checkTwice judges them
	}
	h.checkSequence(m)
	h.checkBudget(m)
	m.runs = append(m.runs, run)
	return run
}

// checkSequence: whatever of the sequence was accepted before a message was sent has ended.
func (h *QueueHistory) checkSequence(m *queueMessage) {
	if m.key == "" {
		return
	}
	for _, earlier := range h.keys[m.tenant+"/"+m.key] {
		if earlier != m && earlier.acceptedAt.Before(m.sent) && earlier.doneAt.IsZero() {
			h.violate("ORDER", "message %s of sequence %s begins, and %s before it has not ended", m.id, m.key, earlier.id)
			return
		}
	}
}

func (h *QueueHistory) succeeded(run *queueRun, seal string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if m := run.message; m != nil {
		if m.doneAt.IsZero() {
			m.doneAt = time.Now()
		}
		m.seals = append(m.seals, seal)
	}
}

func (h *QueueHistory) failed(silent bool) {
	if silent {
		h.count("runs without an answer")
		return
	}
	h.count("runs that failed")
}

// How the end of a queue's messages is awaited.
const (
	completeTimeout = 60 * time.Second
	statePoll       = 150 * time.Millisecond
	stateTimeout    = 2 * time.Second
)

// checkEnd waits for every accepted message to end, and judges what is told of each.
func (h *QueueHistory) checkEnd(fronts func() []string, keyOf func(label string) string) {
	h.mu.Lock()
	var open []*queueMessage
	accepted := map[string][]span{}
	for _, m := range h.messages {
		if !m.acceptedAt.IsZero() {
			open = append(open, m)
			accepted[m.tenant] = append(accepted[m.tenant], span{m.sent, m.acceptedAt})
		}
	}
	h.noteTimes("accepted", h.took)
	h.mu.Unlock()
	for _, t := range tenants {
		h.checkWindows(t, accepted[t.label])
	}
	last := map[string]string{}
	var mu sync.Mutex
	for end := time.Now().Add(completeTimeout); len(open) > 0 && time.Now().Before(end); time.Sleep(statePoll) {
		var still []*queueMessage
		askers := make(chan bool, 8)
		var all sync.WaitGroup
		for _, m := range open {
			askers <- true
			all.Go(func() {
				defer func() { <-askers }()
				state := h.state(m, fronts(), keyOf(m.tenant))
				mu.Lock()
				defer mu.Unlock()
				if last[m.id] = state; state != m.wantedState() {
					still = append(still, m)
				}
			})
		}
		all.Wait()
		open = still
	}
	h.asked.tell(h.History, "questions after messages")
	h.checkTwice()
	h.checkArrivals()
	slices.SortFunc(open, func(a, b *queueMessage) int { return a.sent.Compare(b.sent) })
	for i, m := range open {
		if i < 10 {
			h.violate("LOST", "message %s, accepted %v before the end, is %s; %d runs, done: %v; %d such",
				m.id, time.Since(m.acceptedAt).Round(time.Millisecond), last[m.id], len(m.runs), !m.doneAt.IsZero(), len(open))
		}
	}
}

// reportTime is how long after its end a message is told of for sure: report_s of the settings, less
// what its decision may have come later than the worker's answer.
const reportTime = 100 * time.Second

// forgotten tells whether a message ended so long ago that nothing needs to be known of it.
func (h *QueueHistory) forgotten(m *queueMessage) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	at := m.doneAt
	if at.IsZero() {
		at = m.hopelessAt
	}
	return !at.IsZero() && time.Since(at) > reportTime
}

// state asks how a message stands, and judges the answer.
func (h *QueueHistory) state(m *queueMessage, fronts []string, key string) string {
	header := map[string]string{"Host": queueHost}
	if key != "" {
		header["X-Api-Key"] = key
	}
	front := fronts[rand.IntN(len(fronts))]
	began := time.Now()
	answer := callFor(stateTimeout, http.MethodGet, "http://"+front+"/v1/message/"+m.name, header, nil)
	h.asked.add(answer.status, time.Since(began))
	if answer.status == http.StatusNotFound && h.forgotten(m) {
		return m.wantedState()
	}
	if answer.status != http.StatusOK {
		return fmt.Sprint(answer.status)
	}
	var x struct {
		State string `json:"op_state"`
		Seal  string `json:"timestamp"`
	}
	if json.Unmarshal(answer.body, &x) != nil {
		return "unreadable"
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case x.State == "completed" && !slices.Contains(m.seals, x.Seal):
		h.violate("MIXED", "message %s is completed with seal %q, which no run of it gave", m.id, x.Seal)
	case x.State == "undeliverable" && !m.ended():
		h.violate("LOST", "message %s is undeliverable, which has not ended", m.id)
	}
	return x.State
}
