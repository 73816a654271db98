package soak

import (
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"oxbowdeck/internal/childprocess"
	"oxbowdeck/internal/localcluster"
	"oxbowdeck/internal/settings"
)

// Addresses beside those of the processes: 127.0.NET.x.
const (
	relayHost  = 250
	workerHost = 240
)

// relayPort is added to a deployment's first port.
const relayPort = 9

// deployment is the processes of a run.
type deployment struct {
	config   Config
	plan     localcluster.Plan
	relay    *Relay
	output   *childprocess.Output
	history  *History
	machines map[Class][]*machine

	mu          sync.Mutex
	generations map[string]int      // of later machines, by class and zone
	controls    map[*machine]string // where the control processes are called now
}

// newDeployment writes the settings of a run; nothing is started.
func newDeployment(config Config, output io.Writer, history *History) (*deployment, error) {
	plan := localcluster.Plan{
		Dir:   config.Dir,
		Zones: config.Shape.Zones,
		Edges: config.Shape.Edges,
		Base:  config.Port,
		Net:   config.Net,
		Queue: config.Shape.Queue,
	}
	d := &deployment{
		config:      config,
		output:      childprocess.NewOutput(output),
		history:     history,
		machines:    map[Class][]*machine{},
		generations: map[string]int{},
		controls:    map[*machine]string{},
	}
	var err error
	if d.relay, err = NewRelay(fmt.Sprintf("127.0.%d.%d:%d", plan.Net, relayHost, plan.Base+relayPort)); err != nil {
		return nil, err
	}
	plan.Extra = d.extraSettings()
	d.plan = plan
	processes, err := localcluster.Write(plan)
	if err != nil {
		return nil, err
	}
	for _, x := range processes {
		if err := d.place(x); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// smallTableSettings have shards remember the numbers of few clients, for a few seconds, and bring
// what a client missed in many pieces.
var smallTableSettings = []string{
	"tuning.piece_kb=1",
	"tuning.marks=4",
	"timing_bounds.resend_s=1",
	"timing_bounds.ping_s=1",
}

// extraSettings are the settings that a soak adds to all processes.
func (d *deployment) extraSettings() []string {
	lines := []string{
		"tuning.metrics=1",
		"tuning.settings_look_s=1",
		"tuning.shards=2",
		"tuning.snapshot_kb=64",
		"tuning.log_tail_kb=64",
		"beat_ms=300",
		"test_only.relay=" + d.relay.Address,
	}
	if d.config.Shape.SmallTables {
		lines = append(lines, smallTableSettings...)
	}
	if d.config.Shape.Tenants {
		lines = append(lines,
			"contracts=tenants,quota",
			"timing_bounds.revoke_ms=5000",
			fmt.Sprintf("timing_bounds.quota_window_s=%d", quotaWindow/time.Second),
			fmt.Sprintf("timing_bounds.quota_excess=%v", quotaExcess),
			fmt.Sprintf("timing_bounds.quota_slack=%d", quotaSlack),
		)
	}
	return lines
}

func classOf(role string) Class {
	switch role {
	case "serve":
		return Core
	case "store":
		return Store
	}
	return Edge
}

// innerPort is the place of a class's port among the internal ones.
var innerPort = map[Class]int{
	Core: settings.PortControl, Store: settings.PortStore, Edge: settings.PortEdge,
}

// place adds a process to the machines of its class.
func (d *deployment) place(x localcluster.Process) error {
	class := classOf(x.Role)
	m := &machine{class: class}
	if err := m.take(x); err != nil {
		return err
	}
	d.machines[class] = append(d.machines[class], m)
	d.noteControl(m)
	return nil
}

// noteControl keeps where a control machine is called; its lock is held, or nobody else has it.
func (d *deployment) noteControl(m *machine) {
	if m.class != Core {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.controls[m] = m.process.Control
}

// seedCount is how many seeds a settings file names.
const seedCount = 3

// seeds gives some of the control processes there are, as a settings file that is written now
// names them.
func (d *deployment) seeds() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := slices.Sorted(maps.Values(d.controls))
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), seedCount)]
}

// dataPath is a process's data folder.
func (d *deployment) dataPath(x localcluster.Process) string {
	return filepath.Join(d.plan.Dir, x.Name+".data")
}

// all lists the machines of all classes.
func (d *deployment) all() (list []*machine) {
	for _, class := range classes {
		list = append(list, d.machinesOf(class)...)
	}
	return list
}

func (d *deployment) machinesOf(class Class) []*machine {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.machines[class])
}

// at gives the machine at a place, counted among those that have not been taken away.
func (d *deployment) at(class Class, place int) *machine {
	list := slices.DeleteFunc(d.machinesOf(class), (*machine).isGone)
	return list[place%len(list)]
}

// start starts a machine's process unless somebody wants it down.
func (d *deployment) start(m *machine) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d.startLocked(m)
}

func (d *deployment) startLocked(m *machine) {
	if m.stops > 0 || m.gone || m.child != nil && !m.child.HasEnded() {
		return
	}
	if m.child != nil { // a file that is written for a restart names the seeds of that moment
		m.writeSeeds(d.seeds())
	}
	x := m.process
	child, err := childprocess.Start(childprocess.Spec{
		Programs:    d.config.Programs,
		Program:     x.Program,
		Name:        x.Name,
		Output:      d.output,
		Environment: []string{"TMPDIR=" + d.plan.Dir}, // records of requests are written there
		Arguments:   []string{x.Role, "--settings", x.Settings},
	})
	if err != nil {
		d.history.violate("process", "%s could not be started: %v", x.Name, err)
		return
	}
	m.child = child
	go d.watch(m, child)
}

// watch takes it for a fault when a process ends by itself.
func (d *deployment) watch(m *machine, child *childprocess.Child) {
	<-child.Ended()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.child != child || m.stops > 0 || m.gone {
		return
	}
	d.history.violate("process", "%s ended by itself: %v", child.Name, child.Err())
	d.history.calendar.begin()()
	time.AfterFunc(tenth, func() { d.start(m) })
}

// down takes a machine's process down until up is called: by SIGKILL, or in order.
func (d *deployment) down(m *machine, inOrder bool) {
	m.mu.Lock()
	m.stops++
	child := m.child
	m.mu.Unlock()
	if child == nil || child.HasEnded() {
		return
	}
	if !inOrder {
		child.Signal(syscall.SIGCONT)
		child.Kill()
		return
	}
	child.Terminate()
	if !child.AwaitEnd(time.After(graceTime)) {
		d.history.note("%s did not stop in order within %v and was killed", child.Name, graceTime)
	}
}

// graceTime is how long a process has to stop in order: grace_s of the settings.
const graceTime = 6 * time.Second

// up ends what down began.
func (d *deployment) up(m *machine) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stops--
	d.startLocked(m)
}

// wipe empties a machine's disk; its process must be down.
func (d *deployment) wipe(m *machine) {
	m.mu.Lock()
	defer m.mu.Unlock()
	os.RemoveAll(d.dataPath(m.process))
	d.notFirst(m)
}

// founded has every process start from now on as one of a deployment that runs already. Their
// settings files change without a signal.
func (d *deployment) founded() {
	for _, m := range d.all() {
		m.mu.Lock()
		d.notFirst(m)
		m.mu.Unlock()
	}
}

// notFirst has a machine start with the settings of one that joins what runs.
func (d *deployment) notFirst(m *machine) {
	m.process.Text = strings.Replace(m.process.Text, "initial_start=true", "initial_start=false", 1)
	os.WriteFile(m.process.Settings, []byte(m.process.Text), 0o644)
}

// replace puts another machine in a place, with an empty disk; the process must be down.
func (d *deployment) replace(m *machine) {
	m.mu.Lock()
	defer m.mu.Unlock()
	x := d.later(m.class, m.zone)
	if err := m.take(x); err != nil {
		d.history.violate("process", "%v", err)
	}
	m.writeSeeds(d.seeds())
	d.noteControl(m)
}

// later gives a further process of a class in a zone.
func (d *deployment) later(class Class, zone int) localcluster.Process {
	d.mu.Lock()
	defer d.mu.Unlock()
	role := map[Class]string{Core: "serve", Store: "store", Edge: "edge"}[class]
	key := fmt.Sprint(class, zone)
	d.generations[key]++
	return d.plan.Replacement(zone, role, d.generations[key])
}

// add adds a machine of a class in a zone.
func (d *deployment) add(class Class, zone int) {
	m := &machine{class: class}
	if err := m.take(d.later(class, zone)); err != nil {
		d.history.violate("process", "%v", err)
		return
	}
	m.writeSeeds(d.seeds())
	d.mu.Lock()
	d.machines[class] = append(d.machines[class], m)
	d.mu.Unlock()
	d.start(m)
}

// setSeeds changes the seeds that a machine's settings name.
func (d *deployment) setSeeds(m *machine, seeds []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.writeSeeds(seeds)
}

// controlAddresses is where operators and workers call.
func (d *deployment) controlAddresses() []string {
	return d.addresses(Core, func(x localcluster.Process) string { return x.Control })
}

// fronts is where clients connect.
func (d *deployment) fronts() []string {
	return d.addresses(Edge, func(x localcluster.Process) string { return x.Front })
}

// addresses gives an address of each machine of a class that stands.
func (d *deployment) addresses(class Class, of func(localcluster.Process) string) (list []string) {
	for _, m := range d.machinesOf(class) {
		m.mu.Lock()
		if !m.gone {
			list = append(list, of(m.process))
		}
		m.mu.Unlock()
	}
	return list
}

// writeRecords has every process write its records of requests.
func (d *deployment) writeRecords() {
	for _, m := range d.all() {
		m.signal(syscall.SIGUSR1)
	}
	time.Sleep(recordsTime)
}

// recordsTime is for processes to write their records.
const recordsTime = 500 * time.Millisecond

// stopAll ends every process, in order, and tells which did not.
func (d *deployment) stopAll() {
	var all sync.WaitGroup
	for _, class := range []Class{Edge, Store, Core} {
		for _, m := range d.machinesOf(class) {
			all.Go(func() { d.down(m, true) })
		}
		all.Wait()
	}
}
