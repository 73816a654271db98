package control

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
)

// copyOf puts a command of an origin to the state, once more perhaps; told is
// false when nobody is told of it.
func (p *play) copyOf(t *testing.T, origin string, seq, low uint64, at ids.Millis, c Command) (res Result, told bool) {
	t.Helper()
	c.Low = low
	b, err := cbor.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	r := paxos.Request{ID: paxos.ID{Origin: origin, Seq: seq}, Data: b}
	p.Apply(paxos.Decided{Slot: p.Slot + 1, Value: paxos.Value{Stamp: at, Reqs: []paxos.Request{r}}}, func(_ paxos.ID, r Result) { res, told = r, true })
	return
}

// again saves and loads the state, as a restart or a snapshot does.
func (p *play) reload(t *testing.T) {
	t.Helper()
	b, err := p.Save()
	if err == nil {
		err = p.Load(b)
	}
	if err != nil {
		t.Fatal(err)
	}
	if b2, err := p.Save(); err != nil || !bytes.Equal(b, b2) {
		t.Fatalf("saved again it differs: %v", err)
	}
}

// TestCopiesAreNotRunAgain: a leaving that is decided once more, after thousands
// of other commands, a snapshot and the same process's return, ends nobody.
func TestCopiesAreNotRunAgain(t *testing.T) {
	p := &play{}
	n := controlapi.Node{Role: controlapi.Edge, Addr: "e", Incarnation: 1}
	p.do(t, Command{Verb: Enroll, Node: n})
	leave := Command{Verb: Leave, Node: n}
	if _, told := p.copyOf(t, "a/1", 1, 1, 1000, leave); !told || !p.find("e").Gone {
		t.Fatal("it did not leave")
	}
	p.do(t, Command{Verb: Enroll, Node: n}) // missed by mistake: the same incarnation goes on
	for i := uint64(2); i < 5000; i++ {
		p.copyOf(t, "a/1", i, max(2, i-20), 2000, Command{Verb: Read})
		p.copyOf(t, fmt.Sprint("b/", i%7), i, i, 2000, Command{Verb: Read})
	}
	p.reload(t)
	if _, told := p.copyOf(t, "a/1", 1, 1, 3000, leave); told || p.find("e").Gone {
		t.Error("a copy of what nobody waits for any more was run")
	}
	// one that is still waited for is answered as it was
	put1 := Command{Verb: Put, Match: 0, Release: 3, Body: []byte("x"), Sum: Digest([]byte("x"))}
	p.copyOf(t, "c/1", 1, 1, 3000, Command{Verb: Put, Match: 7, Release: 9, Body: []byte("y"), Sum: Digest([]byte("y"))})
	p.copyOf(t, "c/1", 2, 1, 3000, put1)
	p.reload(t)
	if res, _ := p.copyOf(t, "c/1", 1, 1, 3000, Command{Verb: Put, Match: 3, Release: 9, Body: []byte("y")}); res != Stale || p.Release != 3 {
		t.Errorf("a copy was answered %d, its first Stale; %d is in force", res, p.Release)
	}
	for _, x := range p.Sessions {
		if len(x.Ran) > 40 {
			t.Errorf("%d results kept for %s", len(x.Ran), x.Origin)
		}
	}
}

// TestSessionsEnd: sessions are bounded in number, and end long after their last
// command by decided time; one that lives is never dropped for others.
func TestSessionsEnd(t *testing.T) {
	p := &play{}
	p.copyOf(t, "a/1", 1, 1, 1, Command{Verb: Read})
	for i := 0; i < 2*maxSessions; i++ {
		p.copyOf(t, fmt.Sprint("o/", i), 1, 1, ids.Millis(i), Command{Verb: Read})
		p.copyOf(t, "a/1", uint64(i+2), uint64(i+2), ids.Millis(i), Command{Verb: Read})
	}
	if len(p.Sessions) > maxSessions {
		t.Errorf("%d sessions", len(p.Sessions))
	}
	if _, told := p.copyOf(t, "a/1", 1, 1, 9000, Command{Verb: Read}); told {
		t.Error("a session that lived was dropped")
	}
	p.copyOf(t, "z/1", 1, 1, 9000+sessionLifetime+1, Command{Verb: Read})
	if len(p.Sessions) != 1 {
		t.Errorf("%d sessions long after", len(p.Sessions))
	}
}

// TestConfigurationsOfADay: what was acknowledged is acknowledged again after a
// whole day's changes, and the memory of them is bounded.
func TestConfigurationsOfADay(t *testing.T) {
	p := &play{}
	cmd := func(match, release int64) Command {
		b := fmt.Appendf(nil, "configuration %d", release)
		return Command{Verb: Put, Match: match, Release: release, Body: b, Sum: Digest(b)}
	}
	const day = 19000
	at := int64(0)
	for i := int64(1); i <= 2*day; i++ {
		p.Slot++
		if res, _ := p.run(ptr(cmd(at, at+1+i%3))); res != Done {
			t.Fatalf("change %d: %d", i, res)
		}
		at += 1 + i%3
	}
	for back := int64(0); back < day; back += 997 {
		x := p.Past[len(p.Past)-1-int(back)]
		if res, _ := p.run(ptr(cmd(1, x.Release))); res != Done {
			t.Fatalf("the change %d before the last was taken, its repeat gets %d", back, res)
		}
		other := cmd(1, x.Release)
		other.Sum = Digest([]byte("another"))
		if res, _ := p.run(&other); res == Done {
			t.Fatal("another configuration of the same number is acknowledged")
		}
	}
	if p.Release != at {
		t.Fatal("a repeat changed something")
	}
	b, err := p.Save()
	if err != nil || len(b) > 1<<20 {
		t.Errorf("%d configurations are known in %d bytes, %v", len(p.Past), len(b), err)
	}
	t.Logf("%d configurations are known in %d bytes", len(p.Past), len(b))
}

func ptr[T any](v T) *T { return &v }

// TestFirstFormat: a state of the format before is read, and what had been taken
// or run by then is known.
func TestFirstFormat(t *testing.T) {
	packed := controlapi.Pack([]byte(`{"config_release":4}`))
	old := stateV1{Slot: 9, Release: 4, Config: packed, Next: 17, UpdateAt: 8, ConfigAt: 8, Nodes: []controlapi.Node{{Addr: "n", Role: controlapi.Control, Num: 1, Incarnation: 1}}}
	old.Past = append(old.Past, struct {
		_       struct{} `cbor:",toarray"`
		Release int64
		Sum     [32]byte
	}{Release: 4, Sum: sha256.Sum256(packed)})
	old.Recent = append(old.Recent, struct {
		_   struct{} `cbor:",toarray"`
		ID  paxos.ID
		Res Result
	}{ID: paxos.ID{Origin: "a/1", Seq: 7}, Res: Stale})
	b, err := cbor.Marshal(old)
	if err != nil {
		t.Fatal(err)
	}
	p := &play{}
	if err := p.Load(b); err != nil {
		t.Fatal(err)
	}
	p.reload(t)
	body := []byte(`{"config_release":4}`)
	if res := p.do(t, Command{Verb: Put, Match: 3, Release: 4, Body: controlapi.Pack(body), Sum: Digest(body)}); res != Done || p.Release != 4 {
		t.Errorf("taken before the upgrade, its repeat gets %d", res)
	}
	if res, _ := p.copyOf(t, "a/1", 7, 0, 0, put(4, 5, "x")); res != Stale || p.Release != 4 {
		t.Errorf("a copy of what was run before the upgrade gets %d", res)
	}
	if err := p.Load(b[:len(b)/2]); err == nil || p.Release != 4 {
		t.Error("half a state was read")
	}
}

// TestRetirementIsOfOneMachine: a repeat of an order does not empty the machine
// that came in the place, and under the name, of the one it was given for.
func TestRetirementIsOfOneMachine(t *testing.T) {
	p := &play{}
	p.stores(t, "a", "b", "c", "d", "a")
	p.do(t, Command{Verb: Found, Shards: 2, Losses: 1})
	order := Command{Verb: Retire, Node: controlapi.Node{Name: "s0"}, Losses: 1, Within: 10000}
	if res, _ := p.copyOf(t, "o", 1, 1, 1000, order); res != Done {
		t.Fatalf("ordered: %d", res)
	}
	first := p.store("s0").Addr
	p.do(t, Command{Verb: Leave, Node: *p.find(first)})
	p.do(t, Command{Verb: Enroll, Node: controlapi.Node{Name: "s0", Role: controlapi.Store, Zone: "a", Addr: "10.9.9.9:1", Disk: 777, Incarnation: 1}})
	if n := p.store("s0"); n.Addr != "10.9.9.9:1" {
		t.Fatalf("s0 is %s", n.Addr)
	}
	if res, _ := p.copyOf(t, "o", 2, 2, 6000, order); res != Done || p.store("s0").Empty {
		t.Fatalf("the repeat was answered %d, the successor is to be emptied: %v", res, p.store("s0").Empty)
	}
	if _, asked, _ := p.Emptied("s0"); !asked {
		t.Error("the order is not known any more")
	}
	// long after, it is an order of its own
	if res, _ := p.copyOf(t, "o", 3, 3, 20000, order); res != Done || !p.store("s0").Empty {
		t.Errorf("a new order was answered %d, and not carried out", res)
	}
}

// TestDutiesAreFenced: what a leader whose term is over still asks for changes
// nothing; a process's own word counts whoever passes it on.
func TestDutiesAreFenced(t *testing.T) {
	p := &play{}
	p.found(t, 2, 1, "a", "b", "c", "d")
	p.do(t, Command{Verb: Register, Worker: &controlapi.Worker{ID: "w", Service: "s", Seq: 1}})
	old, now := ids.MakeBallot(3, 1), ids.MakeBallot(4, 2)
	p.do(t, Command{Verb: BeginTerm, Term: old})
	p.do(t, Command{Verb: BeginTerm, Term: now})
	n := p.Nodes[0]
	for _, c := range []Command{
		{Verb: Unregister, Worker: &controlapi.Worker{ID: "w", Seq: 1}, Term: old},
		{Verb: Leave, Node: n, Term: old},
		{Verb: Drop, Group: 0, To: p.Shards[0].Learners[0], Term: old},
		{Verb: BeginTerm, Term: old},
		{Verb: RecordMembership, Term: old},
	} {
		if res := p.do(t, c); res != Fenced {
			t.Errorf("%s of a term that is over: %d", c.Verb, res)
		}
	}
	if _, w := p.worker("w"); w.Gone || p.find(n.Addr).Gone || len(p.Shards[0].Learners) == 0 || p.Term != now {
		t.Error("a duty of a term that is over was done")
	}
	if res := p.do(t, Command{Verb: Leave, Node: n}); res != Done || !p.find(n.Addr).Gone {
		t.Error("a process's own leaving was not taken")
	}
}

// TestTheGoneAreForgotten: machines come and go under ever new addresses; those
// that have a place or a vote stay known.
func TestTheGoneAreForgotten(t *testing.T) {
	p := &play{}
	p.found(t, 2, 1, "a", "b", "c")
	held := p.Shards[0].Voters[0].Node
	p.do(t, Command{Verb: Leave, Node: *p.find(held)})
	voter := paxos.Member{ID: 3, Node: "voter"}
	p.do(t, Command{Verb: Enroll, Node: controlapi.Node{Role: controlapi.Control, Addr: "voter", Disk: 5, Num: 3, Incarnation: 1}})
	p.Apply(paxos.Decided{Slot: p.Slot + 1, Value: paxos.Value{Members: []paxos.Member{voter}}}, nil)
	p.do(t, Command{Verb: Leave, Node: *p.find("voter")})
	for i := 0; i < 3*maxGoneNodes; i++ {
		for _, d := range []controlapi.Role{controlapi.Store, controlapi.Control} {
			n := controlapi.Node{Role: d, Addr: ids.Node(fmt.Sprint(d, "-", i)), Disk: uint64(1000 + 2*i + int(d)), Incarnation: 1}
			p.do(t, Command{Verb: Enroll, Node: n})
			p.do(t, Command{Verb: Leave, Node: n})
		}
	}
	if len(p.Nodes) > 2*maxGoneNodes+8 {
		t.Errorf("%d processes are known", len(p.Nodes))
	}
	if p.find(held) == nil || p.find("voter") == nil {
		t.Error("one with a place or a vote was forgotten")
	}
}

// TestCatchingUpIsBounded tells what a replica is sent that was away for so many
// changes of 1,500 routes: the log in memory while it reaches, else one snapshot.
func TestCatchingUpIsBounded(t *testing.T) {
	var snaps []int
	for _, changes := range []int64{10, 100, 1000} {
		p := &play{}
		log := 0
		for i := int64(1); i <= changes; i++ {
			c := Command{Verb: Put, Match: i - 1, Release: i, Body: p.Config, Sum: Digest(fmt.Append(nil, i))}
			if i == 1 { // packing a thousand is slow, and they are alike
				c.Body = controlapi.Pack(routes(1500, -1, ""))
				log = size(t, c)
			}
			if res := p.do(t, c); res != Done {
				t.Fatalf("change %d: %d", i, res)
			}
		}
		b, err := p.Save()
		if err != nil {
			t.Fatal(err)
		}
		snaps = append(snaps, len(b))
		t.Logf("%d changes: %d bytes of log, a snapshot of %d bytes", changes, int(changes)*log, len(b))
	}
	if per := (snaps[2] - snaps[0]) / 990; per > 40 || snaps[0] > 64<<10 {
		t.Errorf("snapshots of %v bytes: %d more for each change", snaps, per)
	}
}

// TestRetirementAfterItWasForgotten: a machine that was to be emptied, was gone for so
// long that it was forgotten, and comes back with its disk, is emptied by the order when
// that is repeated.
func TestRetirementAfterItWasForgotten(t *testing.T) {
	s := &State{}
	store := func(i int) controlapi.Node {
		return controlapi.Node{Name: fmt.Sprint("s", i), Role: controlapi.Store, Zone: "a",
			Addr: ids.Node(fmt.Sprint("10.0.0.", i, ":1")), Disk: uint64(i + 1), Incarnation: 1}
	}
	run := func(c Command) Result {
		s.Slot++
		result, _ := s.run(&c)
		return result
	}
	for i := range 5 {
		run(Command{Verb: Enroll, Node: store(i)})
	}
	order := Command{Verb: Retire, Node: controlapi.Node{Name: "s0"}, Losses: 1, Within: 10000}
	if got := run(order); got != Done || !s.find("10.0.0.0:1").Empty {
		t.Fatalf("the order was answered %d", got)
	}
	run(Command{Verb: Leave, Node: store(0)})
	for i := 5; s.find("10.0.0.0:1") != nil; i++ {
		run(Command{Verb: Enroll, Node: store(i)})
		run(Command{Verb: Leave, Node: store(i)})
		if i > 1000 {
			t.Fatal("never forgotten")
		}
	}
	back := store(0)
	back.Incarnation = 2
	run(Command{Verb: Enroll, Node: back})
	if got := run(order); got != Done || !s.find("10.0.0.0:1").Empty {
		t.Errorf("the order is answered %d, and the machine is to be emptied: %v", got, s.find("10.0.0.0:1").Empty)
	}
}

// TestEachPlaceKeepsAStoreKnown: a store that is gone stays known while a shard names it
// as a voter, a learner, or a member of the membership in force.
func TestEachPlaceKeepsAStoreKnown(t *testing.T) {
	member := []paxos.Member{{ID: 17, Node: "store"}}
	for place, shard := range map[string]controlapi.Shard{
		"voter":   {Voters: member},
		"learner": {Learners: member},
		"member":  {Members: member},
	} {
		s := &State{Shards: []controlapi.Shard{{}, shard}}
		if !s.needed(&controlapi.Node{Role: controlapi.Store, Addr: "store"}) {
			t.Errorf("a %s is forgotten", place)
		}
		if s.needed(&controlapi.Node{Role: controlapi.Store, Addr: "another"}) {
			t.Errorf("one without a place stays known beside a %s", place)
		}
	}
}

// TestEachMembershipKeepsAControlProcessKnown: the one decided last, and the last one of
// which each member holds what was decided before.
func TestEachMembershipKeepsAControlProcessKnown(t *testing.T) {
	member := []paxos.Member{{ID: 3, Node: "core"}}
	for name, s := range map[string]*State{"decided last": {Voters: member}, "on record": {Recorded: member}} {
		if !s.needed(&controlapi.Node{Role: controlapi.Control, Addr: "core"}) {
			t.Errorf("a member of the membership %s is forgotten", name)
		}
	}
}

// TestANewDiskIsNotEmptied: an order to empty a machine holds for its disk, whatever
// incarnations it has, and not for the disk that comes in its place once the machine holds
// nothing (TestOrderOutlivesADisk has the time before), nor, in logs of earlier versions, ever.
func TestANewDiskIsNotEmptied(t *testing.T) {
	s := &State{}
	for i := range 5 {
		n := controlapi.Node{Name: fmt.Sprint("s", i), Role: controlapi.Store, Addr: ids.Node(fmt.Sprint("a", i)), Disk: uint64(i + 1), Incarnation: 1}
		s.run(&Command{Verb: Enroll, Node: n})
	}
	s.run(&Command{Verb: Retire, Node: controlapi.Node{Name: "s0"}, Losses: 1})
	again := *s.find("a0")
	again.Incarnation, again.Num, again.Empty = 2, 0, false
	if s.run(&Command{Verb: Enroll, Node: again}); !s.find("a0").Empty {
		t.Error("the next incarnation on that disk is not to be emptied any more")
	}
	for i, keepsOrders := range []bool{false, true} {
		was := *s.find("a0")
		again.Incarnation, again.Disk = ids.Incarnation(3+i), 77
		if s.run(&Command{Verb: Enroll, Node: again, KeepsOrders: keepsOrders}); s.find("a0").Empty {
			t.Errorf("a new disk is to be emptied (%v)", keepsOrders)
		}
		*s.find("a0") = was
	}
}
