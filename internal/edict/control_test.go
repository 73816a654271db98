package edict

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"oxbowdeck/internal/accord"
	"oxbowdeck/internal/lane"
	"oxbowdeck/internal/rule"
	"oxbowdeck/internal/unit"
)

// bench is a shell that notes what a control node does.
type bench struct {
	sent  []lane.Kind
	put   []Command
	lines []lane.Kind
}

func (b *bench) Send(_ unit.Node, k lane.Kind, v any) bool {
	b.sent = append(b.sent, k)
	if a, ok := v.(ask); ok {
		b.Submit(a.Req)
	}
	return true
}

func (b *bench) Submit(r accord.Request) error {
	var c Command
	if err := cbor.Unmarshal(r.Data, &c); err != nil {
		return err
	}
	b.put = append(b.put, c)
	return nil
}

func (b *bench) Keep(string, any)                   {}
func (b *bench) Ring([]rule.Node)                   {}
func (b *bench) Log(string, ...any)                 {}
func (b *bench) SendRaw(k lane.Kind, _ []byte) bool { b.lines = append(b.lines, k); return true }

type back struct{ *bench }

func (b back) Send(k lane.Kind, _ any) bool { b.lines = append(b.lines, k); return true }

// controlled makes node n0 of a group of three, which follows n1, with one spare.
func controlled(t *testing.T) (c *Control, core *accord.Core, b *bench, seats []accord.Member) {
	t.Helper()
	p, seats := norms(t, 4)
	b = &bench{}
	c = NewControl(Conf{Self: *p.find("n0"), Losses: 1, Lease: 1500, Beat: 1000, WorkerBeats: 4, Rand: func(int64) int64 { return 0 }}, b, nil, nil)
	c.state = p.State
	core = accord.New(accord.Conf{Self: seats[0], Wnd: 8, Beat: 200, Patience: 700, Stagger: 150, Impatience: 80, Nudge: 60, Sound: 1},
		accord.Boot{Eras: []accord.Era{{Seats: seats}}}, 0)
	c.Begin(0, core)
	return c, core, b, seats
}

// heard lets the leader's beat come, with an echo of what this node sent before.
func heard(core *accord.Core, at unit.Millis) {
	for i := unit.Millis(0); i < 2; i++ {
		var mine unit.Millis
		for _, s := range core.Drain().Sends {
			mine = max(mine, s.Msg.At)
		}
		core.Take(at+i, "n1", accord.Msg{Kind: accord.Beat, From: 2, Ballot: unit.MakeBallot(1, 2), Yes: true, At: 9, Echo: mine, Age: 1})
	}
}

// TestNothingFromAnOldState: a node that was in touch with a majority answers from
// its state within the lease, and not after it; then it asks the group.
func TestNothingFromAnOldState(t *testing.T) {
	c, core, b, _ := controlled(t)
	c.state.NewsAt = 3
	edge := func(life unit.Life) []byte {
		x, err := cbor.Marshal(rule.Enrol{Node: rule.Node{Duty: rule.Edge, Addr: "e", Life: life}})
		if err != nil {
			t.Fatal(err)
		}
		return x
	}
	heard(core, 1000)
	for _, x := range []struct {
		at   unit.Millis
		news int
	}{{1100, 1}, {2400, 1}, {2600, 0}, {21000, 0}} {
		b.lines, b.put = nil, nil
		c.Frame(x.at, back{b}, rule.KindEnroll, edge(unit.Life(x.at)))
		reads := 0
		for _, p := range b.put {
			if p.Verb == Read {
				reads++
			}
		}
		if len(b.lines) != x.news || reads != 1-x.news {
			t.Errorf("%d ms after contact: %d sketches given, %d reads asked for", x.at-1000, len(b.lines), reads)
		}
	}
	if s := c.Status(21000); s.ContactMs < 19000 || s.LeaseMs != 1500 {
		t.Errorf("status says %d ms", s.ContactMs)
	}
}

// TestWorkersAreAnsweredByTheLeader: a call that says nothing new is acknowledged
// once the leader has it, turned away when it does not answer, and taken up anew
// when the leader has ended that worker.
func TestWorkersAreAnsweredByTheLeader(t *testing.T) {
	c, core, b, _ := controlled(t)
	c.state.register(rule.Worker{ID: "w", Service: "s", Seq: 1})
	heard(core, 1000)
	call := func(at unit.Millis) *int {
		got := -1
		c.Beat(at, rule.Worker{ID: "w", Service: "s", Seq: uint64(at)}, 800, func(ok bool) {
			got = 0
			if ok {
				got = 1
			}
		})
		c.Tick(at + 20)
		return &got
	}
	got := call(1100)
	if *got != -1 || len(b.sent) == 0 || b.sent[len(b.sent)-1] != rule.KindBeats {
		t.Fatalf("answered %d, told %v", *got, b.sent)
	}
	answer := func(h rule.Heard) {
		x, err := cbor.Marshal(h)
		if err != nil {
			t.Fatal(err)
		}
		c.Frame(1200, back{b}, rule.KindHeard, x)
	}
	answer(rule.Heard{Nos: []uint64{c.callNo + 1}})
	if *got != -1 {
		t.Error("answered by the word on another call")
	}
	answer(rule.Heard{Nos: []uint64{c.callNo}})
	if *got != 1 {
		t.Error("not acknowledged when the leader has it")
	}
	got = call(1300)
	b.put = nil
	answer(rule.Heard{Strange: []uint64{c.callNo}})
	if *got != -1 || len(b.put) != 1 || b.put[0].Verb != Register {
		t.Errorf("answered %d, put %v", *got, b.put)
	}
	got = call(1400)
	if c.Tick(2300); *got != 0 {
		t.Errorf("the leader says nothing: answered %d", *got)
	}
}

// TestWhoIsToldToEndStays: a member stays until its seat has an owner and it is on
// record that the others hold all; it goes when nobody could take the seat.
func TestWhoIsToldToEndStays(t *testing.T) {
	c, core, b, seats := controlled(t)
	heard(core, 1000)
	c.Depart(1001)
	if len(b.put) != 1 || b.put[0].Verb != Depart || b.put[0].Node.Addr != "n0" {
		t.Fatalf("put %v", b.put)
	}
	if c.Departed(1100) {
		t.Error("it goes while it has a seat that n3 can take")
	}
	n3 := c.state.find("n3")
	n3.Gone = true
	if !c.Departed(1200) {
		t.Error("it stays though nobody can take its seat")
	}
	n3.Gone = false
	next := append([]accord.Member{{Num: n3.Num, Node: "n3"}}, seats[1:]...)
	other := accord.New(accord.Conf{Self: seats[0], Wnd: 8, Patience: 700}, accord.Boot{Eras: []accord.Era{{Seats: next}}}, 0)
	c.core = other
	if c.Departed(1300) {
		t.Error("it goes before it is on record that the others hold all")
	}
	c.state.Settled = next
	if !c.Departed(1400) {
		t.Error("it stays for ever")
	}
}

// TestRegisteringIsAWord: a worker that registers long after its leader's duty began
// has its beats from then on, before it is taken for silent.
func TestRegisteringIsAWord(t *testing.T) {
	p, seats := norms(t, 1)
	b := &bench{}
	c := NewControl(Conf{Self: *p.find("n0"), Lease: 1500, Beat: 1000, WorkerBeats: 4, Rand: func(int64) int64 { return 0 }}, b, nil, nil)
	c.state = p.State
	core := accord.New(accord.Conf{Self: seats[0], Wnd: 8, Bsz: 1, WndBytes: 1 << 20, OpenBytes: 1 << 20, Beat: 200, Patience: 700}, accord.Boot{Eras: []accord.Era{{Seats: seats}}}, 0)
	c.Begin(0, core)
	at := unit.Millis(800)
	run := func(until unit.Millis) {
		for ; at < until; at += 50 {
			core.Tick(at)
			for e := core.Drain(); len(e.Saves)+len(e.Decided) > 0; e = core.Drain() {
				core.Synced(at, e.Token)
				for _, d := range e.Decided {
					c.At(at)
					c.Apply(d)
				}
			}
			c.Tick(at)
			for _, x := range b.put {
				raw, err := cbor.Marshal(x)
				if err != nil {
					t.Fatal(err)
				}
				core.Submit(at, accord.Request{ID: accord.ID{Origin: "x", Seq: uint64(at)*100 + uint64(x.Verb)}, Data: raw}, false)
			}
			b.put = nil
		}
	}
	gone := func() bool { _, w := c.state.worker("w"); return w == nil || w.Gone }
	run(10000)
	if _, ok := c.term(); !ok {
		t.Fatal("its term did not begin")
	}
	c.Ask(Command{Verb: Register, Worker: &rule.Worker{ID: "w", Service: "s", Seq: 1}}, 1000, func(Result, bool) {})
	run(13800)
	if gone() {
		t.Error("ended before it was silent for four beats")
	}
	run(15500)
	if !gone() {
		t.Error("silent for five beats, and not ended")
	}
}
