package metrics

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"oxbowdeck/internal/settings"
)

// process is the metrics of all kinds of process, in one registry.
type process struct {
	*Registry
	edge    *Edge
	control *Control
}

// settingsWith are settings with metrics on (1) or off (0).
func settingsWith(on int) *settings.Settings {
	return &settings.Settings{Extra: map[string]int{"metrics": on}}
}

// newProcess makes them with metrics on (1) or off (0).
func newProcess(on int) process {
	registry := New(settingsWith(on))
	configuration := Configuration{Release: 7, ConfirmedAge: 1500 * time.Millisecond}
	RegisterConfiguration(registry, func() Configuration { return configuration })
	view := ControlView{Release: 8, ContactAge: -1, Epoch: 3, Leads: true, Voters: 3, Processes: 5}
	return process{registry, NewEdge(registry), NewControl(registry, func() ControlView { return view })}
}

// countAll calls each counter once.
func (p process) countAll(verb, cause string) {
	p.edge.Accepted()
	p.edge.OverQuota()
	p.edge.Rejected(verb, cause)
	p.edge.Connections(4)
	p.edge.Subscribed()
	p.edge.Unsubscribed()
	p.control.UpdateSent()
	p.control.Acknowledged()
	p.control.Refused(RefusedStale)
}

// text gives what is served.
func text(t *testing.T, handler http.Handler) string {
	t.Helper()
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, Path, nil))
	body, err := io.ReadAll(w.Result().Body)
	if err != nil || w.Code != http.StatusOK {
		t.Fatalf("%d, %v: %s", w.Code, err, body)
	}
	return string(body)
}

// parse reads what is served as Prometheus does.
func parse(t *testing.T, text string) map[string]*dto.MetricFamily {
	t.Helper()
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(strings.NewReader(text))
	if err != nil {
		t.Fatalf("%v in:\n%s", err, text)
	}
	return families
}

// TestText: what is served is the text that Prometheus reads, under names that follow its
// conventions, with the values that were counted.
func TestText(t *testing.T) {
	p := newProcess(1)
	p.countAll("SUBSCRIBE", "EXPIRED")
	p.edge.Rejected("PUBLISH", "TOOLARGE")
	problems, err := testutil.GatherAndLint(p.collectors)
	if err != nil || len(problems) > 0 {
		t.Errorf("conventions: %v, %v", problems, err)
	}
	served := text(t, p.control.Handler())
	parse(t, served)
	for _, line := range []string{
		`oxbowdeck_edge_publishes_total{cause="accepted"} 1`,
		`oxbowdeck_edge_publishes_total{cause="over_quota"} 1`,
		`oxbowdeck_edge_publishes_total{cause="TOOLARGE"} 1`,
		`oxbowdeck_edge_publishes_total{cause="RETRY"} 0`,
		`oxbowdeck_edge_rejects_total{cause="EXPIRED",verb="SUBSCRIBE"} 1`,
		`oxbowdeck_edge_connections 4`,
		`oxbowdeck_edge_subscriptions 0`,
		`oxbowdeck_edge_configuration_release 7`,
		`oxbowdeck_edge_configuration_confirmed_age_seconds 1.5`,
		`oxbowdeck_control_configuration_release 8`,
		`oxbowdeck_control_contact_age_seconds +Inf`,
		`oxbowdeck_control_epoch 3`,
		`oxbowdeck_control_leads 1`,
		`oxbowdeck_control_voters 3`,
		`oxbowdeck_control_processes 5`,
		`oxbowdeck_control_updates_sent_total 1`,
		`oxbowdeck_control_configurations_acknowledged_total 1`,
		`oxbowdeck_control_configurations_refused_total{cause="stale"} 1`,
	} {
		if !strings.Contains(served, "\n"+line+"\n") {
			t.Errorf("no line %s in:\n%s", line, served)
		}
	}
}

// series counts the series of all metrics.
func series(families map[string]*dto.MetricFamily) (n int) {
	for _, family := range families {
		n += len(family.Metric)
	}
	return n
}

// TestLabelsAreBounded: whatever is counted, no series is added to those there are from the
// beginning, and what a client sent is in none.
func TestLabelsAreBounded(t *testing.T) {
	p := newProcess(1)
	atFirst := series(parse(t, text(t, p.Handler())))
	for i := range 1000 {
		word := "secret" + strings.Repeat("k", i%90)
		p.countAll(word, word)
		p.edge.Rejected("PUBLISH", word)
		p.edge.Rejected(word, "NOAUTH")
		p.control.Refused(RefusalCause(word))
	}
	served := text(t, p.Handler())
	if got := series(parse(t, served)); got != atFirst {
		t.Errorf("%d series at first, %d in the end", atFirst, got)
	}
	edge, control := New(settingsWith(1)), New(settingsWith(1))
	NewEdge(edge)
	RegisterConfiguration(edge, func() Configuration { return Configuration{} })
	NewControl(control, func() ControlView { return ControlView{} })
	for kind, registry := range map[string]*Registry{"edge": edge, "control process": control} {
		if n := series(parse(t, text(t, registry.Handler()))); n > 80 {
			t.Errorf("%d series of a %s", n, kind)
		}
	}
	if strings.Contains(served, "secret") {
		t.Errorf("a client's word is served:\n%s", served)
	}
}

// TestOff: where metrics are off there is no registry, nothing to serve, and a call of a
// counter allocates nothing.
func TestOff(t *testing.T) {
	p := newProcess(0)
	if p.Registry != nil || p.edge != nil || p.control != nil {
		t.Errorf("there are metrics: %+v", p)
	}
	if p.Handler() != nil || p.control.Handler() != nil {
		t.Error("there is something to serve")
	}
	if n := testing.AllocsPerRun(100, func() { p.countAll("PUBLISH", "RETRY") }); n != 0 {
		t.Errorf("%v allocations", n)
	}
}

// BenchmarkCounters measures one call of each counter.
func BenchmarkCounters(b *testing.B) {
	for name, on := range map[string]int{"off": 0, "on": 1} {
		b.Run(name, func(b *testing.B) {
			p := newProcess(on)
			b.ReportAllocs()
			for range b.N {
				p.countAll("PUBLISH", "RETRY")
			}
		})
	}
}
