package edge

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"oxbowdeck/internal/edgetest"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/metrics"
	"oxbowdeck/internal/paxos"
	"oxbowdeck/internal/settings"
	"oxbowdeck/internal/shardapi"
	"oxbowdeck/internal/topic"
)

// served gives the metrics of a registry as text.
func served(registry *metrics.Registry) string {
	w := httptest.NewRecorder()
	registry.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, metrics.Path, nil))
	return w.Body.String()
}

// TestMetricsOfClients: each answer is counted once under what it was, connections and
// subscriptions go up and down, and no key that a client gave is in the text.
func TestMetricsOfClients(t *testing.T) {
	d := keyedEdge(t, edgetest.LongQuiet)
	d.bounds.maxCalls, d.bounds.callsPerClient = 10, 10
	registry := metrics.New(&settings.Settings{Extra: map[string]int{"metrics": 1}})
	d.metrics = metrics.NewEdge(registry)

	stranger := &conn{daemon: d, id: 99, wake: make(chan struct{}, 1)}
	d.conns[stranger.id] = stranger
	d.handle(stranger, request{verb: verbAttach, arg: "eve", key: "wrongkey"})
	d.handle(stranger, request{verb: "k1", cause: causeMalformed})
	c := join(t, d, "ann", "k1")
	d.metrics.Connections(len(d.conns))
	d.handle(c, request{verb: verbSubscribe, topic: "a.x"})
	d.handle(c, request{verb: verbPublish, topic: "z.x", seq: 1})
	for seq := ids.Seq(2); seq <= 3; seq++ {
		d.handle(c, request{verb: verbPublish, topic: "a.x", seq: seq, body: []byte("body")})
	}
	d.outcome(shardapi.Outcome{ID: publishID(c, 2), Verdict: topic.Fresh})
	d.overQuota(shardapi.QuotaDenied{IDs: []paxos.ID{publishID(c, 3)}})

	text := served(registry)
	for _, line := range []string{
		`oxbowdeck_edge_publishes_total{cause="accepted"} 1`,
		`oxbowdeck_edge_publishes_total{cause="over_quota"} 1`,
		`oxbowdeck_edge_publishes_total{cause="NOSPACE"} 1`,
		`oxbowdeck_edge_publishes_total{cause="RETRY"} 0`,
		`oxbowdeck_edge_publishes_total{cause="UNKNOWN"} 0`,
		`oxbowdeck_edge_rejects_total{cause="NOAUTH",verb="ATTACH"} 1`,
		`oxbowdeck_edge_rejects_total{cause="MALFORMED",verb="other"} 1`,
		`oxbowdeck_edge_connections 2`,
		`oxbowdeck_edge_subscriptions 1`,
	} {
		if !strings.Contains(text, line+"\n") {
			t.Errorf("no line %s in:\n%s", line, text)
		}
	}
	for _, key := range []string{"k1", "k2", "wrongkey"} {
		if strings.Contains(text, key) {
			t.Errorf("key %s is in:\n%s", key, text)
		}
	}
	d.forget(c)
	text = served(registry)
	for _, line := range []string{`oxbowdeck_edge_connections 1`, `oxbowdeck_edge_subscriptions 0`} {
		if !strings.Contains(text, line+"\n") {
			t.Errorf("after its end no line %s in:\n%s", line, text)
		}
	}
}
