// Package localcluster lays out a whole deployment on one machine, on loopback
// addresses, and runs it in the foreground: for trying the system and for tests.
// It is a tool: no deployed process uses it.
package localcluster

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"oxbowdeck/internal/errs"
	"oxbowdeck/internal/settings"
)

// ErrOtherDeployment tells that a folder holds settings of a deployment of another
// kind, or at other addresses: its data would be read under the wrong settings.
var ErrOtherDeployment = errors.New("the folder holds another deployment: choose another folder, or remove it")

// Plan says what a deployment on one machine consists of.
type Plan struct {
	Dir   string
	Zones int
	Edges int      // in each zone
	Base  int      // first port
	Net   int      // third number of the addresses, 127.0.NET.x
	Queue bool     // takes in messages over HTTP and sends them to workers
	Extra []string // settings lines added to each file, which take precedence
}

// Process is one process of a deployment.
type Process struct {
	Name     string
	Program  string
	Role     string // the program's command
	Settings string // path of its settings file
	Text     string // contents of that file
	Control  string // where operators and workers call it, if they do
	Front    string // where clients connect, if they do
	Ready    string // where its readiness is asked for, if it has one
}

// Last numbers of the first address of each role: 127.0.NET.x.
const (
	firstControlHost = 1
	firstStoreHost   = 101
	firstEdgeHost    = 151
	edgeHostsPerZone = 16
)

// Ports after the first one.
const (
	portFront         = 1
	portReadiness     = 2
	portInternalFirst = 10
	portInternalLast  = 19
)

// Layout lists the processes of a plan: a control process and a store in each
// zone, and the edges.
func Layout(p Plan) []Process {
	var processes []Process
	for zone := range p.Zones {
		processes = append(processes, p.control(zone))
	}
	for zone := range p.Zones {
		processes = append(processes, p.store(zone))
	}
	for zone := range p.Zones {
		for edge := range p.Edges {
			processes = append(processes, p.edge(zone, edge))
		}
	}
	return processes
}

func (p Plan) address(host int) string { return fmt.Sprintf("127.0.%d.%d", p.Net, host) }

func zoneName(zone int) string { return fmt.Sprintf("zone-%d", zone+1) }

func (p Plan) control(zone int) Process { return p.controlAt(zone, firstControlHost+zone) }

func (p Plan) controlAt(zone, host int) Process {
	x := Process{Name: "core-" + zoneName(zone), Program: "oxbowctl", Role: "serve"}
	ip := p.address(host)
	x.Control = fmt.Sprintf("%s:%d", ip, p.Base)
	return p.withSettings(x, ip, zone, []string{
		"machine_class=core",
		"served_roles=control",
		"listen_addrs.control=" + x.Control,
		"data_dir=" + p.dataDir(x.Name),
	})
}

func (p Plan) store(zone int) Process { return p.storeAt(zone, firstStoreHost+zone) }

func (p Plan) storeAt(zone, host int) Process {
	x := Process{Name: "store-" + zoneName(zone), Program: "oxbowdeck", Role: "store"}
	return p.withSettings(x, p.address(host), zone, []string{
		"machine_class=storage",
		"served_roles=storage",
		"data_dir=" + p.dataDir(x.Name),
	})
}

func (p Plan) edge(zone, number int) Process {
	x := Process{Name: fmt.Sprintf("edge-%s-%d", zoneName(zone), number+1), Program: "oxbowdeck", Role: "edge"}
	ip := p.address(firstEdgeHost + zone*edgeHostsPerZone + number)
	x.Front = fmt.Sprintf("%s:%d", ip, p.Base+portFront)
	x.Ready = fmt.Sprintf("%s:%d", ip, p.Base+portReadiness)
	return p.withSettings(x, ip, zone, []string{
		"machine_class=edge",
		"served_roles=edge",
		"listen_addrs.front=" + x.Front,
		"listen_addrs.readiness=" + x.Ready,
	})
}

func (p Plan) dataDir(name string) string { return filepath.Join(p.Dir, name+".data") }

// withSettings adds the settings file: what the process has alone, and what all share.
func (p Plan) withSettings(x Process, ip string, zone int, own []string) Process {
	lines := []string{
		"node_name=" + x.Name,
		"role=" + x.Role,
		"ip_addr=" + ip,
		"avail_zone=" + zoneName(zone),
	}
	lines = append(lines, own...)
	lines = append(lines, p.sharedSettings()...)
	lines = append(lines, p.Extra...)
	x.Settings = filepath.Join(p.Dir, x.Name+".conf")
	x.Text = strings.Join(lines, "\n") + "\n"
	return x
}

func (p Plan) sharedSettings() []string {
	var seeds []string
	lines := []string{"region=home"}
	for zone := range p.Zones {
		seeds = append(seeds, fmt.Sprintf("%s:%d", p.address(firstControlHost+zone), p.Base))
		lines = append(lines, "zones."+zoneName(zone)+"=home")
	}
	lines = append(lines,
		"seed_nodes="+strings.Join(seeds, ","),
		fmt.Sprintf("internal_ports=%d,%d", p.Base+portInternalFirst, p.Base+portInternalLast),
		"initial_start=true",
		"limits.memory_mb=256",
		"limits.fd_limit=2000",
		"limits.disk_mb=200",
		"beat_ms=1000",
		fmt.Sprintf("fault_tolerance.machines=%d", (p.Zones-1)/2),
		"timing_bounds.contact_ms=4000",
		"timing_bounds.ack_ms=5000",
		"timing_bounds.config_apply_ms=3000",
		"timing_bounds.drain_ms=3000",
		"timing_bounds.grace_s=6",
		"timing_bounds.ping_s=2",
		"timing_bounds.rejoin_s=2",
		"timing_bounds.resend_s=10",
	)
	if p.Queue {
		lines = append(lines,
			"deployment=queue",
			"timing_bounds.report_s=120",
			"timing_bounds.ceiling_window_s=5",
		)
	}
	return lines
}

// Write makes the folder, a settings file for each process, and the sample
// configuration. It refuses a folder that holds another deployment.
func Write(p Plan) ([]Process, error) {
	if err := os.MkdirAll(p.Dir, 0o755); err != nil {
		return nil, errs.Wrap("init", p.Dir, err)
	}
	processes := Layout(p)
	for _, x := range processes {
		if err := checkSameDeployment(x); err != nil {
			return nil, err
		}
	}
	for _, x := range processes {
		if err := os.WriteFile(x.Settings, []byte(x.Text), 0o644); err != nil {
			return nil, errs.Wrap("init", x.Settings, err)
		}
	}
	path := p.ConfigurationPath()
	if err := os.WriteFile(path, p.SampleConfiguration(), 0o644); err != nil {
		return nil, errs.Wrap("init", path, err)
	}
	return processes, nil
}

// checkSameDeployment compares a settings file that is there already with the one
// to be written, in what the data folders rest on.
func checkSameDeployment(x Process) error {
	if _, err := os.Stat(x.Settings); errors.Is(err, os.ErrNotExist) {
		return nil
	}
	old, err := settings.Read(x.Settings)
	if err != nil {
		return errs.Wrap("init", x.Settings, err)
	}
	now, err := settings.Parse([]byte(x.Text))
	if err != nil {
		return errs.Wrap("init", x.Settings, err)
	}
	same := old.Kind == now.Kind && old.IP == now.IP &&
		slices.Equal(old.Ports, now.Ports) && slices.Equal(old.Seeds, now.Seeds)
	if !same {
		return errs.Wrap("init", x.Settings, ErrOtherDeployment)
	}
	return nil
}
