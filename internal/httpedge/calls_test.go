package httpedge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/edgecore"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
	"oxbowdeck/internal/replication"
	"oxbowdeck/internal/shardapi"
	"oxbowdeck/internal/transport"
)

// TestOneGroup: a message that any group may take is given to one alone, also
// when it waited for a group without a leader first and was moved from there.
func TestOneGroup(t *testing.T) {
	d := edgeOf(t, bounds{replicaQuiet: 400, resend: 250}, "", "127.0.0.1:2")
	c := callOf("m")
	c.anyGroup, c.deadline = true, 2000
	d.calls[c.request.ID] = c
	d.queue(c) // of group 0, which has no leader
	d.forward(0)
	d.giveUp(50)
	if c.group != 1 {
		t.Fatalf("still waits for group %d", c.group)
	}
	d.forward(60)
	d.leaders[0].node = "127.0.0.1:1"
	d.forward(70)
	if c.forwards != 1 || c.sentTo != "127.0.0.1:2" {
		t.Fatalf("given %d times, last to %s", c.forwards, c.sentTo)
	}

	// one copy, turned away for want of room: it goes to the other group, and when
	// that has none either it never runs; two copies: nobody knows
	d.denied(80, c.sentTo, shardapi.Deny{Group: 1, Full: true, IDs: []paxos.ID{c.request.ID}})
	d.forward(81)
	if c.group != 0 || c.forwards != 1 || c.sentTo != "127.0.0.1:1" || len(c.waiters[0]) != 0 {
		t.Fatalf("turned away by one group of two, and now of group %d, given %d times, last to %s",
			c.group, c.forwards, c.sentTo)
	}
	d.denied(82, c.sentTo, shardapi.Deny{Group: 0, Full: true, IDs: []paxos.ID{c.request.ID}})
	if len(c.waiters[0]) != 1 {
		t.Fatal("no answer to a message that every group turned away")
	}
	if a := <-c.waiters[0]; a.verdict != verdictNever {
		t.Fatalf("the only copy was turned away: %v", a)
	}
	c.forwards, c.anyGroup, d.calls[c.request.ID] = 2, false, c
	d.denied(90, c.sentTo, shardapi.Deny{Group: 1, Full: true, IDs: []paxos.ID{c.request.ID}})
	if d.giveUp(2000); (<-c.waiters[0]).verdict != verdictUnknown {
		t.Fatal("a message of which a copy may be taken is promised never to run")
	}

	// more ask for one message than are told: nothing is promised to the last
	c.forwards, c.waiters, d.calls[c.request.ID] = 0, make([]chan outcome, maxWaiters), c
	last := &call{request: c.request, waiters: []chan outcome{make(chan outcome, 1)}}
	d.admit(nil, "", last)
	if a := <-last.waiters[0]; a.verdict != verdictUnknown || d.calls[c.request.ID] != c {
		t.Fatalf("one too many: %v", a)
	}
}

// TestLate: a leader that keeps messages waiting is passed by, if another is there.
func TestLate(t *testing.T) {
	now := ids.MonotonicNow()
	d := edgeOf(t, bounds{leaderLate: 120}, "a", "b")
	d.leaders[0].oldestUnanswered, d.leaders[1].oldestUnanswered = now-500, now-500
	d.leaders[0].heardAt, d.leaders[1].heardAt = now-400, now
	for i := 0; i < 40; i++ {
		c := &call{anyGroup: true}
		if !d.chooseGroup(c) || c.group != 1 {
			t.Fatal("given to a leader that has not answered for 0.4 s")
		}
	}
	d.leaders[1].node = ""
	if c := (&call{anyGroup: true}); !d.chooseGroup(c) || c.group != 0 {
		t.Fatal("not given to the only leader there is")
	}
}

// TestNames: a name tells the group; one that no group gave is looked for in all.
func TestNames(t *testing.T) {
	for _, g := range []ids.Group{0, 9, 35, 200} {
		if got, id, ok := parseMessageName(messageName(g, "9c41.x"), 201); !ok || got != g || id != "9c41.x" {
			t.Errorf("group %d read back as %d, %q, %v", g, got, id, ok)
		}
	}
	for _, name := range []string{"9c41d07be2a35f68", "zz.9c41", "1."} {
		if _, id, ok := parseMessageName(name, 8); ok || id != name {
			t.Errorf("%q was taken for a name of this system", name)
		}
	}
}

const reset = transport.Kind(255)

const stationGroups = 5

// How long a client of a station waits for its answer: one that gets one, however busy the
// machine is, and one that is to get none.
const (
	patient   = ids.Millis(20_000)
	impatient = ids.Millis(300)
)

// station is an edge over loopback, and a store that leads all groups and answers
// what is handed in with what say says: known, deny, nothing, or by resetting the link.
func station(t *testing.T, say func(p shardapi.Propose, id string) transport.Kind) (d *Daemon, front string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ids.Node(ln.Addr().String())
	ln.Close()
	b := transport.Bounds{
		Queue: 1 << 20, Frame: 1 << 20,
		Dial: time.Second, Silence: time.Second,
		RetryMin: time.Millisecond, RetryMax: time.Millisecond,
	}
	store := transport.New(transport.Hello{Node: addr, Incarnation: 1}, b, func(l *transport.Link, k transport.Kind, raw []byte) {
		if x, ok := transport.Get[shardapi.Who](raw); ok && k == shardapi.KindWho {
			l.Send(shardapi.KindLead, shardapi.Lead{Group: x.Group, Node: addr})
			return
		}
		p, _ := transport.Get[shardapi.Propose](raw)
		for _, r := range p.Reqs {
			switch say(p, r.ID.Origin) {
			case reset:
				l.Drop()
			case shardapi.KindKnown:
				l.Send(shardapi.KindKnown, shardapi.Flow{Outcomes: []shardapi.Outcome{{ID: r.ID}}})
			case shardapi.KindDeny:
				l.Send(shardapi.KindDeny, shardapi.Deny{Group: p.Group, Full: true, IDs: []paxos.ID{r.ID}})
			}
		}
	}, func(*transport.Link) {})
	if err := store.Listen(string(addr)); err != nil {
		t.Fatal(err)
	}
	update := &controlapi.Update{
		Release: 1,
		Config:  controlapi.Pack([]byte(oneRoute)),
		Shards:  make([]controlapi.Shard, stationGroups),
	}
	d = newDaemon(bounds{
		maxCalls: 100, maxBytes: 1 << 20, maxBody: 1 << 16,
		replicaQuiet: 400, resend: 50, leaderLate: 1 << 30, answerWait: patient,
	})
	d.core = &edgecore.Core{Actor: replication.NewActor(100), Control: &controlapi.Client{Update: update}}
	d.core.Updates.Configure(update)
	for g := range ids.Group(stationGroups) {
		d.core.Control.Update.Shards[g].Voters = []paxos.Member{{ID: 1, Node: addr}}
	}
	d.core.Hub = transport.New(transport.Hello{Node: "edge", Incarnation: 2}, b, d.onFrame, func(l *transport.Link) {
		d.core.Actor.Do(func() { d.onLinkDown(ids.MonotonicNow(), l) })
	})
	go d.core.Actor.Run(func() time.Duration {
		d.findLeaders(ids.MonotonicNow())
		d.giveUp(ids.MonotonicNow())
		d.forward(ids.MonotonicNow())
		return 5 * time.Millisecond
	})
	for n := 0; n < stationGroups; { // until all leaders are known
		time.Sleep(5 * time.Millisecond)
		known := make(chan int)
		d.core.Actor.Do(func() {
			n := 0
			for _, x := range d.leaders {
				if x.node != "" {
					n++
				}
			}
			known <- n
		})
		n = <-known
	}
	srv := httptest.NewServer(d)
	t.Cleanup(func() { srv.Close(); d.core.Actor.Stop(); d.core.Hub.Close(0); store.Close(0) })
	return d, srv.Listener.Addr().String()
}

// question is a message as a client writes it that waits for so long.
func question(id string, wait ids.Millis) string {
	return fmt.Sprintf("POST /x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: %s\r\nX-Time-Remaining: %d\r\n"+
		"Content-Length: 4\r\n\r\nbody", id, wait)
}

// put writes questions on one connection and reads as many answers.
func put(t *testing.T, front string, messages ...string) (codes []int, names []string) {
	t.Helper()
	return putFor(t, patient, front, messages...)
}

// putFor is put by a client that waits for so long.
func putFor(t *testing.T, wait ids.Millis, front string, messages ...string) (codes []int, names []string) {
	t.Helper()
	c, err := net.Dial("tcp", front)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for _, id := range messages {
		io.WriteString(c, question(id, wait))
	}
	r := bufio.NewReader(c)
	for range messages {
		a, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, a.Body)
		codes, names = append(codes, a.StatusCode), append(names, a.Header.Get("X-Message-Id"))
	}
	return codes, names
}

// TestQuestions: each answer goes to who asked, in the order asked, whatever becomes
// of others; a message that comes again goes to its first group and nowhere else, and
// of one that may have been taken nothing is promised.
func TestQuestions(t *testing.T) {
	var mu sync.Mutex
	saw := map[string][]ids.Group{} // where copies of a message went
	how := map[string]transport.Kind{}
	d, front := station(t, func(p shardapi.Propose, id string) transport.Kind {
		mu.Lock()
		defer mu.Unlock()
		if saw[id] = append(saw[id], p.Group); len(saw[id]) > 1 != p.Again {
			t.Errorf("copy %d of %s is marked %v", len(saw[id]), id, p.Again)
		}
		if k, ok := how[id]; ok {
			if k == reset {
				how[id] = shardapi.KindKnown
			}
			return k
		}
		return shardapi.KindKnown
	})
	set := func(id string, k transport.Kind) {
		mu.Lock()
		how[id] = k
		mu.Unlock()
	}
	codes, names := put(t, front, "p1", "p2", "p3")
	if !slices.Equal(codes, []int{202, 202, 202}) ||
		names[0][1:] != ".p1" || names[1][1:] != ".p2" || names[2][1:] != ".p3" {
		t.Fatalf("pipelined: %v %v", codes, names)
	}

	// reset while it was on its way, or its answer: it goes again, to the same group
	set("reset", reset)
	codes, names = put(t, front, "reset")
	mu.Lock()
	if codes[0] != 202 || names[0] != messageName(saw["reset"][0], "reset") || len(saw["reset"]) < 2 {
		t.Fatalf("a link was reset: %v %v, went to %v", codes, names, saw["reset"])
	}
	mu.Unlock()

	// gone between question and answer; the next on that edge is told of its own
	set("gone", 0)
	c, err := net.Dial("tcp", front)
	if err != nil {
		t.Fatal(err)
	}
	io.WriteString(c, question("gone", impatient))
	time.Sleep(30 * time.Millisecond)
	c.Close()
	if codes, names := put(t, front, "next"); codes[0] != 202 || names[0][1:] != ".next" {
		t.Fatalf("after one that went away: %v %v", codes, names)
	}

	// asked twice at once: both are told, and it runs once; given up and late: told of
	// by nobody; turned away after that: nothing is promised; asked again: to its group
	set("twin", 0)
	first := make(chan int)
	go func() {
		codes, _ := put(t, front, "twin")
		first <- codes[0]
	}()
	time.Sleep(30 * time.Millisecond)
	set("twin", shardapi.KindKnown)
	if codes, _ := put(t, front, "twin"); codes[0] != 202 || <-first != 202 {
		t.Fatalf("asked twice at once: %v", codes)
	}
	set("late", 0)
	if codes, _ := putFor(t, impatient, front, "late"); codes[0] != 504 {
		t.Fatalf("no answer: %v", codes)
	}
	d.core.Actor.Do(func() { d.decided(ids.MonotonicNow(), paxos.ID{Origin: "late"}) })
	set("late", shardapi.KindDeny)
	if codes, _ := putFor(t, impatient, front, "late"); codes[0] != 504 {
		t.Fatalf("turned away after it may have been taken: %v", codes)
	}
	set("late", shardapi.KindKnown)
	codes, names = put(t, front, "late")
	mu.Lock()
	defer mu.Unlock()
	if codes[0] != 202 || names[0] != messageName(saw["late"][0], "late") {
		t.Fatalf("again: %v %v", codes, names)
	}
	for id, all := range saw {
		if len(slices.Compact(all)) != 1 {
			t.Errorf("%s was given to groups %v", id, all)
		}
	}
}

// TestFullIsPassedBy: a group whose store had no room gets nothing for a while,
// unless no other is there; one in sequence has no other and is answered.
func TestFullIsPassedBy(t *testing.T) {
	now := ids.MonotonicNow()
	d := edgeOf(t, bounds{leaderLate: 120}, "a", "b")
	ordered := callOf("m")
	ordered.sentTo, ordered.forwards = "a", 1
	d.calls[ordered.request.ID] = ordered
	d.denied(now, "a", shardapi.Deny{Group: 0, Full: true, IDs: []paxos.ID{ordered.request.ID}})
	if len(ordered.waiters[0]) != 1 || (<-ordered.waiters[0]).verdict != verdictNever {
		t.Fatal("a message in sequence is not told that its shard is full")
	}
	for i := 0; i < 40; i++ {
		c := callOf(strconv.FormatUint(uint64(i)*0x9e3779b97f4a7c15, 16))
		c.anyGroup = true
		if !d.chooseGroup(c) || c.group != 1 {
			t.Fatal("given to a group that has no room")
		}
	}
	d.leaders[1].node = ""
	if c := (&call{anyGroup: true}); !d.chooseGroup(c) || c.group != 0 {
		t.Fatal("not given to the only group there is")
	}
	d.leaders[0].fullUntil, d.leaders[1].node = now-1, "b"
	went := map[ids.Group]bool{}
	for i := 0; i < 40; i++ {
		c := callOf(strconv.FormatUint(uint64(i)*0x9e3779b97f4a7c15, 16))
		c.anyGroup = true
		d.chooseGroup(c)
		went[c.group] = true
	}
	if !went[0] || !went[1] {
		t.Fatal("a group is passed by for longer than it was to be")
	}
}

// TestWaitsForALeader: a message that any group may take waits, while none has a
// leader, for half of its time, and goes to the first that has one.
func TestWaitsForALeader(t *testing.T) {
	now := ids.MonotonicNow()
	d := edgeOf(t, bounds{replicaQuiet: 400, resend: 250, maxCalls: 9, maxBytes: 9999}, "", "")
	var all []*call
	for _, id := range []string{"lucky", "late"} {
		c := callOf(id)
		c.since, c.deadline = now, now+2000
		d.admit(&controlapi.Space{}, "", c)
		all = append(all, c)
	}
	lucky, late := all[0], all[1]
	d.giveUp(now + 900)
	if len(lucky.waiters[0]) != 0 || len(late.waiters[0]) != 0 {
		t.Fatal("answered before half of the time was over")
	}
	delete(d.calls, late.request.ID)
	d.leaders[1].node = "127.0.0.1:1"
	d.giveUp(now + 950)
	d.forward(now + 951)
	if lucky.forwards != 1 || lucky.group != 1 || lucky.sentTo != "127.0.0.1:1" {
		t.Fatalf("given %d times, to group %d", lucky.forwards, lucky.group)
	}
	d.leaders[1].node, d.calls[late.request.ID] = "", late
	d.giveUp(now + 1100)
	if len(late.waiters[0]) != 1 || (<-late.waiters[0]).verdict != verdictNever {
		t.Fatal("a message that was given to nobody is not promised never to run")
	}
}

// TestReadyWithMostGroups: an edge that begins is ready once most groups have a
// leader; one without, for good, keeps no edge from serving the others.
func TestReadyWithMostGroups(t *testing.T) {
	d := edgeOf(t, bounds{}, "", "", "", "")
	d.core.Updates.Configure(&controlapi.Update{Release: 1, Config: controlapi.Pack([]byte(`{"config_release":1}`))})
	want := []struct{ fresh, ready bool }{{false, false}, {false, false}, {false, true}, {true, true}, {true, true}}
	for led := 0; led <= 4; led++ {
		if led > 0 {
			d.leaders[ids.Group(led-1)].node = "s"
		}
		for _, ready := range []bool{false, true} {
			d.core.Ready.Set(ready)
			exp := want[led].fresh
			if ready {
				exp = want[led].ready
			}
			if got := d.serves(); got != exp {
				t.Errorf("%d of 4 groups have a leader, ready before %v: %v", led, ready, got)
			}
		}
	}
}

// TestRetryAfter: a client that waited here need not wait as long again.
func TestRetryAfter(t *testing.T) {
	for waited, want := range map[time.Duration]string{
		0: "1", 400 * time.Millisecond: "1", 500 * time.Millisecond: "0", 2 * time.Second: "0",
	} {
		if got := retryAfter(waited); got != want {
			t.Errorf("after %s: %s", waited, got)
		}
	}
	w := httptest.NewRecorder()
	w.Header().Set("Retry-After", "0")
	writeError(w, http.StatusServiceUnavailable, "no leader")
	if got := w.Header().Values("Retry-After"); len(got) != 1 || got[0] != "0" {
		t.Errorf("the header is %q", got)
	}
	w = httptest.NewRecorder()
	if writeError(w, http.StatusServiceUnavailable, "full"); w.Header().Get("Retry-After") != "1" {
		t.Error("turned away without a time to come again")
	}
}

// TestSameGroup: edges of a zone give a message to the same group, also after
// another group lost its leader, and all groups alike; one that gave it to another
// group gives it there again, whoever leads now.
func TestSameGroup(t *testing.T) {
	d := edgeOf(t, bounds{leaderLate: 120, maxCalls: 9999, maxBytes: 9999}, "s", "s", "s", "s", "s")
	went := map[ids.Group]int{}
	for i := 0; i < 1000; i++ {
		a := &call{request: paxos.Request{ID: paxos.ID{Origin: strconv.FormatUint(uint64(i)*0x9e3779b97f4a7c15, 16)}}}
		d.chooseGroup(a)
		went[a.group]++
		b := &call{request: a.request}
		gone := d.leaders[(a.group+1)%5]
		gone.node = ""
		if d.chooseGroup(b); b.group != a.group {
			t.Fatalf("message %s goes to groups %d and %d", a.request.ID.Origin, a.group, b.group)
		}
		gone.node = "s"
		b.group, b.anyGroup = 0, false
		d.routed.note(ids.Millis(i), b.request.ID, (a.group+1)%5)
		if d.admit(&controlapi.Space{}, "", b); b.group != (a.group+1)%5 || b.anyGroup || !b.forwardedBefore {
			t.Fatalf("message %s was given to group %d, and goes to %d", a.request.ID.Origin, (a.group+1)%5, b.group)
		}
	}
	for g, n := range went {
		if n < 150 || n > 250 {
			t.Errorf("group %d gets %d of 1000", g, n)
		}
	}
}

// TestAsks: an answer that comes after its asker gave up is nobody's: numbers of
// questions are not used again.
func TestAsks(t *testing.T) {
	d := edgeOf(t, bounds{maxCalls: 9}, "")
	go d.core.Actor.Run(func() time.Duration { return 0 })
	got := make(chan shardapi.Stated, 2)
	for _, id := range []string{"0.m1", "0.m2"} {
		go func() {
			got <- d.inquire("", id, false).stated
		}()
		n := 0
		for n == 0 {
			seen := make(chan int)
			d.core.Actor.Do(func() { seen <- len(d.inquiries) })
			n = <-seen
		}
		if id == "0.m1" {
			d.core.Actor.Do(func() { d.pursue(1<<40, 1, d.inquiries[1]) })
			if x := <-got; x.Req != 0 {
				t.Fatal("answered before its time")
			}
		}
	}
	d.core.Actor.Do(func() { d.answerInquiry(shardapi.Stated{Req: 1, Known: true, Seal: "of m1"}) })
	d.core.Actor.Do(func() { d.answerInquiry(shardapi.Stated{Req: 2, Known: true, Seal: "of m2"}) })
	if x := <-got; x.Seal != "of m2" {
		t.Fatalf("told %q", x.Seal)
	}
}
