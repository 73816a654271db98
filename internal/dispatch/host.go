// Package dispatch sends the messages of the shards led here to workers. A
// shard's leader reserves a worker's slot for a message, has the beginning of the
// attempt decided, sends it, and has what became of it decided. So whoever leads
// next knows from the log what may be running, and lets it end before it sends
// the message, or the next of its sequence, again.
package dispatch

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"oxbowdeck/internal/codec"
	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
	"oxbowdeck/internal/queue"
	"oxbowdeck/internal/quota"
	"oxbowdeck/internal/transport"
)

// How often a host works, at the least.
const (
	stepInterval = ids.Millis(200)
	tidyInterval = ids.Millis(250) // of the pools of connections
)

// idleForever is later than any idle connection is kept.
const idleForever = time.Hour

// Bounds of a host; all come from the settings.
type Bounds struct {
	BatchDelay    ids.Millis    // beginnings and ends are gathered for so long
	StartDeadline ids.Millis    // an attempt whose beginning took longer to be decided is not sent
	DialTimeout   time.Duration // to a worker
	EjectFor      ids.Millis    // a worker that fails is left alone for so long at first
	ReportFor     ids.Millis    // how messages ended is told for so long
}

// Group is what a host asks of the replica of one group.
type Group interface {
	Lead() (n ids.Node, here bool)
	Time(now ids.Millis) ids.Millis // the decided time, of a leader
	Fresh(now ids.Millis) bool      // of a leader: it hears a majority
	Submit(r paxos.Request) error
}

// Environment is what a host needs of the process it runs in.
type Environment struct {
	Self   controlapi.Node
	Do     func(func()) // queues a command for the actor
	Send   func(to ids.Node, k transport.Kind, v any)
	Group  func(ids.Group) Group
	Full   func() bool // nothing new is to be taken
	Now    func() ids.Millis
	Run    func(a *Attempt, p *Pool, done func(Result)) // sends an attempt, elsewhere than on the actor
	Rand   *rand.Rand
	Bounds Bounds
	// Reserved takes it that a reservation was applied to a group's state; nil where
	// tenants are not limited.
	Reserved func(group ids.Group, reserve *quota.Reserve, granted int)
}

// Host is all shards of a process, and the workers it sends to. Its methods run
// on one actor.
type Host struct {
	Environment
	shards   map[ids.Group]*Shard
	config   *controlapi.Config
	update   *controlapi.Update
	workers  map[string]*worker
	services map[string]*service
	origin   string // of the commands that this process submits
	seq      uint64 // of the last of them
	nextTidy ids.Millis
	// firstShard counts the steps: shards share the workers' room, so each comes first in turn.
	firstShard int
}

// New makes a host.
func New(environment Environment) *Host {
	self := environment.Self
	return &Host{
		Environment: environment,
		shards:      map[ids.Group]*Shard{},
		config:      &controlapi.Config{},
		workers:     map[string]*worker{},
		services:    map[string]*service{},
		origin:      "run/" + string(self.Addr) + "/" + ids.Cursor(0, ids.Position(self.Incarnation)),
	}
}

// Open makes the machine of a group's replica.
func (h *Host) Open(group ids.Group) *Shard {
	shard := newShard(h, group)
	h.shards[group] = shard
	return shard
}

// Close forgets a group whose replica ended.
func (h *Host) Close(group ids.Group) { delete(h.shards, group) }

// Step does what is due; it returns when it is next needed.
func (h *Host) Step(now ids.Millis) ids.Millis {
	if now >= h.nextTidy {
		h.nextTidy = now + tidyInterval
		h.tidyPools()
	}
	next := now + stepInterval
	groups := slices.Sorted(maps.Keys(h.shards))
	for i := range groups {
		group := groups[(h.firstShard+i)%len(groups)]
		next = min(next, h.shards[group].step(now))
	}
	h.firstShard++
	return next
}

// tidyPools closes connections that have been idle for too long; all of them when
// nothing is led here, since their room is others' then.
func (h *Host) tidyPools() {
	leads := false
	for _, shard := range h.shards {
		leads = leads || shard.leading
	}
	at := time.Now()
	if !leads {
		at = at.Add(idleForever)
	}
	for _, w := range h.workers {
		w.pool.tidy(at)
	}
}

// UnderWay counts the attempts that this process began, or is about to, and the ends of attempts
// that are not known to be decided.
func (h *Host) UnderWay() (attempts, ends int) {
	for _, shard := range h.shards {
		attempts += len(shard.reservations)
		ends += len(shard.ends)
	}
	return attempts, ends
}

// request makes a request of a command.
func (h *Host) request(command queue.Command) (paxos.Request, error) {
	h.seq++
	data, err := codec.Marshal(command)
	return paxos.Request{ID: paxos.ID{Origin: h.origin, Seq: h.seq}, Data: data}, err
}

// shardCount is how many shards the deployment has, as far as is known.
func (h *Host) shardCount() int {
	if h.update == nil {
		return 1
	}
	return max(1, len(h.update.Shards))
}
