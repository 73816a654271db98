package soak

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// usage is what a process holds.
type usage struct {
	descriptors int
	residentKB  int
	goroutines  int // -1: not told
}

var residentLine = regexp.MustCompile(`(?m)^VmRSS:\s+(\d+) kB`)

// usageOf reads what a child holds.
func usageOf(pid int) (u usage) {
	u.goroutines = -1
	if entries, err := os.ReadDir(filepath.Join("/proc", strconv.Itoa(pid), "fd")); err == nil {
		u.descriptors = len(entries)
	}
	status, _ := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "status"))
	if match := residentLine.FindSubmatch(status); match != nil {
		u.residentKB, _ = strconv.Atoi(string(match[1]))
	}
	return u
}

// How much more than at first a process may hold once all is calm again.
const (
	moreDescriptors = 60
	moreGoroutines  = 150
	mostResidentKB  = 400 << 10
)

// metricValue reads one value off a page of metrics.
func metricValue(page, name string) (float64, bool) {
	for _, line := range strings.Split(page, "\n") {
		if rest, found := strings.CutPrefix(line, name+" "); found {
			value, err := strconv.ParseFloat(rest, 64)
			return value, err == nil
		}
	}
	return 0, false
}

// metricsOf reads the metrics of a machine's process; empty where it has no address for them.
func metricsOf(m *machine) string {
	m.mu.Lock()
	address := m.process.Ready
	if m.class == Core {
		address = m.process.Control
	}
	m.mu.Unlock()
	if address == "" {
		return ""
	}
	return string(call(http.MethodGet, "http://"+address+"/v1/metrics", nil, nil).body)
}

// usages reads what every process holds.
func (d *deployment) usages() map[string]usage {
	all := map[string]usage{}
	for _, m := range d.all() {
		m.mu.Lock()
		child, name := m.child, m.process.Name
		m.mu.Unlock()
		if child == nil || child.HasEnded() {
			continue
		}
		u := usageOf(child.PID())
		if n, found := metricValue(metricsOf(m), "oxbowdeck_process_goroutines"); found {
			u.goroutines = int(n)
		}
		all[name] = u
	}
	return all
}

// checkUsages compares what processes hold after the storms with what they held before. It
// looks again for a while: connections that are idle are closed after some seconds.
func (d *deployment) checkUsages(base map[string]usage) {
	var excess []string
	for range usageLooks {
		excess = excess[:0]
		now := d.usages()
		for name, u := range now {
			before, found := base[name]
			if !found {
				before = typical(base)
			}
			if u.descriptors > before.descriptors+moreDescriptors ||
				u.goroutines > before.goroutines+moreGoroutines || u.residentKB > mostResidentKB {
				excess = append(excess, fmt.Sprintf("%s holds %+v, at first %+v", name, u, before))
			}
		}
		if len(excess) == 0 {
			return
		}
		time.Sleep(usagePause)
	}
	for _, what := range excess {
		d.history.violate("LEAK", "%s", what)
	}
}

const (
	usageLooks = 6
	usagePause = 3 * time.Second
)

// typical is what any process held at first at the most: for those that came later.
func typical(base map[string]usage) (most usage) {
	for _, u := range base {
		most.descriptors = max(most.descriptors, u.descriptors)
		most.goroutines = max(most.goroutines, u.goroutines)
	}
	return most
}

// checkInvariants reads the counters of violated invariants where there is an address for them;
// stores have none, and their logs are read instead.
func (d *deployment) checkInvariants() {
	for _, m := range d.all() {
		for _, line := range strings.Split(metricsOf(m), "\n") {
			if strings.HasPrefix(line, "oxbowdeck_invariant_violations_total{") && !strings.HasSuffix(line, "} 0") {
				d.history.violate("INVARIANT", "%s: %s", m.name(), line)
			}
		}
	}
}
