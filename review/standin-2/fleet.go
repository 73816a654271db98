package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Times of a fleet, as its settings have them.
const (
	contactMs  = 4000
	applyMs    = 3000
	startLimit = 40 * time.Second
)

// process is one process of the deployment.
type process struct {
	name    string
	ip      string
	args    []string
	conf    string
	front   string
	ready   string
	control string
	command *exec.Cmd
	ended   chan struct{}
}

// fleet is a deployment on this machine.
type fleet struct {
	session *session
	dir     string
	network int
	port    int

	mu        sync.Mutex
	processes []*process
	over      bool
}

// commands are those of deploy/system.toml, by the role in the settings file.
var commands = map[string][]string{
	"serve": {"target/oxbowctl", "serve", "--metrics"},
	"store": {"target/oxbowdeck", "store"},
	"edge":  {"target/oxbowdeck", "edge", "--metrics"},
}

// freePlace finds a network 127.0.N.x and a first port that nobody uses.
func freePlace() (network, port int, err error) {
	for range 50 {
		network, port = 20+rand.IntN(220), 20000+20*rand.IntN(400)
		free := true
		for _, host := range []int{1, 2, 3, 101, 102, 103, 151, 167, 183, 250} {
			for _, p := range []int{port, port + 1, port + 2, port + 10, port + 11, port + 12, port + 15} {
				l, err := net.Listen("tcp", fmt.Sprintf("127.0.%d.%d:%d", network, host, p))
				if err != nil {
					free = false
					break
				}
				l.Close()
			}
		}
		if free {
			return network, port, nil
		}
	}
	return 0, 0, errors.New("no free ports")
}

// start writes the settings of a deployment of three zones and starts it.
func (f *fleet) start(queue bool, edges int, lines ...string) error {
	if err := f.prepare(queue, edges, lines...); err != nil {
		return err
	}
	return f.runAll()
}

// startBehindRelay does the same for topics, with a relay between the processes; inner is
// told each process's internal address before any of them starts.
func (f *fleet) startBehindRelay(edges int, relay func(address string) error, inner func(*process, string), lines ...string) error {
	if err := f.prepare(false, edges, append(lines, "test_only.relay=127.0.NET.250:RELAY")...); err != nil {
		return err
	}
	for _, p := range f.processes {
		offset := map[string]int{"serve": 0, "store": 1, "edge": 2}[p.args[1]]
		inner(p, fmt.Sprintf("%s:%d", p.ip, f.port+10+offset))
	}
	if err := relay(fmt.Sprintf("127.0.%d.250:%d", f.network, f.port+15)); err != nil {
		return err
	}
	return f.runAll()
}

// runAll starts all processes.
func (f *fleet) runAll() error {
	for _, p := range f.processes {
		if err := f.run(p); err != nil {
			return err
		}
	}
	f.session.note("started %d processes on 127.0.%d.x, ports from %d", len(f.processes), f.network, f.port)
	return nil
}

// prepare writes the settings of a deployment of three zones.
func (f *fleet) prepare(queue bool, edges int, lines ...string) error {
	for _, program := range []string{"target/oxbowctl", "target/oxbowdeck"} {
		if _, err := os.Stat(program); err != nil {
			return err
		}
	}
	var err error
	if f.dir, err = os.MkdirTemp("", "review"); err != nil {
		return err
	}
	network, port, err := freePlace()
	if err != nil {
		return err
	}
	f.network, f.port = network, port
	args := []string{"init", f.dir, "--zones", "3", "--edges", fmt.Sprint(edges), "--net", fmt.Sprint(network), "--port", fmt.Sprint(port)}
	if queue {
		args = append(args, "--queue")
	}
	for _, line := range lines {
		line = strings.NewReplacer("NET", fmt.Sprint(network), "RELAY", fmt.Sprint(port+15)).Replace(line)
		args = append(args, "--setting", line)
	}
	if out, err := exec.Command("target/oxbowctl", args...).CombinedOutput(); err != nil {
		return fmt.Errorf("init: %w: %s", err, out)
	}
	confs, err := filepath.Glob(filepath.Join(f.dir, "*.conf"))
	if err != nil {
		return err
	}
	for _, conf := range confs {
		text, err := os.ReadFile(conf)
		if err != nil {
			return err
		}
		values := map[string]string{}
		for line := range strings.Lines(string(text)) {
			name, value, _ := strings.Cut(strings.TrimSpace(line), "=")
			values[name] = value
		}
		p := &process{
			name: values["node_name"], ip: values["ip_addr"], conf: conf, args: commands[values["role"]],
			front: values["listen_addrs.front"], ready: values["listen_addrs.readiness"],
			control: values["listen_addrs.control"],
		}
		f.processes = append(f.processes, p)
	}
	return nil
}

// run starts a process, for the first time or again.
func (f *fleet) run(p *process) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.over {
		return errors.New("the case is over")
	}
	log, err := os.OpenFile(filepath.Join(f.dir, p.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	p.command = exec.Command(p.args[0], p.args[1:]...)
	p.command.Env = append(os.Environ(), "OXBOWDECK_BOOT="+p.conf)
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		return err
	}
	command, ended := p.command, make(chan struct{})
	p.ended = ended
	go func() {
		command.Wait()
		close(ended)
	}()
	return nil
}

// restarted has later starts of a process read that it isn't the first start of the system.
func (f *fleet) restarted(p *process) error {
	text, err := os.ReadFile(p.conf)
	if err != nil {
		return err
	}
	text = bytes.ReplaceAll(text, []byte("initial_start=true"), []byte("initial_start=false"))
	if err := os.WriteFile(p.conf, text, 0o644); err != nil {
		return err
	}
	return f.run(p)
}

// terminate stops a process as the platform does: SIGTERM, and SIGKILL after grace_s.
func (f *fleet) terminate(p *process) {
	p.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(6 * time.Second):
		p.command.Process.Kill()
		<-p.ended
	}
}

// end ends all processes and removes their folder.
func (f *fleet) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.over = true
	for _, p := range f.processes {
		if p.command != nil && p.command.Process != nil {
			p.command.Process.Signal(syscall.SIGCONT)
			p.command.Process.Kill()
			<-p.ended
		}
	}
	if f.dir != "" && os.Getenv("KEEP") == "" {
		os.RemoveAll(f.dir)
	}
}

// named lists the processes whose names begin so.
func (f *fleet) named(prefix string) (out []*process) {
	for _, p := range f.processes {
		if strings.HasPrefix(p.name, prefix) {
			out = append(out, p)
		}
	}
	return out
}

// controls lists the addresses that the operator and workers call.
func (f *fleet) controls() (out []string) {
	for _, p := range f.processes {
		if p.control != "" {
			out = append(out, p.control)
		}
	}
	return out
}

var caller = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// call makes one call, and gives the status and the body; 0: no answer.
func call(method, url string, header map[string]string, body string) (int, string) {
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	for name, value := range header {
		r.Header.Set(name, value)
	}
	answer, err := caller.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer answer.Body.Close()
	b, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, err.Error()
	}
	return answer.StatusCode, string(b)
}

// configure has a configuration taken, and waits until all edges are ready.
func (f *fleet) configure(match int, config string) error {
	header := map[string]string{"If-Match": fmt.Sprint(match), "Content-Type": "application/json"}
	until := time.Now().Add(startLimit)
	for try := 0; ; try++ {
		controls := f.controls()
		status, body := call(http.MethodPut, "http://"+controls[try%len(controls)]+"/v1/configuration", header, config)
		if status == http.StatusOK {
			break
		}
		if status >= 400 && status < 500 || time.Now().After(until) {
			return fmt.Errorf("configuration: %d %s", status, body)
		}
		time.Sleep(200 * time.Millisecond)
	}
	for _, p := range f.processes {
		if p.ready == "" {
			continue
		}
		for {
			status, _ := call(http.MethodGet, "http://"+p.ready+"/v1/readiness", nil, "")
			if status == http.StatusOK {
				break
			}
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", p.name)
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	f.session.note("the configuration is taken, and all edges are ready")
	return nil
}
