package metrics

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// RefusalCause is why a control process did not take a configuration.
type RefusalCause string

// The causes there are.
const (
	RefusedInvalid     RefusalCause = "invalid"     // the configuration, or the call, is not as it must be
	RefusedStale       RefusalCause = "stale"       // it builds on another version than the one in place
	RefusedNotAbove    RefusalCause = "not_above"   // its release is not above the one in place
	RefusedUnavailable RefusalCause = "unavailable" // the group did not answer in time: it may yet be taken
)

var refusalCauses = [...]RefusalCause{
	RefusedInvalid, RefusedStale, RefusedNotAbove, RefusedUnavailable,
}

// ControlView is what a control process sees of its group at one moment.
type ControlView struct {
	Release    int64         // of the configuration in place
	ContactAge time.Duration // of the contact with a majority; below 0: there was none
	Epoch      uint64        // of the group's leader
	Leads      bool          // this process leads
	Voters     int           // of the control group
	Processes  int           // control processes that live, with a vote or without
}

// Control counts what a control process does.
type Control struct {
	registry     *Registry
	updates      prometheus.Counter
	acknowledged prometheus.Counter
	refused      map[RefusalCause]prometheus.Counter
}

// NewControl makes the metrics of a control process; nil without a registry. Read is
// called by any goroutine, once for each scrape.
func NewControl(registry *Registry, read func() ControlView) *Control {
	if registry == nil {
		return nil
	}
	c := &Control{
		registry: registry,
		updates: registry.counter("control", "updates_sent_total",
			"Control updates sent to stores and edges, bootstraps among them."),
		acknowledged: registry.counter("control", "configurations_acknowledged_total",
			"Configurations that were acknowledged here (200)."),
		refused: map[RefusalCause]prometheus.Counter{},
	}
	refused := registry.counters("control", "configurations_refused_total",
		"Configurations that were not acknowledged here, by cause.", "cause")
	for _, cause := range refusalCauses {
		c.refused[cause] = refused.WithLabelValues(string(cause))
	}
	registerControlView(registry, read)
	return c
}

// registerControlView adds what is read of the group.
func registerControlView(registry *Registry, read func() ControlView) {
	c := &viewCollector[ControlView]{read: read}
	c.add("control", "configuration_release", "Release of the configuration in place; 0 is none.",
		func(v ControlView) float64 { return float64(v.Release) })
	c.add("control", "contact_age_seconds",
		"Seconds since this process was in touch with a majority; infinite if it never was.",
		func(v ControlView) float64 { return seconds(v.ContactAge) })
	c.add("control", "epoch", "Epoch of the control group's leader.",
		func(v ControlView) float64 { return float64(v.Epoch) })
	c.add("control", "leads", "1 if this process leads the control group.",
		func(v ControlView) float64 { return zeroOrOne(v.Leads) })
	c.add("control", "voters", "Members of the control group that have a vote.",
		func(v ControlView) float64 { return float64(v.Voters) })
	c.add("control", "processes", "Control processes that live, with a vote or without.",
		func(v ControlView) float64 { return float64(v.Processes) })
	registry.collectors.MustRegister(c)
}

// Handler answers with the metrics as text; nil where they are off.
func (c *Control) Handler() http.Handler {
	if c == nil {
		return nil
	}
	return c.registry.Handler()
}

// UpdateSent counts an update that was sent to a process.
func (c *Control) UpdateSent() {
	if c != nil {
		c.updates.Inc()
	}
}

// Acknowledged counts a configuration that was acknowledged.
func (c *Control) Acknowledged() {
	if c != nil {
		c.acknowledged.Inc()
	}
}

// Refused counts a configuration that was not.
func (c *Control) Refused(cause RefusalCause) {
	if c == nil {
		return
	}
	if counter := c.refused[cause]; counter != nil {
		counter.Inc()
	}
}
