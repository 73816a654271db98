package main

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"regexp"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of the case of a store that is emptied while the others have no room.
const (
	memoryLook    = 10 * time.Millisecond  // between the platform's looks at the memory
	memoryRestart = 500 * time.Millisecond // from the end of a process to its next start
	memoryWatch   = 24 * time.Second       // from the order on
	memoryAsked   = 100                    // messages whose bytes are asked for
	memoryAskFor  = 8 * time.Second        // again and again, for so long
	askers        = 16
)

// acceptedMessage is a message that was answered 202.
type acceptedMessage struct {
	id   string
	name string // it is asked for by
	body [sha256.Size]byte
	sent time.Time
}

func (d *deployment) keep(m acceptedMessage) {
	d.acceptedMu.Lock()
	defer d.acceptedMu.Unlock()
	d.accepted = append(d.accepted, m)
}

var anonLine = regexp.MustCompile(`RssAnon:\s+(\d+) kB`)

// anonKB is the memory that a process has for itself, without the pages of files.
func anonKB(pid int) int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	found := anonLine.FindSubmatch(text)
	if found == nil {
		return 0
	}
	n, _ := strconv.Atoi(string(found[1]))
	return n
}

// memoryPlatform ends each store that takes more memory than it was told it has, and
// starts it again.
type memoryPlatform struct {
	d    *deployment
	quit atomic.Bool
	all  sync.WaitGroup

	mu   sync.Mutex
	most map[string]int // KB
	ends map[string]int
}

func startMemoryPlatform(d *deployment) *memoryPlatform {
	m := &memoryPlatform{d: d, most: map[string]int{}, ends: map[string]int{}}
	for _, p := range d.stores {
		m.all.Go(func() { m.watch(p) })
	}
	return m
}

func (m *memoryPlatform) watch(p *process) {
	removed := false
	for !m.quit.Load() && !removed {
		time.Sleep(memoryLook)
		if p.hasEnded() {
			_, err := os.Stat(p.dataDir)
			removed = err != nil
			continue
		}
		kb := anonKB(p.command.Process.Pid)
		m.mu.Lock()
		m.most[p.name] = max(m.most[p.name], kb)
		m.mu.Unlock()
		if kb <= fullMemory<<10 {
			continue
		}
		p.kill()
		m.mu.Lock()
		m.ends[p.name]++
		m.mu.Unlock()
		m.d.note("platform: %s takes %d MB, more than its %d MB, and is killed", p.name, kb>>10, fullMemory)
		time.Sleep(memoryRestart)
		if !m.quit.Load() {
			p.start()
		}
	}
}

// stop ends the watch, and tells how often each store ended, and the most it took in MB.
func (m *memoryPlatform) stop() (ends, most map[string]int) {
	m.quit.Store(true)
	m.all.Wait()
	most = map[string]int{}
	for name, kb := range m.most {
		most[name] = kb >> 10
	}
	return m.ends, most
}

// memoryCase hands in delayed messages until the stores have no room for more, has one
// store emptied, and looks whether the others keep to their memory, and whether what was
// accepted can still be asked for.
func memoryCase(r *run) (bool, error) {
	d, err := newDeployment(r, shape{
		zones: 3, stores: 2, edges: 1, queue: true, losses: 1, memoryMB: fullMemory, diskMB: fullDisk,
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
	if err := d.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	platform := startMemoryPlatform(d)
	later := func() time.Duration { return largeDelay }
	began := time.Now()
	for n, full := 0, 0; full < 2; n++ {
		got := d.handIn(fmt.Sprintf("large-%d", n), largeOnes, largeBytes, later)
		if got[202] == 0 {
			full++
		}
		if time.Since(began) > largeDelay/2 {
			return false, errors.New("the stores are not full in time")
		}
	}
	d.note("%d messages are accepted, and no more", len(d.accepted))
	ordered := time.Now()
	if r.trouble {
		switch err := d.retire(d.busiestStore()); {
		case errors.Is(err, errNotEmptied):
			d.note("operator: %v", err)
		case err != nil:
			return false, err
		}
	}
	time.Sleep(time.Until(ordered.Add(memoryWatch)))
	lost := d.askForBodies()
	ends, most := platform.stop()
	d.note("most memory of the stores in MB: %v; killed for it: %v", most, ends)
	d.note("of %d messages that have not ended the bytes of %d did not come", memoryAsked, lost)
	return lost > 0, nil
}

// busiestStore gives the store that has a vote in the most shards.
func (d *deployment) busiestStore() *process {
	best, most := d.stores[0], 0
	st, raw, err := d.readStatus(d.controls[0])
	if err != nil {
		return best
	}
	d.line("operator: the status: %s", raw)
	for _, store := range d.stores {
		votes := 0
		for _, shard := range st.Shards {
			for _, voter := range shard.Voters {
				if voter.Node == fmt.Sprintf("%s:%d", store.ip, d.base+portInternalFirst+1) {
					votes++
				}
			}
		}
		if votes > most {
			best, most = store, votes
		}
	}
	return best
}

// askForBodies asks for the bytes of accepted messages whose time has not come, again
// after each failure, and counts those that did not come.
func (d *deployment) askForBodies() int {
	d.acceptedMu.Lock()
	rand.Shuffle(len(d.accepted), func(i, j int) { d.accepted[i], d.accepted[j] = d.accepted[j], d.accepted[i] })
	asked := d.accepted[:min(memoryAsked, len(d.accepted))]
	d.acceptedMu.Unlock()
	until := time.Now().Add(memoryAskFor)
	var lost atomic.Int64
	var all sync.WaitGroup
	next := make(chan acceptedMessage)
	for range askers {
		all.Go(func() {
			for m := range next {
				if !d.askForBody(m, until) {
					lost.Add(1)
				}
			}
		})
	}
	for _, m := range asked {
		next <- m
	}
	close(next)
	all.Wait()
	return int(lost.Load())
}

// askForBody asks for a message's bytes until they come.
func (d *deployment) askForBody(m acceptedMessage, until time.Time) bool {
	for i := 0; ; i++ {
		edge := d.edges[i%len(d.edges)]
		code, body, err := call("GET", "http://"+d.front(edge)+"/v1/message-body/"+m.name, nil, nil, 2*time.Second)
		if err == nil && code == 200 && sha256.Sum256(body) == m.body {
			return true
		}
		d.line("client at %s: the bytes of %s, sent %v ago: %d %v", edge.name, m.id, time.Since(m.sent).Round(time.Second), code, err)
		if time.Now().After(until) {
			return false
		}
		time.Sleep(100 * time.Millisecond)
	}
}
