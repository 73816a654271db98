package localcluster

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"oxbowdeck/internal/childprocess"
)

// programsDir is where buildPrograms puts the programs, once for all tests.
var programsDir string

var buildPrograms = sync.OnceValue(func() error {
	return childprocess.BuildPrograms(programsDir)
})

func TestMain(m *testing.M) {
	var err error
	if programsDir, err = os.MkdirTemp("", "oxbowdeck-programs"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(programsDir)
	os.Exit(code)
}

// localRun is `oxbowctl local` as a process of its own.
type localRun struct {
	t       *testing.T
	command *exec.Cmd
	exited  chan error

	mu    sync.Mutex
	lines []string
}

func startLocal(t *testing.T, arguments ...string) *localRun {
	t.Helper()
	if err := buildPrograms(); err != nil {
		t.Fatal(err)
	}
	r := &localRun{t: t, exited: make(chan error, 1)}
	r.command = exec.Command(filepath.Join(programsDir, "oxbowctl"), append([]string{"local"}, arguments...)...)
	output, err := r.command.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	r.command.Stderr = r.command.Stdout
	if err := r.command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.command.Process.Kill() })
	go func() {
		for scanner := bufio.NewScanner(output); scanner.Scan(); {
			r.take(scanner.Text())
		}
		r.exited <- r.command.Wait()
	}()
	return r
}

func (r *localRun) take(line string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, line)
}

func (r *localRun) output() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return strings.Join(r.lines, "\n")
}

// awaitLine waits for a line of the tool itself, and gives what follows in it.
func (r *localRun) awaitLine(beginning string) (rest string) {
	r.t.Helper()
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if _, after, found := strings.Cut(r.output(), "| "+beginning); found {
			rest, _, _ = strings.Cut(after, "\n")
			return rest
		}
		if len(r.exited) > 0 {
			r.t.Fatalf("ended before it said %q: %v\n%s", beginning, <-r.exited, r.output())
		}
	}
	r.t.Fatalf("did not say %q\n%s", beginning, r.output())
	return ""
}

// awaitReady waits until clients can connect, and gives where.
func (r *localRun) awaitReady() (fronts []string) {
	r.t.Helper()
	return strings.Fields(r.awaitLine("ready: clients connect to "))
}

var startedLine = regexp.MustCompile(`\| started (\S+) pid=(\d+)`)

// children lists the processes it said it started.
func (r *localRun) children() map[string]int {
	children := map[string]int{}
	for _, match := range startedLine.FindAllStringSubmatch(r.output(), -1) {
		children[match[1]], _ = strconv.Atoi(match[2])
	}
	return children
}

// signalAndWait signals the tool alone, not its children, and waits for its end.
func (r *localRun) signalAndWait(signal os.Signal) error {
	r.t.Helper()
	r.command.Process.Signal(signal)
	select {
	case err := <-r.exited:
		return err
	case <-time.After(30 * time.Second):
		r.t.Fatalf("did not end\n%s", r.output())
		return nil
	}
}

// checkNothingLeft fails if one of the children runs.
func (r *localRun) checkNothingLeft(want int) {
	r.t.Helper()
	children := r.children()
	if len(children) != want {
		r.t.Fatalf("started %v, want %d processes", children, want)
	}
	for name, pid := range children {
		if isRunning(pid) {
			r.t.Errorf("%s still runs\n%s", name, r.output())
		}
	}
}

// isRunning tells whether a process exists that has not ended; one that has ended
// but whose end nobody has asked for does not run.
func isRunning(pid int) bool {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return !errors.Is(syscall.Kill(pid, 0), syscall.ESRCH)
	}
	fields := bytes.Fields(stat[bytes.LastIndexByte(stat, ')')+1:])
	return !slices.Contains([]string{"Z", "X"}, string(fields[0]))
}

// TestLocalTopics runs a deployment by one command, publishes once, and interrupts it.
func TestLocalTopics(t *testing.T) {
	t.Parallel()
	r := startLocal(t, t.TempDir(), "--zones", "3", "--port", "21940", "--net", strconv.Itoa(network(0)))
	fronts := r.awaitReady()
	if len(fronts) != 3 {
		t.Fatalf("clients connect to %v", fronts)
	}
	ann, bob := attach(t, fronts[0], "ann"), attach(t, fronts[1], "bob")
	ann.subscribe("room.1")
	bob.publish("room.1", "1", body20)
	ann.want("DELIVER room.1 ")
	ann.want(body20)
	if err := r.signalAndWait(os.Interrupt); err != nil {
		t.Fatalf("interrupted: %v\n%s", err, r.output())
	}
	r.checkNothingLeft(9)
	for name := range r.children() {
		line := regexp.MustCompile(`(?m)^` + name + ` +\| time=\S+ level=INFO msg=stopping node=` + name + `$`)
		if !line.MatchString(r.output()) {
			t.Errorf("%s did not stop in order\n%s", name, r.output())
		}
	}
}

// TestLocalQueue runs a queue with its stand-in worker, hands a message in, ends it
// with SIGTERM, and finds the message again in a second run of the same folder. That
// one is killed: its processes notice, and none is left.
func TestLocalQueue(t *testing.T) {
	t.Parallel()
	arguments := []string{t.TempDir(), "--queue", "--port", "21980", "--net", strconv.Itoa(network(1))}
	first := startLocal(t, arguments...)
	fronts := first.awaitReady()
	var message string
	eventually(t, "message taken", func() bool {
		var code int
		code, message = handIn(t, fronts[0], "/rooms/house-7", map[string]string{"X-Attempt-Id": "m1", "X-Sequence-Key": "house-7"}, "two rooms less")
		return code == http.StatusAccepted
	})
	completed := func() bool {
		state, _ := messageState(t, fronts[1], message)
		return state == "completed"
	}
	eventually(t, "message completed", completed)
	if !strings.Contains(first.output(), `message=m1 key="house-7" bytes=14`) {
		t.Errorf("the worker did not tell of the message\n%s", first.output())
	}
	changed := strings.Replace(string(sampleQueue), `"config_release": 1`, `"config_release": 2`, 1)
	control := fmt.Sprintf("http://127.0.%d.1:21980", network(1))
	eventually(t, "another configuration taken", func() bool {
		code, _ := callHTTP(t, http.MethodPut, control+"/v1/configuration", "1", changed)
		return code == http.StatusOK
	})
	if err := first.signalAndWait(syscall.SIGTERM); err != nil {
		t.Fatalf("terminated: %v\n%s", err, first.output())
	}
	first.checkNothingLeft(10)

	second := startLocal(t, arguments...)
	second.awaitReady()
	eventually(t, "message still known", completed)
	if !strings.Contains(second.output(), "| keeps the configuration it has") {
		t.Errorf("the operator's configuration was not kept\n%s", second.output())
	}
	if err := second.signalAndWait(os.Kill); err == nil {
		t.Error("killed without an error")
	}
	eventually(t, "the processes notice that the tool was killed", func() bool {
		for _, pid := range second.children() {
			if isRunning(pid) {
				return false
			}
		}
		return true
	})
	second.checkNothingLeft(10)
}

// TestLocalWithoutConfiguration: edges serve once an operator gives a configuration; a
// process that dies then is told of, and the others go on.
func TestLocalWithoutConfiguration(t *testing.T) {
	t.Parallel()
	r := startLocal(t, t.TempDir(), "--zones", "1", "--no-config", "--port", "22100", "--net", strconv.Itoa(network(0)))
	r.awaitLine("ready for a configuration: ")
	readiness := fmt.Sprintf("http://127.0.%d.151:22102/v1/readiness", network(0))
	if code, _ := callHTTP(t, http.MethodGet, readiness, "", ""); code != http.StatusServiceUnavailable {
		t.Errorf("without a configuration the edge's readiness is %d", code)
	}
	control := fmt.Sprintf("http://127.0.%d.1:22100", network(0))
	eventually(t, "configuration taken", func() bool {
		code, _ := callHTTP(t, http.MethodPut, control+"/v1/configuration", "0", string(sampleTopics))
		return code == http.StatusOK
	})
	eventually(t, "edge ready", func() bool {
		code, _ := callHTTP(t, http.MethodGet, readiness, "", "")
		return code == http.StatusOK
	})
	syscall.Kill(r.children()["edge-zone-1-1"], syscall.SIGKILL)
	r.awaitLine("edge-zone-1-1 has ended (signal: killed); the others go on")
	if !isRunning(r.children()["store-zone-1"]) || !isRunning(r.children()["core-zone-1"]) {
		t.Errorf("the others ended too\n%s", r.output())
	}
	if err := r.signalAndWait(os.Interrupt); err != nil {
		t.Fatalf("interrupted: %v\n%s", err, r.output())
	}
	r.checkNothingLeft(3)
}

// TestLocalInterruptedWhileItStarts: nothing is left, and that is no error.
func TestLocalInterruptedWhileItStarts(t *testing.T) {
	t.Parallel()
	r := startLocal(t, t.TempDir(), "--zones", "1", "--port", "22140", "--net", strconv.Itoa(network(0)))
	r.awaitLine("started edge-zone-1-1")
	if err := r.signalAndWait(os.Interrupt); err != nil {
		t.Fatalf("interrupted: %v\n%s", err, r.output())
	}
	r.checkNothingLeft(3)
}

// TestLocalProcessCannotStart: a process that ends at once ends the whole, and is named.
func TestLocalProcessCannotStart(t *testing.T) {
	t.Parallel()
	r := startLocal(t, t.TempDir(), "--port", "22020", "--net", strconv.Itoa(network(0)), "--setting", "tuning.no_such_name=1")
	select {
	case err := <-r.exited:
		if err == nil {
			t.Error("ended without an error")
		}
	case <-time.After(time.Minute):
		t.Fatalf("did not end\n%s", r.output())
	}
	r.checkNothingLeft(9)
	if out := r.output(); !strings.Contains(out, "no_such_name") || !strings.Contains(out, "before the deployment was ready") {
		t.Errorf("the reason is not told\n%s", out)
	}
}

// TestLocalAddressTaken: what runs at the addresses already is found before anything starts.
func TestLocalAddressTaken(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp", fmt.Sprintf("127.0.%d.1:22060", network(0)))
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	var output bytes.Buffer
	plan := Plan{Dir: t.TempDir(), Zones: 1, Edges: 1, Base: 22060, Net: network(0)}
	err = Run(t.Context(), Options{Plan: plan, Programs: "/nonexistent", ReadyTimeout: time.Second, Output: &output})
	if err == nil || !strings.Contains(err.Error(), "--port") || output.Len() > 0 {
		t.Fatalf("error %v, output %q", err, output.String())
	}
}

// TestWriteKeepsOtherDeployment: a folder's data is not taken for another deployment's.
func TestWriteKeepsOtherDeployment(t *testing.T) {
	plan := Plan{Dir: t.TempDir(), Zones: 3, Edges: 1, Base: 21800, Net: 8}
	if _, err := Write(plan); err != nil {
		t.Fatal(err)
	}
	again := plan
	again.Extra = []string{"log.level=warn"}
	if _, err := Write(again); err != nil {
		t.Errorf("the same deployment with another log level: %v", err)
	}
	for what, change := range map[string]func(*Plan){
		"kind":  func(p *Plan) { p.Queue = true },
		"zones": func(p *Plan) { p.Zones = 5 },
		"port":  func(p *Plan) { p.Base = 21900 },
		"net":   func(p *Plan) { p.Net = 9 },
	} {
		other := plan
		change(&other)
		if _, err := Write(other); !errors.Is(err, ErrOtherDeployment) {
			t.Errorf("another %s: %v", what, err)
		}
	}
}
