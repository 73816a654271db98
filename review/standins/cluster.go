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

// process is one of the project's, started with the command of the deploy file.
type process struct {
	name string
	args []string
	conf string
	cmd  *exec.Cmd
	done chan struct{} // closed when it has ended
}

// cluster is a deployment on loopback addresses.
type cluster struct {
	r         *record
	dir       string
	net, port int
	zones     int
	processes []*process
}

var (
	runningMu sync.Mutex
	running   = map[*process]bool{}
	folders   []string
)

// endAll ends all processes that were started, and removes their folders.
func endAll() {
	runningMu.Lock()
	var all []*process
	for p := range running {
		all = append(all, p)
	}
	runningMu.Unlock()
	for _, p := range all {
		p.cmd.Process.Signal(syscall.SIGCONT)
		p.cmd.Process.Kill()
		<-p.done
	}
	for _, f := range folders {
		if os.Getenv("KEEP") == "" {
			os.RemoveAll(f)
		}
	}
}

// deployArgs are the commands of deploy/system.toml, by the role's command.
var deployArgs = map[string][]string{
	"serve": {"target/oxbowctl", "serve", "--metrics"},
	"edge":  {"target/oxbowdeck", "edge", "--metrics"},
	"store": {"target/oxbowdeck", "store"},
}

// freePlace draws a first port and addresses that nothing listens on.
func freePlace(zones int) (netNumber, port int) {
	var hosts []int
	for z := range zones {
		hosts = append(hosts, 1+z, 101+z, 151+16*z)
	}
	for {
		netNumber, port = 20+rand.IntN(200), 20000+20*rand.IntN(600)
		free := true
		for _, host := range hosts {
			for p := port; p < port+20 && free; p++ {
				l, err := net.Listen("tcp", fmt.Sprintf("127.0.%d.%d:%d", netNumber, host, p))
				if err != nil {
					free = false
					break
				}
				l.Close()
			}
		}
		if free {
			return netNumber, port
		}
	}
}

// newCluster writes the settings of a deployment and starts it.
func newCluster(r *record, zones int, queue bool, settings ...string) (*cluster, error) {
	dir, err := os.MkdirTemp("", "oxbow-review-")
	if err != nil {
		return nil, err
	}
	folders = append(folders, dir)
	c := &cluster{r: r, dir: dir, zones: zones}
	c.net, c.port = freePlace(zones)
	args := []string{"init", dir, "--net", fmt.Sprint(c.net), "--port", fmt.Sprint(c.port), "--zones", fmt.Sprint(zones)}
	if queue {
		args = append(args, "--queue")
	}
	for _, s := range settings {
		args = append(args, "--setting", s)
	}
	out, err := exec.Command("target/oxbowctl", args...).Output()
	if err != nil {
		return nil, fmt.Errorf("oxbowctl init: %w", err)
	}
	for _, line := range strings.Split(strings.TrimSpace(string(out)), "\n") {
		f := strings.Fields(line)
		if len(f) != 4 || deployArgs[f[1]] == nil {
			continue
		}
		name := strings.TrimSuffix(filepath.Base(f[3]), ".conf")
		c.processes = append(c.processes, &process{name: name, args: deployArgs[f[1]], conf: f[3]})
	}
	if len(c.processes) != 3*zones {
		return nil, fmt.Errorf("%d processes instead of %d", len(c.processes), 3*zones)
	}
	for _, p := range c.processes {
		if err := c.start(p); err != nil {
			return nil, err
		}
	}
	time.Sleep(300 * time.Millisecond)
	for _, p := range c.processes { // true at the first start of the whole system alone
		if err := setSetting(p.conf, "initial_start", "false"); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// setSetting changes a line of a settings file.
func setSetting(path, name, value string) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	lines := strings.Split(string(b), "\n")
	for i := range lines {
		if strings.HasPrefix(lines[i], name+"=") {
			lines[i] = name + "=" + value
		}
	}
	if err := os.WriteFile(path+".new", []byte(strings.Join(lines, "\n")), 0o644); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// start starts a process.
func (c *cluster) start(p *process) error {
	log, err := os.OpenFile(filepath.Join(c.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.cmd.Env = []string{"OXBOWDECK_BOOT=" + p.conf, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.done = make(chan struct{})
	if err := p.cmd.Start(); err != nil {
		return err
	}
	runningMu.Lock()
	running[p] = true
	runningMu.Unlock()
	go func(cmd *exec.Cmd, done chan struct{}) {
		cmd.Wait()
		runningMu.Lock()
		delete(running, p)
		runningMu.Unlock()
		close(done)
	}(p.cmd, p.done)
	c.r.line("started %s", p.name)
	return nil
}

// named gives a process.
func (c *cluster) named(name string) *process {
	for _, p := range c.processes {
		if p.name == name {
			return p
		}
	}
	panic("no process " + name)
}

// signal sends a process a signal.
func (c *cluster) signal(p *process, s syscall.Signal) {
	c.r.note("%s to %s", s, p.name)
	p.cmd.Process.Signal(s)
}

// stop ends a process as the platform does: SIGTERM, and SIGKILL after the grace time.
func (c *cluster) stop(p *process, grace time.Duration) {
	c.signal(p, syscall.SIGTERM)
	select {
	case <-p.done:
		c.r.note("%s has ended", p.name)
	case <-time.After(grace):
		c.signal(p, syscall.SIGKILL)
		<-p.done
	}
}

// The addresses that oxbowctl init gives.
func (c *cluster) address(host, port int) string {
	return fmt.Sprintf("127.0.%d.%d:%d", c.net, host, port)
}
func (c *cluster) control(i int) string   { return c.address(1+i, c.port) }
func (c *cluster) front(i int) string     { return c.address(151+16*i, c.port+1) }
func (c *cluster) readiness(i int) string { return c.address(151+16*i, c.port+2) }

var errNotReady = errors.New("the deployment did not become ready")

// configure puts a configuration, sent until it is taken.
func (c *cluster) configure(match, release int64, text string) error {
	text = strings.Replace(text, "RELEASE", fmt.Sprint(release), 1)
	for i := 0; i < 150; i++ {
		status, _, _ := call("PUT", "http://"+c.control(i%3)+"/v1/configuration", text,
			map[string]string{"If-Match": fmt.Sprint(match), "Content-Type": "application/json"})
		if status == http.StatusOK {
			c.r.note("configuration %d is acknowledged", release)
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return errNotReady
}

// awaitReady waits until all edges are ready.
func (c *cluster) awaitReady() error {
	for i := 0; i < 150; i++ {
		ready := 0
		for e := range c.zones {
			if status, _, _ := call("GET", "http://"+c.readiness(e)+"/v1/readiness", "", nil); status == http.StatusOK {
				ready++
			}
		}
		if ready == c.zones {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return errNotReady
}

// callers have a connection for each call, and a second for an answer.
var callers = http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// call makes an HTTP call; status 0: no answer.
func call(method, url, body string, header map[string]string) (status int, answer []byte, err error) {
	request, err := http.NewRequest(method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, nil, err
	}
	for k, v := range header {
		if k == "Host" {
			request.Host = v
			continue
		}
		request.Header.Set(k, v)
	}
	response, err := callers.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	answer, err = io.ReadAll(response.Body)
	return response.StatusCode, answer, err
}
