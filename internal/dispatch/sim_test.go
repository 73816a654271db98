package dispatch

import (
	"fmt"
	"math/rand"
	randv2 "math/rand/v2"
	"os"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/fxamacker/cbor/v2"

	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
	"oxbowdeck/internal/queue"
	"oxbowdeck/internal/shardapi"
	"oxbowdeck/internal/transport"
)

// A simulated run: three processes with real hosts over one decided order, which
// loses or delays what a leader that falls had put to it, frames between them that
// are lost with their connection or come much later, and stand-in workers that fail,
// fall silent, lose answers, and go on after their connection was reset. After each
// step the rules are checked from what the workers saw.

const simConfig = `{"config_release":1,"routing_entries":[
{"label":"a","host_id":"","path_prefix":"/plain","route_class":"deferred","guard_timer_ms":800,"service_ref":"list","max_attempts":4,"hold_s":600},
{"label":"b","host_id":"","path_prefix":"/row","route_class":"deferred","guard_timer_ms":600,"service_ref":"list","max_attempts":4,"in_sequence":true,"hold_s":600},
{"label":"d","host_id":"","path_prefix":"/pair","route_class":"deferred","guard_timer_ms":600,"service_ref":"pair","max_attempts":4,"in_sequence":true,"hold_s":600},
{"label":"c","host_id":"","path_prefix":"/fixed","route_class":"deferred","guard_timer_ms":600,"service_ref":"desk","max_attempts":4,"hold_s":600}],
"service_set":[{"label":"list","conn_limit":60},{"label":"pair","conn_limit":60,"dedup_capable":true},{"label":"desk","conn_limit":40,"rate_per_s":%g,"fixed_endpoint":"10.0.0.9:1"}]}`

const simRate = 20

type simNode struct {
	*sim
	i           int
	host        *Host
	shard       *Shard
	applied     int
	leads       bool // as it believes
	up          bool
	cut         bool
	incarnation ids.Incarnation
	release     int64 // of the messages that acceptPlain hands in; 0: the first
}

type simMsg struct {
	queue.Message
	sent            ids.Millis
	told            ids.Millis // when 202 was known; 0: not yet
	seals           map[string]bool
	fails           int
	never           bool
	poison          bool
	runs            ids.Millis // a worker is at it until then
	over            ids.Millis // it has ended, as workers and senders know
	readBy          *simNode   // who read a success
	readIncarnation ids.Incarnation
}

type simEvent struct {
	at  ids.Millis
	seq int
	do  func()
}

type sim struct {
	t      *testing.T
	rng    *rand.Rand
	now    ids.Millis
	offset ids.Millis // decided time lags true time by so much
	nodes  []*simNode
	log    []paxos.Decided
	leader int
	events []simEvent
	seq    int
	msgs   map[string]*simMsg
	order  []*simMsg
	starts []ids.Millis // arrivals at the service with a rate limit
	calm   bool
	faults []string
	spoil  string // which safeguard is taken away
	stamp  ids.Millis
	held   func(paxos.Request) bool // takes a request out of the order, for a while
	update *controlapi.Update
	owners []ids.Tenant // whose the messages are, in turn; none: nobody's

	spoilSeal func(*simMsg) bool // tells whether a byte of the seal just given is spoiled
}

func (s *sim) fault(format string, a ...any) {
	s.faults = append(s.faults, fmt.Sprintf("%d ms: ", s.now)+fmt.Sprintf(format, a...))
}

func (s *sim) in(d ids.Millis, do func()) {
	s.seq++
	s.events = append(s.events, simEvent{s.now + max(d, 0), s.seq, do})
}

// simGroup is the replica as a node's host sees it.
type simGroup struct{ n *simNode }

func (g simGroup) Lead() (ids.Node, bool) {
	if g.n.leads {
		return g.n.host.Self.Addr, true
	}
	if g.n.leader < 0 {
		return "", false
	}
	return addrOf(g.n.leader), false
}
func (g simGroup) Time(now ids.Millis) ids.Millis { return now - g.n.offset }
func (g simGroup) Fresh(ids.Millis) bool          { return !g.n.cut }
func (g simGroup) Submit(r paxos.Request) error {
	if !g.n.leads {
		return paxos.ErrNotLeader
	}
	g.n.put(g.n.i, r)
	return nil
}

func addrOf(i int) ids.Node { return ids.Node("n" + strconv.Itoa(i)) }

// put has a request decided soon, unless its leader falls first: then it is lost,
// or the next leader finds it.
func (s *sim) put(from int, r paxos.Request) {
	var c queue.Command
	if cbor.Unmarshal(r.Data, &c) == nil && c.Verb == queue.End && s.spoil == "twice" {
		return
	}
	if s.held != nil && s.held(r) {
		return
	}
	wait, stamp := 5+s.rng.Intn(25), s.now-s.offset
	if !s.calm && s.rng.Intn(60) == 0 {
		wait += s.rng.Intn(2500)
	}
	s.in(ids.Millis(wait), func() {
		if s.leader == from || s.rng.Intn(3) == 0 {
			s.decide(stamp, r)
		}
	})
}

// decide appends to the order, under the time at which it was proposed.
func (s *sim) decide(stamp ids.Millis, r paxos.Request) {
	s.stamp = max(s.stamp, stamp)
	value := paxos.Value{Stamp: s.stamp, Reqs: []paxos.Request{r}}
	s.log = append(s.log, paxos.Decided{Slot: ids.Slot(len(s.log) + 1), Value: value})
}

func (n *simNode) begin() {
	n.incarnation++
	n.up, n.leads, n.applied = true, false, 0
	incarnation := n.incarnation
	n.host = New(Environment{Self: controlapi.Node{Addr: addrOf(n.i), Incarnation: incarnation, Zone: "z"},
		Rand: randv2.New(randv2.NewPCG(uint64(n.i), uint64(n.rng.Int63()))),
		Now:  func() ids.Millis { return n.now },
		Do:   func(f func()) { f() },
		Send: func(to ids.Node, k transport.Kind, v any) {
			p, ok := v.(shardapi.Propose)
			if !ok {
				return
			}
			wait := 1 + n.rng.Intn(4)
			switch {
			case n.calm:
			case n.rng.Intn(10) == 0:
				return
			case n.rng.Intn(10) == 0:
				wait += n.rng.Intn(2000)
			}
			n.in(ids.Millis(wait), func() {
				if to := n.nodes[int(to[1]-'0')]; to.up && to.leads {
					for _, r := range p.Reqs {
						to.put(to.i, r)
					}
				}
			})
		},
		Group: func(ids.Group) Group { return simGroup{n} },
		Full:  func() bool { return false },
		Run: func(a *Attempt, _ *Pool, done func(Result)) {
			wait := 1 + n.rng.Intn(3)
			if n.rng.Intn(20) == 0 {
				wait += n.rng.Intn(600) // a connection that is made slowly
			}
			if wait > int(a.startWithin) { // not sent: only that is told
				n.in(a.startWithin, func() {
					if n.up && n.incarnation == incarnation {
						done(Result{outcome: queue.NotRun, kind: refused})
					}
				})
				return
			}
			n.in(ids.Millis(wait), func() { n.work(n, incarnation, a, done) })
		},
		Bounds: Bounds{BatchDelay: 5, StartDeadline: 400, DialTimeout: time.Second, EjectFor: 300, ReportFor: 1 << 40}})
	n.host.Update(n.update, n.now)
	n.shard = n.host.Open(0)
}

// work is a worker's end of an attempt.
func (s *sim) work(n *simNode, incarnation ids.Incarnation, a *Attempt, done func(Result)) {
	m := s.msgs[a.message.ID]
	if a.message.Tenant != m.Tenant {
		s.fault("TENANT %s of %q is sent as of %q", m.ID, m.Tenant, a.message.Tenant)
	}
	tell := func(after ids.Millis, r Result) {
		s.in(after, func() {
			if n.up && n.incarnation == incarnation {
				if r.outcome == queue.Done && utf8.ValidString(r.seal) {
					m.readBy, m.readIncarnation = n, incarnation
				}
				done(r)
			}
		})
	}
	dice := 100
	if !s.calm {
		dice = s.rng.Intn(100)
	}
	if dice < 4 {
		tell(2, Result{outcome: queue.NotRun, kind: refused})
		return
	}
	if m.Path == "/pair" {
		if s.now < m.runs {
			tell(1, Result{outcome: queue.NotRun, kind: refused})
			return
		}
		for seal := range m.seals {
			tell(1, Result{outcome: queue.Done, seal: seal})
			return
		}
	}
	s.arrive(m)
	work := ids.Millis(20 + s.rng.Intn(100))
	limit := ids.Millis(a.timeout / time.Millisecond)
	m.runs = s.now + work + 2
	switch {
	case dice < 8: // hangs
		m.runs = s.now + limit
		tell(limit+60, Result{outcome: queue.Lost, kind: silent})
	case dice >= 94 && dice < 100: // its connection is reset, and it may go on without
		work = ids.Millis(s.rng.Intn(int(limit)))
		m.runs = s.now + work
		if s.rng.Intn(2) == 0 {
			s.in(work, func() { s.success(m) })
		}
		after := ids.Millis(s.rng.Intn(int(work) + 1))
		left := (limit + 60 - after).Duration()
		if s.spoil == "again" {
			left = 0
		}
		tell(after, Result{outcome: queue.Lost, kind: refused, mayRunFor: left})
	case dice < 12: // does it, and the answer is lost
		s.in(work, func() { s.success(m) })
		tell(limit+60, Result{outcome: queue.Lost, kind: silent})
	case m.poison || dice < 22:
		s.in(work, func() {
			if m.fails++; m.fails >= 4 && m.over == 0 {
				m.over = s.now
			}
		})
		tell(work+1, Result{outcome: queue.Failed, failed: true})
	case dice < 24:
		s.in(work, func() {
			if m.never = true; m.over == 0 {
				m.over = s.now
			}
		})
		tell(work+1, Result{outcome: queue.Never})
	default:
		seal := ""
		s.in(work, func() { seal = s.success(m) })
		s.in(work+1, func() {
			if s.spoilSeal != nil && s.spoilSeal(m) || !s.calm && s.rng.Intn(40) == 0 {
				seal += "\xff"
			}
			tell(0, Result{outcome: queue.Done, seal: seal})
		})
	}
}

func (s *sim) success(m *simMsg) string {
	seal := m.ID + "/" + strconv.Itoa(len(m.seals))
	m.seals[seal] = true
	if m.over == 0 {
		m.over = s.now
	}
	return seal
}

// arrive checks the rules at the beginning of a run.
func (s *sim) arrive(m *simMsg) {
	if s.now < m.sent+m.Defer-100 {
		s.fault("EARLY %s runs %d ms before it is due", m.ID, m.sent+m.Defer-s.now)
	}
	if r := m.readBy; r != nil && r.up && r.incarnation == m.readIncarnation {
		s.fault("TWICE %s runs again after a success that %s read", m.ID, r.host.Self.Addr)
	}
	if m.Path != "/pair" && s.now < m.runs {
		s.fault("AGAIN %s begins while it may run for %d ms more", m.ID, m.runs-s.now)
	}
	if m.Key != "" {
		for _, o := range s.order {
			if o != m && o.Key == m.Key && o.Tenant == m.Tenant && o.told > 0 && o.told < m.sent && o.over == 0 {
				s.fault("ORDER %s begins before %s has ended", m.ID, o.ID)
			}
		}
	}
	if m.Path == "/fixed" {
		s.starts = append(s.starts, s.now)
		n := 0
		for _, at := range s.starts {
			if s.now-at < 5000 {
				n++
			}
		}
		if n > simRate*5*11/10+5 {
			s.fault("CEILING %d arrivals in 5 s", n)
		}
	}
}

func (s *sim) send() {
	m := &simMsg{sent: s.now, seals: map[string]bool{}, poison: s.rng.Intn(60) == 0}
	paths := []string{"/plain", "/row", "/row", "/fixed", "/pair"}
	m.Message = queue.Message{
		ID:      "m" + strconv.Itoa(len(s.order)),
		Method:  "POST",
		Hold:    600000,
		Release: 1,
		Path:    paths[s.rng.Intn(len(paths))],
	}
	if m.Path == "/row" || m.Path == "/pair" {
		m.Key, m.Ordered = "k"+strconv.Itoa(s.rng.Intn(3)), s.spoil != "order"
	}
	if m.Path == "/plain" && s.rng.Intn(3) == 0 {
		m.Defer = ids.Millis(s.rng.Intn(4000))
	}
	if len(s.owners) > 0 {
		m.Tenant = s.owners[len(s.order)%len(s.owners)]
	}
	s.msgs[m.ID] = m
	s.order = append(s.order, m)
	sent := m.Message
	if s.spoil == "early" {
		sent.Defer = 0
	}
	b, _ := cbor.Marshal(queue.Command{Verb: queue.Accept, Msg: &sent})
	r := paxos.Request{ID: paxos.ID{Origin: m.Name()}, Data: b}
	var try func()
	try = func() {
		if m.told > 0 {
			return
		}
		if s.leader >= 0 {
			s.put(s.leader, r)
		}
		s.in(250, try)
	}
	try()
}

// step lets a millisecond pass.
func (s *sim) step() {
	s.now++
	sort.SliceStable(s.events, func(i, j int) bool {
		return s.events[i].at < s.events[j].at || s.events[i].at == s.events[j].at && s.events[i].seq < s.events[j].seq
	})
	for len(s.events) > 0 && s.events[0].at <= s.now {
		do := s.events[0].do
		s.events = s.events[1:]
		do()
	}
	for _, n := range s.nodes {
		if !n.up {
			continue
		}
		for n.applied < len(s.log) && (n.i == s.leader || s.rng.Intn(3) > 0) {
			d := s.log[n.applied]
			n.applied++
			n.shard.Apply(d)
			for _, r := range d.Value.Reqs {
				if m := s.msgs[queue.IDOf(r.ID.Origin)]; m != nil && m.told == 0 && n.i == s.leader {
					m.told = s.now
				}
			}
		}
		n.host.Step(s.now)
	}
}

// trouble moves the lead, kills, revives.
func (s *sim) trouble() {
	switch s.rng.Intn(5) {
	case 0, 1:
		s.elect()
	case 2:
		n := s.nodes[s.rng.Intn(len(s.nodes))]
		up := 0
		for _, x := range s.nodes {
			if x.up {
				up++
			}
		}
		if !n.up || up < 3 {
			return
		}
		n.up, n.leads = false, false
		if s.leader == n.i {
			s.leader = -1
			s.in(ids.Millis(100+s.rng.Intn(400)), s.elect)
		}
		s.in(ids.Millis(300+s.rng.Intn(1500)), n.begin)
	}
}

// elect makes a new leader; the old one may not know for a while.
func (s *sim) elect() {
	if s.leader >= 0 {
		old, incarnation := s.nodes[s.leader], s.nodes[s.leader].incarnation
		s.in(ids.Millis(s.rng.Intn(600)), func() {
			if old.incarnation == incarnation && s.leader != old.i {
				old.leads = false
			}
		})
	}
	for {
		i := s.rng.Intn(len(s.nodes))
		if s.nodes[i].up {
			s.leader = i
			break
		}
	}
	s.offset += ids.Millis(s.rng.Intn(200))
	n := s.nodes[s.leader]
	for n.applied < len(s.log) { // a leader has what was decided
		n.shard.Apply(s.log[n.applied])
		n.applied++
	}
	n.leads = true
}

// found makes the processes, the first of them leading.
func found(t *testing.T, seed int64, spoil string) *sim {
	s := &sim{
		t:      t,
		rng:    rand.New(rand.NewSource(seed)),
		leader: -1,
		msgs:   map[string]*simMsg{},
		spoil:  spoil,
		now:    1000,
	}
	rate := float64(simRate)
	if spoil == "ceiling" {
		rate = 0
	}
	s.update = &controlapi.Update{
		Seq:     1,
		Release: 1,
		Config:  controlapi.Pack([]byte(fmt.Sprintf(simConfig, rate))),
		Shards:  []controlapi.Shard{{}},
	}
	for i := 0; i < 9; i++ {
		s.update.Workers = append(s.update.Workers, controlapi.Worker{
			ID:      "w" + strconv.Itoa(i),
			Service: []string{"list", "list", "pair"}[i%3],
			Addr:    "10.0.0.1:1",
			Zone:    "z",
			Slots:   3,
		})
	}
	for i := 0; i < 3; i++ {
		s.nodes = append(s.nodes, &simNode{sim: s, i: i})
	}
	for _, n := range s.nodes {
		n.begin()
	}
	s.elect()
	return s
}

func play(t *testing.T, seed int64, spoil string, owners ...ids.Tenant) []string {
	s := found(t, seed, spoil)
	s.owners = owners
	for s.now < 12000 {
		if s.rng.Intn(12) == 0 {
			s.send()
		}
		if s.rng.Intn(600) == 0 {
			s.trouble()
		}
		s.step()
	}
	s.calm = true
	for end := s.now + 60000; s.now < end; {
		if s.leader < 0 || s.now%500 == 0 && !s.nodes[s.leader].leads {
			s.elect()
		}
		s.step()
		if s.now%1000 == 0 && s.settled() {
			break
		}
	}
	s.settle()
	return s.faults
}

func (s *sim) settled() bool {
	for _, m := range s.order {
		if r := s.nodes[s.leader].shard.state.Find(m.Name()); m.told > 0 && (r == nil || r.Outcome == queue.Open) {
			return false
		}
	}
	return true
}

// settle checks how each message ended, and that all replicas say the same.
func (s *sim) settle() {
	st := s.nodes[s.leader].shard.state
	for _, m := range s.order {
		r := st.Find(m.Name())
		switch {
		case m.told == 0:
		case r == nil:
			s.fault("LOST %s was accepted and is not known", m.ID)
		case r.Outcome == queue.Done && !m.seals[r.Seal]:
			s.fault("MIXED %s is done with %q, which no run gave", m.ID, r.Seal)
		case r.Outcome == queue.Never && !m.never, r.Outcome == queue.Spent && m.fails < 4:
			s.fault("MIXED %s ended as %s", m.ID, r.Outcome)
		case r.Outcome == queue.Open || r.Outcome == queue.Expired || r.Outcome == queue.Dropped:
			s.fault("LOST %s is %s at the end", m.ID, r.Outcome)
		}
	}
	var first []byte
	for _, n := range s.nodes {
		if !n.up {
			continue
		}
		for ; n.applied < len(s.log); n.applied++ {
			n.shard.Apply(s.log[n.applied])
		}
		b, err := n.shard.Save()
		again := queue.New(n.shard.state.Bounds)
		if err == nil {
			err = again.Load(b)
		}
		back, _ := again.Save()
		if first == nil {
			first = b
		}
		if err != nil || string(b) != string(first) || string(back) != string(b) {
			s.fault("STATES differ at %s (%v)", n.host.Self.Addr, err)
		}
	}
}

// TestSim: the rules hold under changes of leader, deaths and wanting workers.
func TestSim(t *testing.T) {
	t.Parallel()
	seeds := int64(12)
	if testing.Short() { // more seeds run the same code again
		seeds = 2
	}
	if n, err := strconv.Atoi(os.Getenv("DISPATCH_SEEDS")); err == nil {
		seeds = int64(n)
	}
	for seed := int64(1); seed <= seeds; seed++ {
		if f := play(t, seed, ""); len(f) > 0 {
			t.Fatalf("seed %d: %d faults, the first: %s", seed, len(f), strings.Join(f[:min(4, len(f))], "\n"))
		}
	}
}

// TestSimOfTenants: the rules hold with messages of tenants, whose sequences are their own,
// among those of nobody.
func TestSimOfTenants(t *testing.T) {
	t.Parallel()
	seeds := int64(4)
	if testing.Short() { // more seeds run the same code again
		seeds = 1
	}
	for seed := int64(1); seed <= seeds; seed++ {
		if f := play(t, seed, "", "t", "", "t", "u"); len(f) > 0 {
			t.Fatalf("seed %d: %d faults, the first: %s", seed, len(f), strings.Join(f[:min(4, len(f))], "\n"))
		}
	}
}

// TestSimSeesFaults: each check fails when its safeguard is taken away.
func TestSimSeesFaults(t *testing.T) {
	t.Parallel()
	for spoil, want := range map[string]string{
		"early":   "EARLY",
		"order":   "ORDER",
		"ceiling": "CEILING",
		"twice":   "TWICE",
		"again":   "AGAIN",
	} {
		found := false
		for seed := int64(1); seed <= 6 && !found; seed++ {
			for _, f := range play(t, seed, spoil) {
				found = found || strings.Contains(f, want)
			}
		}
		if !found {
			t.Errorf("without the safeguard against %s nothing was found", want)
		}
	}
}

// alone is one message of a calm run, with the commands of one kind kept from being
// decided.
func alone(t *testing.T, verb queue.Verb) (s *sim, n *simNode, m *simMsg, kept *[]paxos.Request) {
	s, kept = found(t, 1, ""), &[]paxos.Request{}
	s.calm, n = true, s.nodes[s.leader]
	s.held = func(r paxos.Request) bool {
		var c queue.Command
		held := cbor.Unmarshal(r.Data, &c) == nil && c.Verb == verb
		if held {
			*kept = append(*kept, r)
		}
		return held
	}
	m = &simMsg{
		Message: queue.Message{ID: "m0", Method: "POST", Path: "/plain", Hold: 600000, Release: 1},
		seals:   map[string]bool{},
	}
	s.msgs[m.ID], s.order = m, []*simMsg{m}
	b, _ := cbor.Marshal(queue.Command{Verb: queue.Accept, Msg: &m.Message})
	s.put(n.i, paxos.Request{ID: paxos.ID{Origin: m.ID}, Data: b})
	return s, n, m, kept
}

// pass lets time pass until something is so, at the latest until that long from now.
func (s *sim) pass(d ids.Millis, until func() bool) {
	for end := s.now + d; s.now < end && !until(); {
		s.step()
	}
}

func never() bool { return false }

// TestStaleBeginning: a beginning that was decided long after it was proposed is not
// sent, though its message has been reserved anew meanwhile: to whoever leads next its
// attempt is over soon. Neither is one that its process asked for in an earlier incarnation.
func TestStaleBeginning(t *testing.T) {
	s, n, m, begins := alone(t, queue.Begin)
	kept := func(n int) func() bool { return func() bool { return len(*begins) >= n } }
	s.pass(1000, kept(1))
	asked := s.now - s.offset
	s.pass(9000, kept(2)) // given up, and reserved anew
	s.decide(asked, (*begins)[0])
	s.pass(100, never)
	if r := n.shard.state.Find("m0"); r.Attempts != 1 || r.Running || m.runs > 0 {
		t.Fatalf("%d attempts begun, still runs: %v, a worker had it until %d ms", r.Attempts, r.Running, m.runs)
	}
	s.pass(9000, kept(3))
	n.begin()
	n.leads = true
	s.decide(s.now-s.offset, (*begins)[2])
	s.pass(100, never)
	if r := n.shard.state.Find("m0"); r.Attempts != 2 || !r.Running || m.runs > 0 {
		t.Fatalf("%d attempts begun, still runs: %v, a worker had it until %d ms", r.Attempts, r.Running, m.runs)
	}
}

// TestSuccessIsKept: who read a success says so until it is decided, and does not
// send the message again meanwhile, however long that takes and whoever leads.
func TestSuccessIsKept(t *testing.T) {
	s, n, m, _ := alone(t, queue.End)
	s.pass(1000, func() bool { return m.readBy != nil })
	s.pass(25000, never)
	n.leads = false
	s.pass(100, never)
	n.leads = true
	s.pass(5000, never)
	s.held = nil
	s.pass(500, never)
	if r := n.shard.state.Find("m0"); len(s.faults) > 0 || r.Attempts != 1 || r.Outcome != queue.Done {
		t.Fatalf("%s after %d attempts: %v", r.Outcome, r.Attempts, s.faults)
	}
}
