package metrics

import (
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Values of the label cause that are no causes of the clients' protocol.
const (
	causeAccepted  = "accepted"
	causeOverQuota = "over_quota"
	other          = "other" // what is in no list
)

// verbPublish is the verb whose answers have a metric of their own.
const verbPublish = "PUBLISH"

// The causes and verbs of the clients' protocol that are counted apart.
var (
	protocolCauses = [...]string{"RETRY", "UNKNOWN", "NOAUTH", "NOSPACE", "TOOLARGE", "MALFORMED", "EXPIRED"}
	protocolVerbs  = [...]string{"ATTACH", "SUBSCRIBE", "CENSUS"}
)

// Edge counts what an edge answers its clients.
type Edge struct {
	publishes     *prometheus.CounterVec // by cause
	rejects       *prometheus.CounterVec // by verb and cause
	connections   prometheus.Gauge
	subscriptions prometheus.Gauge
}

// NewEdge makes the metrics of an edge; nil without a registry. Each series begins at 0.
func NewEdge(registry *Registry) *Edge {
	if registry == nil {
		return nil
	}
	e := &Edge{
		publishes: registry.counters("edge", "publishes_total",
			"Answers to PUBLISH, accepted or by cause of refusal.", "cause"),
		rejects: registry.counters("edge", "rejects_total",
			"Refusals of requests other than PUBLISH, by verb and cause.", "verb", "cause"),
		connections:   registry.gauge("edge", "connections", "Connections of clients."),
		subscriptions: registry.gauge("edge", "subscriptions", "Subscriptions of clients."),
	}
	causes := append(protocolCauses[:], other)
	for _, cause := range append(causes, causeAccepted, causeOverQuota) {
		e.publishes.WithLabelValues(cause)
	}
	for _, verb := range append(protocolVerbs[:], other) {
		for _, cause := range causes {
			e.rejects.WithLabelValues(verb, cause)
		}
	}
	return e
}

// Accepted counts a publish that was acknowledged.
func (e *Edge) Accepted() {
	if e != nil {
		e.publishes.WithLabelValues(causeAccepted).Inc()
	}
}

// OverQuota counts a publish that was refused because of its tenant's limit, whatever
// the client was told.
func (e *Edge) OverQuota() {
	if e != nil {
		e.publishes.WithLabelValues(causeOverQuota).Inc()
	}
}

// Rejected counts a request that was refused.
func (e *Edge) Rejected(verb, cause string) {
	if e == nil {
		return
	}
	cause = listed(protocolCauses[:], cause)
	if verb == verbPublish {
		e.publishes.WithLabelValues(cause).Inc()
		return
	}
	e.rejects.WithLabelValues(listed(protocolVerbs[:], verb), cause).Inc()
}

// Connections takes how many connections there are now.
func (e *Edge) Connections(n int) {
	if e != nil {
		e.connections.Set(float64(n))
	}
}

// Subscribed takes that there is one more subscription.
func (e *Edge) Subscribed() {
	if e != nil {
		e.subscriptions.Inc()
	}
}

// Unsubscribed takes that there is one subscription less.
func (e *Edge) Unsubscribed() {
	if e != nil {
		e.subscriptions.Dec()
	}
}

// listed gives a label's value if it is in a list.
func listed(list []string, value string) string {
	if slices.Contains(list, value) {
		return value
	}
	return other
}

// Configuration is the configuration that an edge answers by, at one moment.
type Configuration struct {
	Release      int64
	ConfirmedAge time.Duration // since it was surely the newest; below 0: it never was
}

// RegisterConfiguration adds what is read of the configuration of an edge to a registry,
// if there is one. Read is called by any goroutine.
func RegisterConfiguration(registry *Registry, read func() Configuration) {
	if registry == nil {
		return
	}
	c := &viewCollector[Configuration]{read: read}
	c.add("edge", "configuration_release", "Release of the configuration that is answered by; 0 is none.",
		func(v Configuration) float64 { return float64(v.Release) })
	c.add("edge", "configuration_confirmed_age_seconds",
		"Seconds since the configuration was surely the newest; infinite if it never was.",
		func(v Configuration) float64 { return seconds(v.ConfirmedAge) })
	registry.collectors.MustRegister(c)
}
