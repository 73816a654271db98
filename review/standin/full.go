package main

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Bounds of the case of stores that have no room.
const (
	fullMemory   = 144                    // MB of memory of a store
	fullDisk     = 510                    // MB of its disk
	fullWork     = 300 * time.Millisecond // of a message: well within the guard time
	smallOnes    = 1500                   // messages that come due around the restart
	smallBytes   = 300
	largeOnes    = 300 // at a time
	largeBytes   = 13000
	largeDelay   = 85 * time.Second
	smallDelay   = 28 * time.Second
	restartAfter = 1200 * time.Millisecond // after the small ones' time
	watchRuns    = 14 * time.Second
	graceTime    = 6 * time.Second
	handingIn    = 48 // clients
)

var errNotFull = errors.New("the stores are not full")

// fullCase hands in delayed messages until the stores have no room for more, restarts one
// store in order while other messages run, and looks for runs after a success.
func fullCase(r *run) (bool, error) {
	d, err := newDeployment(r, shape{
		zones: 3, stores: 1, edges: 1, queue: true, losses: 1, memoryMB: fullMemory, diskMB: fullDisk,
	})
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
	for i := range 3 {
		w, err := startWorker(d, all, i, i, 60, fullWork)
		if err != nil {
			return false, err
		}
		defer w.stop()
	}
	if err := d.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	due := time.Now().Add(smallDelay)
	got := d.handIn("small", smallOnes, smallBytes, func() time.Duration { return time.Until(due) })
	d.note("%d messages are accepted, due in %.1f s", got[202], time.Until(due).Seconds())
	later := func() time.Duration { return largeDelay }
	for n := 0; ; n++ {
		got := d.handIn(fmt.Sprintf("large-%d", n), largeOnes, largeBytes, later)
		d.note("of %d messages of %d bytes %d are accepted, %d refused with 503", largeOnes, largeBytes, got[202], got[503])
		if got[202] == 0 {
			break
		}
		if time.Until(due) < 3*time.Second {
			return false, errNotFull
		}
	}
	time.Sleep(time.Until(due) + restartAfter)
	if got := d.handIn("probe", 3, smallBytes, later); got[503] != 3 {
		return false, errNotFull
	}
	if r.trouble {
		d.restart(d.stores[0])
	}
	time.Sleep(watchRuns)
	return judgeTwice(r, all), nil
}

// handIn hands in messages at the edges in turn, each on a connection of its own, and
// counts the answers.
func (d *deployment) handIn(name string, count, size int, delay func() time.Duration) map[int]int {
	client := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	got := map[int]int{}
	var mu sync.Mutex
	var clients sync.WaitGroup
	next := make(chan int)
	for range handingIn {
		clients.Go(func() {
			for i := range next {
				code := d.handInOne(&client, d.edges[i%len(d.edges)], fmt.Sprintf("%s-%d", name, i), size, delay())
				mu.Lock()
				got[code]++
				mu.Unlock()
			}
		})
	}
	for i := range count {
		next <- i
	}
	close(next)
	clients.Wait()
	return got
}

// handInOne hands in one delayed message; 0: no answer.
func (d *deployment) handInOne(client *http.Client, edge *process, id string, size int, delay time.Duration) int {
	body := make([]byte, size)
	for i := range body {
		body[i] = byte(rand.IntN(256))
	}
	request, err := http.NewRequest("POST", "http://"+d.front(edge)+"/rooms/"+id, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	request.Host = "rooms.example"
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Defer-Ms", strconv.FormatInt(max(0, delay.Milliseconds()), 10))
	sent := time.Now()
	response, err := client.Do(request)
	if err != nil {
		d.line("client at %s: %s: %v", edge.name, id, err)
		return 0
	}
	response.Body.Close()
	name := response.Header.Get("X-Message-Id")
	d.line("client at %s: %s: %d %s", edge.name, id, response.StatusCode, name)
	if response.StatusCode == http.StatusAccepted {
		d.keep(acceptedMessage{id: id, name: name, body: sha256.Sum256(body), sent: sent})
	}
	return response.StatusCode
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
