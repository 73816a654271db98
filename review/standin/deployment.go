package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of a deployment, from its first one on.
const (
	portControl       = 0
	portFront         = 1
	portReadiness     = 2
	portInternalFirst = 10
	portInternalLast  = 19
	portRange         = 20
)

// shape is what a deployment consists of.
type shape struct {
	zones  int
	stores int // in each zone
	edges  int // in each zone
	queue  bool
	losses int

	memoryMB int // of each process; 0: 284
	diskMB   int // 0: 310
}

// orElse gives a number, or another where it is 0.
func orElse(n, other int) int {
	if n == 0 {
		return other
	}
	return n
}

// process is one process of a deployment.
type process struct {
	name     string
	args     []string
	ip       string
	zone     int
	settings string
	dataDir  string
	log      string
	command  *exec.Cmd
	ended    chan struct{}
}

// deployment is a small deployment on loopback addresses.
type deployment struct {
	*run
	shape     shape
	net       int
	base      int
	controls  []*process
	stores    []*process
	edges     []*process
	nextStore int

	acceptedMu sync.Mutex
	accepted   []acceptedMessage
}

// children are the processes that were started, so that all of them are ended.
var (
	childrenMu sync.Mutex
	children   []*process
	ending     bool // no more is started
)

// killAll ends every process that was started, by its id.
func killAll() {
	childrenMu.Lock()
	defer childrenMu.Unlock()
	ending = true
	for _, p := range children {
		p.kill()
	}
}

// newDeployment writes the settings of a deployment.
func newDeployment(r *run, s shape) (*deployment, error) {
	d := &deployment{run: r, shape: s}
	if err := d.choosePorts(); err != nil {
		return nil, err
	}
	for zone := range s.zones {
		for i := range s.edges {
			ip := d.address(151 + zone*8 + i)
			d.edges = append(d.edges, d.process(fmt.Sprintf("edge-zone-%d-%d", zone+1, i+1), ip, zone,
				[]string{"target/oxbowdeck", "edge", "--metrics"}, d.edgeSettings(ip)))
		}
	}
	for zone := range min(s.zones, 2*s.losses+1) {
		ip := d.controlIP(zone)
		d.controls = append(d.controls, d.process(fmt.Sprintf("control-zone-%d", zone+1), ip, zone,
			[]string{"target/oxbowctl", "serve", "--metrics"}, d.controlSettings(ip)))
	}
	for range s.stores {
		for zone := range s.zones {
			d.stores = append(d.stores, d.newStore(zone))
		}
	}
	return d, nil
}

// choosePorts finds addresses and ports that nobody uses.
func (d *deployment) choosePorts() error {
	for range 50 {
		d.net = 20 + rand.IntN(200)
		d.base = 20000 + rand.IntN(500)*portRange
		free := true
		for _, host := range []int{1, 101, 151} {
			for port := range portRange {
				listener, err := net.Listen("tcp", fmt.Sprintf("127.0.%d.%d:%d", d.net, host, d.base+port))
				if err != nil {
					free = false
					break
				}
				listener.Close()
			}
		}
		if free {
			return nil
		}
	}
	return errors.New("no free ports")
}

func (d *deployment) address(host int) string { return fmt.Sprintf("127.0.%d.%d", d.net, host) }

// controlIP is where control runs: of a queue beside an edge that has a disk, else on a
// core machine.
func (d *deployment) controlIP(zone int) string {
	if d.shape.queue {
		return d.address(151 + zone*8)
	}
	return d.address(1 + zone)
}

func (d *deployment) edgeSettings(ip string) []string {
	return []string{
		"role=edge", "machine_class=edge", "served_roles=edge",
		fmt.Sprintf("listen_addrs.front=%s:%d", ip, d.base+portFront),
		fmt.Sprintf("listen_addrs.readiness=%s:%d", ip, d.base+portReadiness),
	}
}

func (d *deployment) controlSettings(ip string) []string {
	class, role := "core", "control"
	if d.shape.queue {
		class, role = "edge", "control-edge"
	}
	return []string{
		"role=" + role, "machine_class=" + class, "served_roles=control",
		fmt.Sprintf("listen_addrs.control=%s:%d", ip, d.base+portControl),
		"data_dir=",
	}
}

// newStore makes one more store.
func (d *deployment) newStore(zone int) *process {
	d.nextStore++
	return d.process(fmt.Sprintf("storage-zone-%d-%d", zone+1, d.nextStore), d.address(100+d.nextStore), zone,
		[]string{"target/oxbowdeck", "store"},
		[]string{"role=store", "machine_class=storage", "served_roles=storage", "loss_counted=true", "data_dir="})
}

// process makes a process and writes its settings.
func (d *deployment) process(name, ip string, zone int, args, own []string) *process {
	p := &process{
		name: name, args: args, ip: ip, zone: zone,
		settings: filepath.Join(d.dir, name+".conf"),
		dataDir:  filepath.Join(d.dir, name+".data"),
		log:      filepath.Join(d.dir, name+".log"),
	}
	var seeds []string
	for z := range min(3, d.shape.zones, 2*d.shape.losses+1) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", d.controlIP(z), d.base+portControl))
	}
	lines := []string{
		"node_name=" + name, "ip_addr=" + ip, fmt.Sprintf("avail_zone=zone-%d", zone+1), "region=home",
		"seed_nodes=" + strings.Join(seeds, ","),
		fmt.Sprintf("internal_ports=%d,%d", d.base+portInternalFirst, d.base+portInternalLast),
		"initial_start=true",
		"limits.cpu_share=0.48", "limits.core_count=1", "limits.fd_limit=4400", "limits.link_mbps=600.0",
		fmt.Sprintf("limits.memory_mb=%d", orElse(d.shape.memoryMB, 284)),
		fmt.Sprintf("limits.disk_mb=%d", orElse(d.shape.diskMB, 310)),
		"discovery=registration", "entry_kind=virtual_ip", "beat_ms=1200",
		fmt.Sprintf("fault_tolerance.machines=%d", d.shape.losses),
		"fault_tolerance.zones=0", "fault_tolerance.regions=0",
		"timing_bounds.seed_lag_s=3", "timing_bounds.reuse_guard_s=2", "timing_bounds.contact_ms=4000",
		"timing_bounds.ack_ms=5000", "timing_bounds.catch_up_s=4", "timing_bounds.drain_ms=3000",
		"timing_bounds.grace_s=6", "timing_bounds.loss_slack_ms=200", "timing_bounds.config_apply_ms=3000",
		"timing_bounds.revert_slack_ms=250", "timing_bounds.outer_ms=12000", "timing_bounds.recovery_s=12",
	}
	for z := range d.shape.zones {
		lines = append(lines, fmt.Sprintf("zones.zone-%d=home", z+1))
	}
	if d.shape.queue {
		lines = append(lines, "deployment=queue", "contracts=base,drain,config,cost,queue",
			"timing_bounds.complete_s=10", "timing_bounds.report_s=120", "timing_bounds.notify_s=5",
			"timing_bounds.visibility_ms=3000", "timing_bounds.advance_ms=100",
			"timing_bounds.ceiling_window_s=5", "timing_bounds.ceiling_excess=1.1")
	} else {
		lines = append(lines, "contracts=base,drain,config,cost,topics",
			"timing_bounds.ping_s=2", "timing_bounds.rejoin_s=2", "timing_bounds.resend_s=10",
			"timing_bounds.presence_ms=5000", "timing_bounds.presence_disabled=0.05")
	}
	for _, line := range own {
		if line == "data_dir=" {
			line += p.dataDir
		}
		lines = append(lines, line)
	}
	os.WriteFile(p.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o644)
	return p
}

// notFirst has a process start from now on as one of a deployment that runs already.
func (p *process) notFirst() {
	text, err := os.ReadFile(p.settings)
	if err == nil {
		os.WriteFile(p.settings, []byte(strings.Replace(string(text), "initial_start=true", "initial_start=false", 1)), 0o644)
	}
}

// start starts a process with the command of the deploy file.
func (p *process) start() error {
	childrenMu.Lock()
	defer childrenMu.Unlock()
	if ending {
		return errors.New("the case ends")
	}
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	p.command = exec.Command(p.args[0], p.args[1:]...)
	p.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + filepath.Dir(p.log), "LANG=C.UTF-8",
		"OXBOWDECK_BOOT=" + p.settings, "TMPDIR=" + filepath.Dir(p.log)}
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		log.Close()
		return err
	}
	p.ended = make(chan struct{})
	go func() {
		p.command.Wait()
		log.Close()
		close(p.ended)
	}()
	children = append(children, p)
	return nil
}

// signal sends a signal to a process that was started and has not ended.
func (p *process) signal(s syscall.Signal) {
	if p.command == nil || p.hasEnded() {
		return
	}
	p.command.Process.Signal(s)
}

// kill ends a process at once.
func (p *process) kill() {
	if p.command == nil {
		return
	}
	p.signal(syscall.SIGKILL)
	<-p.ended
}

func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// all lists the processes of a deployment.
func (d *deployment) all() []*process {
	return append(append(append([]*process(nil), d.controls...), d.stores...), d.edges...)
}

// startAll starts every process.
func (d *deployment) startAll() error {
	for _, p := range d.all() {
		if err := p.start(); err != nil {
			return err
		}
	}
	d.note("%d control processes, %d stores, %d edges", len(d.controls), len(d.stores), len(d.edges))
	return nil
}

// front is where clients reach an edge.
func (d *deployment) front(p *process) string { return fmt.Sprintf("%s:%d", p.ip, d.base+portFront) }

// control is where operators and workers reach a control process.
func (d *deployment) control(p *process) string {
	return fmt.Sprintf("%s:%d", p.ip, d.base+portControl)
}

// recordEvents puts the events of the processes' logs that tell of leaders and of room into
// the record.
func (d *deployment) recordEvents() {
	for _, p := range d.all() {
		text, _ := os.ReadFile(p.log)
		for _, line := range strings.Split(string(text), "\n") {
			for _, event := range []string{"msg=leader ", "msg=memory-near-full ", "msg=link-full ", "msg=stopping ", "msg=invariant-violated "} {
				if strings.Contains(line, event) {
					d.line("log of %s: %s", p.name, line)
				}
			}
		}
	}
}

// awaitReady waits until every edge says that it is ready.
func (d *deployment) awaitReady(within time.Duration) error {
	until := time.Now().Add(within)
	for _, p := range d.edges {
		url := fmt.Sprintf("http://%s:%d/v1/readiness", p.ip, d.base+portReadiness)
		for {
			if code, _, err := call("GET", url, nil, nil, time.Second); err == nil && code == 200 {
				break
			}
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", p.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	for _, p := range d.all() {
		p.notFirst()
	}
	d.note("all edges are ready")
	return nil
}
