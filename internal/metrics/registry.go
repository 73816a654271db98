// Package metrics counts what a process does, as text that Prometheus reads.
//
// Each process has a registry of its own, and none where metrics are off. Then the
// counters are nil as well; all their methods may be called on nil, and do nothing.
//
// The values of labels come from lists in this package, never from what clients,
// operators or other processes send: their number is bounded, and no key can be among
// them.
package metrics

import (
	"net/http"
	"runtime"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"oxbowdeck/internal/invariant"
	"oxbowdeck/internal/settings"
)

// Path is where a process serves its metrics.
const Path = "/v1/metrics"

// namespace begins the name of each metric.
const namespace = "oxbowdeck"

// Bounds of serving.
const (
	maxScrapes    = 4 // at a time
	scrapeTimeout = 3 * time.Second
)

// Registry holds the metrics of one process.
type Registry struct {
	collectors *prometheus.Registry
}

// New makes the registry of a process; nil where its settings leave metrics off.
func New(set *settings.Settings) *Registry {
	if !set.Metrics() {
		return nil
	}
	r := &Registry{collectors: prometheus.NewRegistry()}
	r.registerProcess()
	r.registerRequests()
	return r
}

// registerProcess adds what every kind of process has.
func (r *Registry) registerProcess() {
	for _, name := range invariant.Names() {
		r.collectors.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace:   namespace,
			Subsystem:   "invariant",
			Name:        "violations_total",
			Help:        "Checks of an invariant that did not hold.",
			ConstLabels: prometheus.Labels{"invariant": string(name)},
		}, func() float64 { return float64(invariant.Count(name)) }))
	}
	r.collectors.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: namespace,
		Subsystem: "process",
		Name:      "goroutines",
		Help:      "Goroutines of the process.",
	}, func() float64 { return float64(runtime.NumGoroutine()) }))
}

// Handler answers with the metrics as text; nil where they are off.
func (r *Registry) Handler() http.Handler {
	if r == nil {
		return nil
	}
	return promhttp.HandlerFor(r.collectors, promhttp.HandlerOpts{
		MaxRequestsInFlight: maxScrapes,
		Timeout:             scrapeTimeout,
		DisableCompression:  true,
	})
}

// counter makes a counter.
func (r *Registry) counter(subsystem, name, help string) prometheus.Counter {
	c := prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Subsystem: subsystem, Name: name, Help: help})
	r.collectors.MustRegister(c)
	return c
}

// counters makes a counter for each value of labels.
func (r *Registry) counters(subsystem, name, help string, labels ...string) *prometheus.CounterVec {
	opts := prometheus.CounterOpts{Namespace: namespace, Subsystem: subsystem, Name: name, Help: help}
	c := prometheus.NewCounterVec(opts, labels)
	r.collectors.MustRegister(c)
	return c
}

// gauge makes a gauge.
func (r *Registry) gauge(subsystem, name, help string) prometheus.Gauge {
	g := prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Subsystem: subsystem, Name: name, Help: help})
	r.collectors.MustRegister(g)
	return g
}
