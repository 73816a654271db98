package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"oxbowdeck/internal/requestlog"
)

// stepBuckets are the bounds of the steps' histograms, in seconds.
var stepBuckets = []float64{0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5}

const millisPerSecond = 1000

// registerRequests adds how long the steps of requests take that go through the process. It
// takes over from an earlier registry of the same process.
func (r *Registry) registerRequests() {
	took := prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace,
		Subsystem: "request",
		Name:      "step_seconds",
		Help:      "How long the steps of requests took that went through the process.",
		Buckets:   stepBuckets,
	}, []string{"step"})
	r.collectors.MustRegister(took)
	var byStep [requestlog.StepCount]prometheus.Observer
	for i, name := range requestlog.StepNames() {
		byStep[i] = took.WithLabelValues(name)
	}
	requestlog.Observe(func(record *requestlog.Record) {
		for step, histogram := range byStep {
			if ms, taken := record.Steps.Get(requestlog.Step(step)); taken {
				histogram.Observe(float64(ms) / millisPerSecond)
			}
		}
	})
}
