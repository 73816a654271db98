package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"oxbowdeck/internal/errs"
	"oxbowdeck/internal/storage"
)

// Config says how a run is made.
type Config struct {
	Dir      string // for settings, data, plan, logs and findings; must not exist
	Programs string // folder of the programs
	Shape    Shape
	Plan     *Plan // nil: drawn from the shape's seed
	Net      int   // addresses are 127.0.NET.x
	Port     int   // first port
	Output   io.Writer
}

// Report is what came of a run.
type Report struct {
	Plan       Plan
	Took       time.Duration
	Counts     map[string]int
	Violations []Violation
}

// Files of a run in its folder.
const (
	planFile     = "plan.json"
	eventsFile   = "events.log"
	processFile  = "processes.log"
	readyTimeout = 60 * time.Second
	calmTime     = 6 * time.Second // after the last trouble, before the end is judged
	pickupTime   = 30 * time.Second
)

// run is a run under way.
type run struct {
	config     Config
	plan       Plan
	history    *History
	deployment *deployment
	logs       *logReader
	operators  *operators

	topics  *TopicHistory
	clients []*topicClient
	queue   *QueueHistory
	workers *workerFleet
}

// Run makes one run. Its folder keeps all there is to know of it.
func Run(ctx context.Context, config Config) (*Report, error) {
	if err := os.MkdirAll(config.Dir, 0o755); err != nil {
		return nil, errs.Wrap("soak", config.Dir, err)
	}
	events, err := os.Create(filepath.Join(config.Dir, eventsFile))
	if err != nil {
		return nil, errs.Wrap("soak", config.Dir, err)
	}
	defer events.Close()
	processes, err := os.Create(filepath.Join(config.Dir, processFile))
	if err != nil {
		return nil, errs.Wrap("soak", config.Dir, err)
	}
	defer processes.Close()
	x := &run{config: config}
	if config.Plan != nil {
		x.plan = *config.Plan
	} else {
		x.plan = Draw(config.Shape)
	}
	x.config.Shape = x.plan.Shape
	if err := x.plan.Save(filepath.Join(config.Dir, planFile)); err != nil {
		return nil, err
	}
	x.history = newHistory(io.MultiWriter(events, config.Output))
	x.logs = &logReader{to: processes, history: x.history}
	if x.deployment, err = newDeployment(x.config, x.logs, x.history); err != nil {
		return nil, err
	}
	defer x.deployment.relay.Close()
	return x.play(ctx)
}

// play starts the deployment, has it used and struck, and judges the end.
func (x *run) play(ctx context.Context) (*Report, error) {
	began := time.Now()
	defer x.killAll()
	x.operators = &operators{deployment: x.deployment, history: x.history, shape: x.plan.Shape, began: time.Now()}
	for _, m := range x.deployment.all() {
		x.deployment.start(m)
	}
	x.strikeStart()
	if err := x.begin(ctx); err != nil {
		return nil, err
	}
	x.deployment.founded()
	base := x.deployment.usages()
	x.history.began = time.Now()
	stop := make(chan struct{})
	var using sync.WaitGroup
	x.use(&using, stop)
	director := &director{deployment: x.deployment, history: x.history, workers: x.workers}
	director.play(ctx, x.plan)
	x.history.note("all troubles are over")
	if ctx.Err() != nil {
		close(stop)
		return nil, errs.Wrap("soak", x.config.Dir, ctx.Err())
	}
	time.Sleep(calmTime)
	close(stop)
	using.Wait()
	x.judge(base)
	x.deployment.writeRecords()
	x.stopInOrder()
	return &Report{
		Plan: x.plan, Took: time.Since(began), Counts: x.history.Counts(), Violations: x.history.Violations(),
	}, nil
}

// strikeStart kills processes while the deployment is founded, beside what follows.
func (x *run) strikeStart() {
	d := x.deployment
	for _, t := range x.plan.Start {
		m := d.at(t.Class, t.Place)
		time.AfterFunc(t.At, func() {
			x.history.note("while it starts: %s", t)
			defer x.history.calendar.begin()()
			d.down(m, false)
			m.mu.Lock()
			d.notFirst(m)
			m.mu.Unlock()
			time.Sleep(t.For)
			d.up(m)
		})
	}
}

// begin gives the first configuration and waits until clients are served.
func (x *run) begin(ctx context.Context) error {
	if x.plan.Shape.Queue {
		x.queue = newQueueHistory(x.history)
		x.workers = newWorkerFleet(x.deployment, x.queue)
		if err := x.workers.start(); err != nil {
			return errs.Wrap("start workers", "", err)
		}
	} else {
		x.topics = newTopicHistory(x.history)
	}
	deadline := time.Now().Add(readyTimeout)
	random := rand.New(rand.NewPCG(x.plan.Shape.Seed, 1))
	for x.operators.known() == 0 {
		if time.Now().After(deadline) || ctx.Err() != nil {
			return errs.Errorf("soak", x.config.Dir, "the first configuration was not taken in time")
		}
		x.operators.put(random, 0, 1, "first")
	}
	for _, m := range x.deployment.machinesOf(Edge) {
		url := "http://" + m.process.Ready + "/v1/readiness"
		for call(http.MethodGet, url, nil, nil).status != http.StatusOK {
			if time.Now().After(deadline) || ctx.Err() != nil {
				return errs.Errorf("soak", m.name(), "it was not ready in time")
			}
			time.Sleep(tenth)
		}
	}
	return nil
}

// use has clients, operators and abusers use the deployment until stop is closed.
func (x *run) use(using *sync.WaitGroup, stop chan struct{}) {
	seed, fronts := x.plan.Shape.Seed, x.deployment.fronts
	using.Go(func() { x.operators.run(stop, seed) })
	a := &abusers{fronts: fronts, history: x.history, queue: x.plan.Shape.Queue}
	if x.plan.Shape.Tenants {
		a.key = tenants[2].key
	}
	using.Go(func() { a.run(stop, seed) })
	if x.queue != nil {
		asks := &asker{history: x.queue, fronts: fronts, keyOf: keyOfTenant}
		using.Go(func() { asks.run(stop, seed) })
		for i := range x.plan.Shape.senders() {
			s := &sender{number: i, history: x.queue, fronts: fronts, random: rand.New(rand.NewPCG(seed, uint64(i)))}
			if x.plan.Shape.Tenants {
				s.tenant = tenantOfClient(i)
			}
			using.Go(func() { s.run(stop) })
		}
		return
	}
	for i := range topicClients {
		key := ""
		if x.plan.Shape.Tenants {
			key = tenantOfClient(i).key
			x.topics.tenants[fmt.Sprintf("client%d", i)] = tenantOfClient(i).label
		}
		client := newTopicClient(i, seed, key, x.topics, fronts, stop)
		client.rests = x.plan.Shape.SmallTables
		x.clients = append(x.clients, client)
	}
	for _, c := range x.clients {
		using.Go(func() { c.run(x.pickedUp(stop)) })
	}
}

// pickedUp tells a client when it may end: once all that is owed came, or after pickupTime.
func (x *run) pickedUp(stop chan struct{}) func() bool {
	var deadline, lookAt time.Time
	complete := false
	return func() bool {
		select {
		case <-stop:
		default:
			return false
		}
		now := time.Now()
		if deadline.IsZero() {
			deadline = now.Add(pickupTime)
			lookAt = now.Add(second)
		}
		if now.After(lookAt) {
			lookAt = now.Add(second)
			complete = x.topics.complete()
		}
		return complete || now.After(deadline)
	}
}

// judge judges what can be told at the end alone.
func (x *run) judge(base map[string]usage) {
	x.operators.checkEnd()
	if x.queue != nil {
		x.queue.checkEnd(x.deployment.fronts, keyOfTenant)
		x.workers.stop()
	} else {
		x.topics.checkEnd()
	}
	x.deployment.checkInvariants()
	x.deployment.checkUsages(base)
}

func keyOfTenant(label string) string {
	for _, t := range tenants {
		if t.label == label {
			return t.key
		}
	}
	return ""
}

// stopInOrder ends every process in order and looks through the data that they leave.
func (x *run) stopInOrder() {
	x.deployment.stopAll()
	for _, m := range x.deployment.all() {
		if m.class == Edge || m.gone {
			continue
		}
		for _, fault := range storage.Check(x.deployment.dataPath(m.process)).Faults {
			x.history.violate("DATA", "%s: %s", m.name(), fault)
		}
	}
}

// killAll leaves no process.
func (x *run) killAll() {
	for _, m := range x.deployment.all() {
		x.deployment.down(m, false)
	}
}

// logReader passes the processes' logs on and looks for what must not be in them.
type logReader struct {
	to      io.Writer
	history *History
}

var alarming = [][]byte{
	[]byte("msg=invariant-violated"), []byte("panic:"), []byte("fatal error:"), []byte("msg=fatal"),
	[]byte("DATA RACE"),
}

// Write takes whole lines.
func (r *logReader) Write(line []byte) (int, error) {
	for _, text := range alarming {
		if bytes.Contains(line, text) {
			r.history.violate("PROCESS", "%s", bytes.TrimSpace(line))
		}
	}
	return r.to.Write(line)
}
