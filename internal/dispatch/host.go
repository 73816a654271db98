// Package dispatch sends the messages of the shards led here to workers. A
// shard's leader books a worker's room for a message, has the beginning of the
// attempt decided, sends it, and has what became of it decided. So whoever leads
// next knows from the log what may be running, and lets it end before it sends
// the message, or the next of its sequence, again.
package dispatch

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"oxbowdeck/internal/accord"
	"oxbowdeck/internal/lane"
	"oxbowdeck/internal/queue"
	"oxbowdeck/internal/rule"
	"oxbowdeck/internal/trace"
	"oxbowdeck/internal/unit"
)

// Bounds of a host; all come from the settings.
type Bounds struct {
	Mark   unit.Millis   // beginnings and ends are gathered for so long
	Late   unit.Millis   // an attempt whose beginning took longer to be decided is not sent
	Dial   time.Duration // to a worker
	Shut   unit.Millis   // a worker that fails is left alone for so long at first
	Report unit.Millis   // how messages ended is told for so long
}

// Group is what a host asks of the replica of one group.
type Group interface {
	Lead() (n unit.Node, here bool)
	Time(now unit.Millis) unit.Millis // the decided time, of a leader
	Fresh(now unit.Millis) bool       // of a leader: it hears a majority
	Submit(r accord.Request) error
}

// Host is all shards of a process, and the workers it sends to. Its methods run
// on one actor.
type Host struct {
	Self   rule.Node
	Do     func(func()) // queues a command for the actor
	Send   func(to unit.Node, k lane.Kind, v any)
	Group  func(unit.Group) Group
	Full   func() bool // nothing new is to be taken
	Now    func() unit.Millis
	Run    func(a *Attempt, w *Pool, done func(Result)) // sends an attempt, elsewhere than on the actor
	Rand   *rand.Rand
	B      Bounds
	shards map[unit.Group]*Shard
	config *rule.Config
	news   *rule.News

	workers  map[string]*worker
	services map[string]*service
	origin   string
	seq      uint64
	tidyAt   unit.Millis
}

// service is who a route's messages go to.
type service struct {
	rule.Service
	near, far []*worker // its workers in this zone, and in others
	bucket    bucket
	granted   int // rights to send that were given by who counts
	grantEnd  unit.Millis
	askedAt   unit.Millis
}

// New makes a host.
func New(h Host) *Host {
	h.shards, h.workers, h.services = map[unit.Group]*Shard{}, map[string]*worker{}, map[string]*service{}
	h.config = &rule.Config{}
	h.origin = "run/" + string(h.Self.Addr) + "/" + unit.Cursor(0, unit.Pos(h.Self.Life))
	return &h
}

// Open makes the machine of a group's replica.
func (h *Host) Open(g unit.Group) *Shard {
	s := &Shard{host: h, group: g, state: queue.New(queue.Bounds{Report: h.B.Report, Sweep: queue.SweepEvery}),
		booked: map[unit.Pos]*booking{}, said: map[unit.Pos]*said{}, pauses: map[unit.Pos]*pause{},
		lines: map[string]*waiting{}, waits: map[accord.ID][]*lane.Link{}}
	h.shards[g] = s
	return s
}

// Close forgets a group whose replica ended.
func (h *Host) Close(g unit.Group) { delete(h.shards, g) }

// News takes what control tells: the configuration, and who the workers are.
func (h *Host) News(n *rule.News, now unit.Millis) {
	h.news = n
	if n.Release != h.config.Release {
		if c, err := rule.ReadConfig(n.Config); err != nil {
			unit.Log("config-unreadable", "release", n.Release, "err", err)
		} else {
			h.config = c
			unit.Log("config", "release", c.Release, "routes", len(c.Spaces), "services", len(c.Services))
			for _, s := range h.shards {
				s.rescan = true
			}
		}
	}
	seen := map[string]bool{}
	for _, x := range n.Workers {
		if x.Gone {
			continue
		}
		seen[x.ID] = true
		w := h.workers[x.ID]
		if w == nil {
			w = &worker{warmAt: now + unit.Millis(x.WarmMs)}
			h.workers[x.ID] = w
		}
		w.Worker = x
	}
	for i := range h.config.Services {
		if s := &h.config.Services[i]; s.Fixed != nil && *s.Fixed != "" {
			id := "at/" + s.Label + "/" + *s.Fixed
			seen[id] = true
			if h.workers[id] == nil {
				h.workers[id] = &worker{fixed: true, Worker: rule.Worker{ID: id, Service: s.Label, Addr: *s.Fixed, Zone: h.Self.Zone}}
			}
		}
	}
	for id, w := range h.workers {
		if !seen[id] {
			w.Gone = true // attempts under way end by themselves
			w.pool.drop()
			delete(h.workers, id)
		}
	}
	old := h.services
	h.services = map[string]*service{}
	for i := range h.config.Services {
		x := &service{Service: h.config.Services[i]}
		if o := old[x.Label]; o != nil {
			x.bucket, x.granted, x.grantEnd, x.askedAt = o.bucket, o.granted, o.grantEnd, o.askedAt
		}
		h.services[x.Label] = x
	}
	for _, id := range slices.Sorted(maps.Keys(h.workers)) {
		w := h.workers[id]
		if s := h.services[w.Service]; s != nil && (s.Fixed == nil || w.fixed) {
			if w.Zone == h.Self.Zone {
				s.near = append(s.near, w)
			} else {
				s.far = append(s.far, w)
			}
		}
	}
}

// most is how many connections one worker gets from here: six tenths of what it
// accepts, shared by all leaders, so that one that just began finds room while the
// connections of the one before it still rest. Messages to a fixed endpoint come
// from one.
func (h *Host) most(s *service) int {
	limit := s.ConnLimit
	if limit <= 0 {
		limit = 64
	}
	if s.Fixed != nil {
		return max(1, limit*8/10)
	}
	shards := 1
	if h.news != nil {
		shards = max(1, len(h.news.Shards))
	}
	return max(1, limit*6/10/shards)
}

// pick chooses a worker for an attempt: the emptier of two of this zone, and only
// when those are full one of another; not the one that failed it last.
func (h *Host) pick(s *service, now unit.Millis, avoid string) *worker {
	most := h.most(s)
	two := func(from []*worker, penalty float64, best *worker, than float64) (*worker, float64) {
		if len(from) == 0 {
			return best, than
		}
		found := 0
		for i, at := 0, h.Rand.IntN(len(from)); i < len(from) && found < 2; i++ {
			w := from[(at+i)%len(from)]
			if w.ID == avoid && len(s.near)+len(s.far) > 1 || !w.free(now, most) {
				continue
			}
			found++
			if x := w.load(now) + penalty; best == nil || x < than {
				best, than = w, x
			}
		}
		return best, than
	}
	best, load := two(s.near, 0, nil, 0)
	if best == nil || load > 0.7 {
		best, load = two(s.far, 0.3, best, load)
	}
	if best != nil && load > 3 && !best.fixed {
		return nil // its own queue is long: the message waits here
	}
	return best
}

// Frame takes a frame of an edge or of another host.
func (h *Host) Frame(l *lane.Link, k lane.Kind, b []byte) bool {
	now := h.Now()
	switch k {
	case trace.KindPropose:
		if x, ok := lane.Get[trace.Propose](b); ok {
			h.propose(l, x)
		}
	case trace.KindWho:
		if x, ok := lane.Get[trace.Who](b); ok {
			h.who(l, x.Group)
		}
	case trace.KindState:
		if x, ok := lane.Get[trace.State](b); ok {
			h.stated(l, x)
		}
	case trace.KindGrant:
		if x, ok := lane.Get[trace.Grant](b); ok {
			h.grant(now, x)
		}
	case trace.KindGranted:
		if x, ok := lane.Get[trace.Granted](b); ok {
			if s := h.services[x.Service]; s != nil {
				s.granted, s.grantEnd = x.N, now+grantFor
			}
		}
	default:
		return false
	}
	return true
}

// who tells who leads a group, as far as it is known here.
func (h *Host) who(l *lane.Link, g unit.Group) {
	if gr := h.Group(g); gr != nil {
		if n, _ := gr.Lead(); n != "" {
			l.Send(trace.KindLead, trace.Lead{Group: g, Node: n})
		}
	}
}

// propose takes messages that edges hand in, and marks of hosts that led before.
func (h *Host) propose(l *lane.Link, x trace.Propose) {
	deny := trace.Deny{Group: x.Group}
	gr, s := h.Group(x.Group), h.shards[x.Group]
	var known []trace.Outcome
	for _, r := range x.Reqs {
		if s != nil && x.Again {
			if row := s.state.Find(r.ID.Origin); row != nil {
				known = append(known, trace.Outcome{ID: r.ID})
				continue
			}
		}
		err := accord.ErrNotLeader
		if gr != nil {
			if err = accord.ErrFull; !h.Full() {
				err = gr.Submit(r)
			}
		}
		if err != nil {
			deny.Full = err == accord.ErrFull
			deny.IDs = append(deny.IDs, r.ID)
			continue
		}
		if r.ID.Seq == 0 && len(s.waits[r.ID]) < 4 { // a message, no mark
			s.waits[r.ID] = append(s.waits[r.ID], l)
		}
	}
	if len(deny.IDs) > 0 {
		h.who(l, x.Group)
		l.Send(trace.KindDeny, deny)
	}
	if len(known) > 0 {
		l.Send(trace.KindKnown, trace.Flow{Outcomes: known})
	}
}

// stated answers how a message stands here.
func (h *Host) stated(l *lane.Link, x trace.State) {
	out := trace.Stated{Req: x.Req, Group: x.Group}
	s, gr := h.shards[x.Group], h.Group(x.Group)
	if s == nil || gr == nil {
		return
	}
	_, out.Leads = gr.Lead()
	if row := s.state.Find(x.ID); row != nil {
		out.Known, out.Outcome, out.Seal = true, uint8(row.End), row.Seal
		if x.Body {
			out.Packed, out.Body = row.Msg.Packed, row.Msg.Body
		}
	} else if !out.Leads || !gr.Fresh(h.Now()) {
		return // a replica may lag, and a leader that is cut off as well: it says nothing
	}
	l.Send(trace.KindStated, out)
}

// Step does what is due; it returns when it is next needed.
func (h *Host) Step(now unit.Millis) unit.Millis {
	next := now + 200
	if now >= h.tidyAt {
		h.tidyAt = now + 250
		at, leads := time.Now(), false
		for _, s := range h.shards {
			leads = leads || s.leading
		}
		if !leads {
			at = at.Add(time.Hour) // nothing is sent from here: the room is others'
		}
		for _, w := range h.workers {
			w.pool.tidy(at)
		}
	}
	for _, g := range slices.Sorted(maps.Keys(h.shards)) { // in turn: they share the workers
		next = min(next, h.shards[g].step(now))
	}
	return next
}

func (h *Host) request(c queue.Command) (accord.Request, error) {
	h.seq++
	b, err := cbor.Marshal(c)
	return accord.Request{ID: accord.ID{Origin: h.origin, Seq: h.seq}, Data: b}, err
}
