package metrics

import (
	"math"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// viewGauge is a metric that is computed from a view of the process.
type viewGauge[V any] struct {
	description *prometheus.Desc
	value       func(V) float64
}

// viewCollector reads one view for each scrape, so that the values of a scrape belong
// together.
type viewCollector[V any] struct {
	read   func() V
	gauges []viewGauge[V]
}

// add adds a gauge.
func (c *viewCollector[V]) add(subsystem, name, help string, value func(V) float64) {
	description := prometheus.NewDesc(prometheus.BuildFQName(namespace, subsystem, name), help, nil, nil)
	c.gauges = append(c.gauges, viewGauge[V]{description, value})
}

// Describe tells which metrics there are. With Collect it makes a prometheus.Collector.
func (c *viewCollector[V]) Describe(descriptions chan<- *prometheus.Desc) {
	for _, g := range c.gauges {
		descriptions <- g.description
	}
}

// Collect gives the metrics as they are now.
func (c *viewCollector[V]) Collect(out chan<- prometheus.Metric) {
	view := c.read()
	for _, g := range c.gauges {
		out <- prometheus.MustNewConstMetric(g.description, prometheus.GaugeValue, g.value(view))
	}
}

// seconds gives an age in seconds; one below 0 is that of what never was, and infinite.
func seconds(age time.Duration) float64 {
	if age < 0 {
		return math.Inf(1)
	}
	return age.Seconds()
}

// zeroOrOne gives a condition as a number.
func zeroOrOne(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}
