package soak

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"oxbowdeck/internal/childprocess"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/transport"
)

// programsDir is where the programs are, once built.
var programsDir string

var buildPrograms = sync.OnceValue(func() error {
	return childprocess.BuildPrograms(programsDir, buildFlags...)
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

// shortTroubles overlap: an edge is frozen and a store killed while another's answers are lost
// and control is split, settings change while a process restarts, and all ends in the dark.
var shortTroubles = []Trouble{
	{At: second, For: 2 * second, Kind: Freeze, Class: Edge, Place: 0},
	{At: 1500 * time.Millisecond, For: second, Kind: Kill, Class: Store, Place: 1},
	{At: 2 * second, For: 1500 * time.Millisecond, Kind: Split, Class: Core},
	{At: 3 * second, For: second, Kind: LoseAnswers, Class: Store, Place: 2},
	{At: 3500 * time.Millisecond, For: second, Kind: Terminate, Class: Edge, Place: 1},
	{At: 4 * second, For: tenth, Kind: Hangup, Class: Edge, Place: 1},
	{At: 4500 * time.Millisecond, For: second, Kind: Truncate, Class: Store, Place: 0},
	{At: 5 * second, For: second, Kind: KillAll},
}

// playShort plays the short plan on a deployment of a kind.
func playShort(t *testing.T, shape Shape, port int) *Report {
	t.Helper()
	shape.Seed, shape.For, shape.Zones, shape.Edges = 1, 6*second, 3, 1
	plan := Plan{Shape: shape, Troubles: shortTroubles}
	if shape.Queue {
		plan.Troubles = append([]Trouble{
			{At: tenth, For: 2 * second, Kind: WorkerCut}, {At: 2 * tenth, For: second, Kind: WorkerReplace},
		}, plan.Troubles...)
	}
	return playPlan(t, plan, port)
}

// playPlan plays a plan, and fails the test for each violation.
func playPlan(t *testing.T, plan Plan, port int) *Report {
	t.Helper()
	if err := buildPrograms(); err != nil {
		t.Fatal(err)
	}
	report, err := Run(t.Context(), Config{
		Dir: t.TempDir(), Programs: programsDir, Shape: plan.Shape, Plan: &plan,
		Net: 200 + os.Getpid()%50, Port: port, Output: io.Discard,
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range report.Violations {
		t.Error(v)
	}
	return report
}

// TestShortSoakOfTopics: real processes, clients, operators and overlapping troubles.
func TestShortSoakOfTopics(t *testing.T) {
	counts := playShort(t, Shape{Tenants: true}, 24000).Counts
	if counts["publishes acknowledged"] < 200 || counts["deliveries"] < 500 || counts["orders answered 200"] < 5 {
		t.Errorf("too little happened: %v", counts)
	}
}

// TestShortSoakOfAQueue: the same of messages, with workers that misbehave.
func TestShortSoakOfAQueue(t *testing.T) {
	counts := playShort(t, Shape{Queue: true}, 24100).Counts
	if counts["messages accepted"] < 100 || counts["runs"] < 100 || counts["orders answered 200"] < 5 {
		t.Errorf("too little happened: %v", counts)
	}
}

// plannedWorkPlan is work of operators that overlaps: stores are emptied while one restarts, a
// control process restarts and settings change.
var plannedWorkPlan = []Trouble{
	{At: second, For: tenth, Kind: Retire, Class: Store, Place: 0},
	{At: 2 * second, For: second, Kind: Terminate, Class: Core, Place: 0},
	{At: 3 * second, For: second, Kind: Terminate, Class: Store, Place: 1},
	{At: 4 * second, For: tenth, Kind: Retire, Class: Store, Place: 1},
	{At: 5 * second, For: tenth, Kind: Hangup, Class: Store, Place: 0},
	{At: 6 * second, For: tenth, Kind: Retire, Class: Store, Place: 0},
}

// TestShortSoakOfPlannedWork guards against messages that run again after a success, and orders
// that come to no end, while operators work on a queue and nothing is in trouble.
func TestShortSoakOfPlannedWork(t *testing.T) {
	shape := Shape{Seed: 1, For: 7 * second, Zones: 3, Edges: 1, Queue: true, Planned: true}
	report := playPlan(t, Plan{Shape: shape, Troubles: plannedWorkPlan}, 24200)
	if c := report.Counts; c["runs"] < 500 || c["stores retired"] != 3 {
		t.Errorf("too little happened: %v", c)
	}
}

// TestPlansAreDrawnFromTheSeed: one seed gives one plan, another another; a plan is read as it
// was written; no plan loses more disks than are borne.
func TestPlansAreDrawnFromTheSeed(t *testing.T) {
	path := filepath.Join(t.TempDir(), "plan.json")
	for seed := range uint64(60) {
		shape := Shape{Seed: seed, For: time.Minute, Zones: 3 + 2*int(seed%2), Edges: 1, Queue: seed%3 == 0}
		plan := Draw(shape)
		if fmt.Sprint(plan) != fmt.Sprint(Draw(shape)) {
			t.Fatalf("seed %d gives two plans", seed)
		}
		shape.Seed++
		if fmt.Sprint(plan.Troubles) == fmt.Sprint(Draw(shape).Troubles) {
			t.Fatalf("seeds %d and %d give one plan", seed, seed+1)
		}
		if err := plan.Save(path); err != nil {
			t.Fatal(err)
		}
		if again, err := Load(path); err != nil || fmt.Sprint(again) != fmt.Sprint(plan) {
			t.Fatalf("%v: read %v", err, again)
		}
		checkLosses(t, plan)
	}
}

// checkLosses counts what is lost of a class at each moment at which one of its disks is.
func checkLosses(t *testing.T, plan Plan) {
	t.Helper()
	for _, moment := range plan.Troubles {
		for _, class := range counted {
			lost, diskLost := 0, false
			for _, o := range plan.Troubles {
				if o.At <= moment.At && moment.At < o.end() {
					lost += o.strikes(plan.Shape, class)
					diskLost = diskLost || o.losesDisk() && o.Class == class
				}
			}
			if diskLost && lost > plan.Shape.Losses() {
				t.Errorf("seed %d: %d of class %s are lost at %v, with a disk", plan.Shape.Seed, lost, class, moment.At)
			}
		}
	}
}

// leavingWorkersPlan has workers spoil answers while others leave, and restarts every store, as
// planned work, once nothing has been in trouble for contactTime.
var leavingWorkersPlan = []Trouble{
	{At: 5 * tenth, For: 2 * second, Kind: WorkerSpoil},
	{At: second, For: 3 * second, Kind: WorkerLeave, Place: 0},
	{At: 4 * second, For: 9 * second, Kind: WorkerDrain, Place: 3},
	{At: 5 * second, For: 9 * second, Kind: WorkerDrain, Place: 1},
	{At: 6 * second, For: 5 * second, Kind: WorkerLeave, Place: 2},
	{At: 14 * second, For: second, Kind: Terminate, Class: Store, Place: 0},
	{At: 16 * second, For: second, Kind: Terminate, Class: Store, Place: 1},
	{At: 18 * second, For: second, Kind: Terminate, Class: Store, Place: 2},
}

// TestShortSoakOfLeavingWorkers guards against spoiled answers that keep other messages from
// ending, and against messages that wait for a worker that leaves while another is idle.
func TestShortSoakOfLeavingWorkers(t *testing.T) {
	shape := Shape{Seed: 1, For: 18 * second, Zones: 3, Edges: 1, Queue: true}
	report := playPlan(t, Plan{Shape: shape, Troubles: leavingWorkersPlan}, 24300)
	if c := report.Counts; c["runs"] < 500 || c["workers that left"] != 4 || c["answers that are spoiled"] < 5 {
		t.Errorf("too little happened: %v", c)
	}
}

// echoServer answers what it gets.
func echoServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { io.Copy(c, c); c.Close() }()
		}
	}()
	return listener.Addr().String()
}

// TestRelay: bytes pass, wait while there is a cut, go on after it, and are lost by a reset.
func TestRelay(t *testing.T) {
	server := echoServer(t)
	relay, err := NewRelay("127.0.0.1:24299")
	if err != nil {
		t.Fatal(err)
	}
	defer relay.Close()
	c, err := net.Dial("tcp", relay.Address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.Write([]byte("a " + server + "\n"))
	expect := func(want string, within time.Duration) {
		t.Helper()
		buffer := make([]byte, len(want))
		c.SetReadDeadline(time.Now().Add(within))
		if n, err := io.ReadFull(c, buffer); string(buffer[:n]) != want {
			t.Fatalf("got %q (%v), want %q", buffer[:n], err, want)
		}
	}
	expect(string(transport.RelayConnected), second)
	c.Write([]byte("one"))
	expect("one", second)
	lift := relay.impose(when(func(from, _ ids.Node) bool { return from == "a" }, effect{cut: true}))
	c.Write([]byte("two"))
	c.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	if n, err := c.Read(make([]byte, 1)); n > 0 || err == nil || !strings.Contains(err.Error(), "timeout") {
		t.Fatalf("%d bytes passed a cut, %v", n, err)
	}
	lift()
	expect("two", second)
	relay.reset(func(from, _ ids.Node) bool { return from == "a" })
	c.SetReadDeadline(time.Now().Add(second))
	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Fatal("it stands after a reset")
	}
}
