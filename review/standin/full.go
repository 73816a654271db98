package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// Bounds of the case of a store whose disk is nearly full.
const (
	diskLimit    = 310 // MB of disk that each process is told it has
	diskUsed     = 290 // MB of it that are in use at one store
	fullRate     = 300 // messages a second
	fullRestarts = 3
	graceTime    = 6 * time.Second
	restartPause = 6 * time.Second
)

// fullCase has one store's disk filled up to 94%: it takes every write, and its store
// takes no new messages. Then the store that leads before it is restarted in order, as
// planned work does. No message may run again after a success that its sender read.
func fullCase(r *run) (bool, error) {
	d, err := newDeployment(r, shape{zones: 4, stores: 1, edges: 1, queue: true, losses: 1})
	if err != nil {
		return false, err
	}
	if err := d.startAll(); err != nil {
		return false, err
	}
	if err := d.putConfiguration(0, queueConfiguration(), 20*time.Second); err != nil {
		return false, err
	}
	all := &runs{}
	for i := range 4 {
		w, err := startWorker(d, all, i, i%4, 16, workTime)
		if err != nil {
			return false, err
		}
		defer w.stop()
	}
	if err := d.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	leader, next := d.successors()
	if leader == nil || next == nil {
		return false, errors.New("no control process tells who leads")
	}
	d.note("%s leads a shard, %s comes next there", leader.name, next.name)
	if r.trouble {
		if err := next.fillDisk(); err != nil {
			return false, err
		}
		d.note("the disk of %s is in use to %d of %d MB", next.name, diskUsed, diskLimit)
	}
	s := startSenders(d, fullRate, 2500)
	time.Sleep(6 * time.Second)
	for range fullRestarts {
		if r.trouble {
			d.restart(leader)
		}
		time.Sleep(restartPause)
	}
	s.stop()
	time.Sleep(settleTime)
	d.recordEvents()
	return judgeTwice(r, all), nil
}

// fillDisk has a store's folder hold so much more.
func (p *process) fillDisk() error {
	path := filepath.Join(p.dataDir, "other-data")
	if err := os.WriteFile(path, nil, 0o644); err != nil {
		return err
	}
	return os.Truncate(path, diskUsed<<20)
}

// successors gives the store that leads the first shard, and the one that comes next there.
func (d *deployment) successors() (leader, next *process) {
	for _, p := range d.controls {
		st, raw, err := d.readStatus(p)
		if err != nil || len(st.Shards) == 0 || len(st.Shards[0].Voters) < 2 {
			continue
		}
		d.line("operator: the status of %s: %s", p.name, raw)
		for _, store := range d.stores {
			switch fmt.Sprintf("%s:%d", store.ip, d.base+portInternalFirst+1) {
			case st.Shards[0].Voters[0].Node:
				leader = store
			case st.Shards[0].Voters[1].Node:
				next = store
			}
		}
		return leader, next
	}
	return nil, nil
}

// restart stops a process as the platform does, and starts it again.
func (d *deployment) restart(p *process) {
	d.note("platform: SIGTERM to %s", p.name)
	p.signal(syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(graceTime):
		d.note("platform: SIGKILL to %s", p.name)
		p.kill()
	}
	d.note("platform: %s has ended and is started again", p.name)
	if err := p.start(); err != nil {
		d.note("%s: %v", p.name, err)
	}
}
