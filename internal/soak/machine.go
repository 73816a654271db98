package soak

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"

	"oxbowdeck/internal/childprocess"
	"oxbowdeck/internal/errs"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/localcluster"
	"oxbowdeck/internal/settings"
)

// machine is what stands at a place: one process after another, with its disk.
type machine struct {
	class Class
	zone  int

	mu      sync.Mutex
	process localcluster.Process
	node    ids.Node
	child   *childprocess.Child // nil: none runs
	stops   int                 // who wants it down; it is started when that is 0
	gone    bool                // removed for good, and nothing in its place
}

// take puts a process on a machine, and writes its settings.
func (m *machine) take(x localcluster.Process) error {
	x.Text += "test_only.disk_fault=" + faultPath(x) + "\n"
	if err := os.WriteFile(x.Settings, []byte(x.Text), 0o644); err != nil {
		return errs.Wrap("write settings", x.Name, err)
	}
	set, err := settings.Parse([]byte(x.Text))
	if err != nil {
		return errs.Wrap("settings", x.Name, err)
	}
	m.process, m.node = x, set.Inner(innerPort[m.class])
	fmt.Sscanf(string(set.Zone), "zone-%d", &m.zone)
	m.zone--
	return nil
}

// faultPath is the file that tells a process which fault its disk has.
func faultPath(x localcluster.Process) string {
	return strings.TrimSuffix(x.Settings, ".conf") + ".fault"
}

// signal signals a machine's process, if one runs.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.child != nil && !m.child.HasEnded() {
		m.child.Signal(s)
	}
}

// isGone tells whether a machine was removed for good.
func (m *machine) isGone() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.gone
}

// name is the process's name now.
func (m *machine) name() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.process.Name
}

// address is the process's internal address now.
func (m *machine) address() ids.Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node
}

// writeSeeds writes a machine's settings with other seeds; its lock is held.
func (m *machine) writeSeeds(seeds []string) {
	lines := strings.Split(m.process.Text, "\n")
	for i, line := range lines {
		if strings.HasPrefix(line, "seed_nodes=") {
			lines[i] = "seed_nodes=" + strings.Join(seeds, ",")
		}
	}
	m.process.Text = strings.Join(lines, "\n")
	os.WriteFile(m.process.Settings, []byte(m.process.Text), 0o644)
}
