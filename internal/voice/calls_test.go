package voice

import (
	"cmp"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"oxbowdeck/internal/accord"
	"oxbowdeck/internal/lane"
	"oxbowdeck/internal/rule"
	"oxbowdeck/internal/tale"
	"oxbowdeck/internal/trace"
	"oxbowdeck/internal/unit"
)

// TestRetryOnlyWhenTheOneCopyWasTurnedAway: a call that went out twice may run
// by the other copy, so a full store's word on one of them promises nothing.
func TestRetryOnlyWhenTheOneCopyWasTurnedAway(t *testing.T) {
	for _, c := range []struct {
		name   string
		tries  int
		nudged bool
		full   bool
		retry  bool
	}{
		{"one copy, full", 1, false, true, true},
		{"one copy, not the leader", 1, false, false, false},
		{"a second on the other path", 1, true, true, false},
		{"forwarded to two leaders", 2, false, true, false},
	} {
		d := &Daemon{calls: map[accord.ID]*call{}, doubts: map[accord.ID]unit.Millis{}}
		cn := &conn{d: d, id: 1}
		id := accord.ID{Origin: "ann", Seq: 7}
		d.calls[id] = &call{req: accord.Request{ID: id}, topic: "a.x", seq: 7, c: cn, tries: c.tries, nudged: c.nudged, end: unit.Steady() + 1000}
		d.denied(trace.Deny{Full: c.full, IDs: []accord.ID{id}})
		if got := strings.Contains(string(cn.fresh), "RETRY"); got != c.retry {
			t.Errorf("%s: answered %q", c.name, cn.fresh)
		}
		if _, open := d.calls[id]; open == c.retry {
			t.Errorf("%s: still open: %v", c.name, open)
		}
	}
}

// TestInTheDark: with no replica heard a call is answered soon, and promised
// nothing; a number that was forwarded and given up is never promised not to run,
// when it comes again and a full store turns it away, or no place is left for it.
func TestInTheDark(t *testing.T) {
	x := &tie{lostAt: 1000}
	d := &Daemon{calls: map[accord.ID]*call{}, doubts: map[accord.ID]unit.Millis{}, outq: map[unit.Group][]*call{}, ties: []*tie{x},
		norm: &rule.Client{News: &rule.News{Shards: make([]rule.Shard, 1)}}, config: &rule.Config{}, b: bounds{hope: 300, resend: 1 << 30, calls: 10, perConn: 10}}
	cn := &conn{d: d, id: 1, client: "ann"}
	say := func(now unit.Millis, seq unit.Seq) string {
		cn.fresh = nil
		d.publish(now, cn, word{verb: wPublish, topic: "a.x", seq: seq, body: []byte("body")}, &rule.Space{GuardMs: 1500})
		return string(cn.fresh)
	}
	say(1000, 7)
	d.calls[accord.ID{Origin: "ann", Seq: 7}].tries = 1
	if d.giveUp(1140); len(d.calls) != 1 {
		t.Fatal("given up before a replica was missed for long")
	}
	if d.giveUp(1310); !strings.Contains(string(cn.fresh), "7 UNKNOWN") {
		t.Fatalf("answered %q", cn.fresh)
	}
	say(1310, 7)
	if d.giveUp(1340); len(d.calls) != 1 {
		t.Fatal("a new call was not given a moment")
	}
	if d.giveUp(1370); !strings.Contains(string(cn.fresh), "7 UNKNOWN") {
		t.Fatalf("the same number again: answered %q", cn.fresh)
	}
	x.lostAt = 1 << 40 // a replica is there again
	say(1400, 7)
	d.calls[accord.ID{Origin: "ann", Seq: 7}].tries = 1
	cn.fresh = nil
	if d.denied(trace.Deny{Full: true, IDs: []accord.ID{{Origin: "ann", Seq: 7}}}); strings.Contains(string(cn.fresh), "RETRY") {
		t.Fatal("promised that a number in doubt never runs")
	}
	d.b.calls = 0
	d.calls = map[accord.ID]*call{}
	if got := say(1500, 7); !strings.Contains(got, "UNKNOWN") {
		t.Fatalf("no place for a number in doubt: answered %q", got)
	}
	if got := say(1500, 8); !strings.Contains(got, "RETRY") {
		t.Fatalf("no place for a new number: answered %q", got)
	}
}

// TestRepeated: a number whose connection broke between question and answer, and one
// that may have been sent over an earlier connection of its client elsewhere, is never
// promised not to run; the answer goes to the connection that asked last.
func TestRepeated(t *testing.T) {
	d := &Daemon{conns: map[uint64]*conn{}, calls: map[accord.ID]*call{}, doubts: map[accord.ID]unit.Millis{}, outq: map[unit.Group][]*call{}, ties: []*tie{{lostAt: 1 << 40}},
		norm: &rule.Client{News: &rule.News{Shards: make([]rule.Shard, 1)}}, config: &rule.Config{}, b: bounds{hope: 300, resend: 1 << 30, calls: 10, perConn: 10, repeat: 10000}}
	ann := func(id uint64, born unit.Millis) *conn {
		c := &conn{d: d, id: id, client: "ann", born: born}
		d.conns[id] = c
		return c
	}
	publish := func(c *conn, seq unit.Seq) accord.ID {
		d.publish(unit.Steady(), c, word{verb: wPublish, topic: "a.x", seq: seq, body: []byte("body")}, &rule.Space{GuardMs: 1500})
		id := accord.ID{Origin: "ann", Seq: uint64(seq)}
		d.calls[id].tries++
		return id
	}
	old := unit.Steady() - 10000
	first, second := ann(1, old), ann(2, old)
	publish(first, 7)
	d.gone(first)
	d.giveUp(unit.Steady() + 5000)
	if d.denied(trace.Deny{Full: true, IDs: []accord.ID{publish(second, 7)}}); len(second.fresh) > 0 {
		t.Fatalf("of a number that was forwarded: %q", second.fresh)
	}
	if d.denied(trace.Deny{Full: true, IDs: []accord.ID{publish(ann(3, old+1000), 8)}}); len(d.conns[3].fresh) > 0 {
		t.Fatalf("of one that may have been sent elsewhere: %q", d.conns[3].fresh)
	}
	d.calls[accord.ID{Origin: "ann", Seq: 8}].tries = 0
	if d.giveUp(unit.Steady() + 5000); !strings.Contains(string(d.conns[3].fresh), "8 UNKNOWN") {
		t.Fatalf("of one that may have been sent elsewhere: %q", d.conns[3].fresh)
	}
	third, fourth := ann(4, old), ann(5, old)
	id := publish(third, 9)
	publish(fourth, 9)
	d.outcome(trace.Outcome{ID: id, Verdict: tale.Fresh})
	d.outcome(trace.Outcome{ID: id, Verdict: tale.Again}) // of the second copy
	if got := string(fourth.fresh); got != "ACK a.x 9\r\n" || len(third.fresh) > 0 || third.calls+fourth.calls != 0 {
		t.Fatalf("answered %q, and %q on the connection before", got, third.fresh)
	}
}

// TestGoneBeforeTheAnswer: the answer to a subscription that was ended meanwhile
// touches nobody else, and words of a connection that ended are not taken.
func TestGoneBeforeTheAnswer(t *testing.T) {
	hub := lane.New(lane.Hello{Node: "e"}, lane.Bounds{Queue: 1 << 20, RetryMin: time.Millisecond, RetryMax: time.Millisecond}, nil, func(*lane.Link) {})
	d := &Daemon{hub: hub, conns: map[uint64]*conn{}, topics: map[unit.Topic]*topic{}, calls: map[accord.ID]*call{}, outq: map[unit.Group][]*call{}, reqs: map[uint64]*sub{}, counts: map[uint64]*census{},
		norm: &rule.Client{News: &rule.News{Shards: make([]rule.Shard, 1)}}, b: bounds{out: 1000}, ties: []*tie{{cur: hub.To("127.0.0.1:1")}}}
	conf, err := rule.ReadConfig(rule.Pack([]byte(`{"config_release":1,"routing_entries":[{"label":"a","host_id":"","path_prefix":"a.","route_class":"retained","keep_s":60}]}`)))
	if err != nil {
		t.Fatal(err)
	}
	d.config = conf
	subscribe := func(id uint64, from string) *conn {
		a, b := net.Pipe()
		t.Cleanup(func() { a.Close(); b.Close() })
		c := newConn(d, id, a)
		c.client, d.conns[id] = unit.Client("c"+strconv.Itoa(int(id))), c
		d.take(c, word{verb: wSubscribe, topic: "a.x", arg: from})
		return c
	}
	one := subscribe(1, unit.Cursor(0, 5))
	asked := d.reqSeq
	two := subscribe(2, "")
	d.joined(trace.Joined{Req: d.reqSeq, Topic: "a.x", End: 9})
	one.end()
	d.joined(trace.Joined{Req: asked, Topic: "a.x", Expired: true})
	if two.dead || !strings.HasPrefix(string(two.fresh), "SUCCESS SUBSCRIBE a.x") || d.topics["a.x"].subs[two] == nil {
		t.Fatalf("one paid for another's cursor: ended %v, told %q", two.dead, two.fresh)
	}
	d.take(one, word{verb: wSubscribe, topic: "a.x"})
	if n := len(d.topics["a.x"].subs); n != 1 || len(d.reqs) != 0 {
		t.Fatalf("%d subscriptions, %d asked for, of one connection that is left", n, len(d.reqs))
	}
	// what is given up names the seat that was taken, and a new one has a higher number
	d.take(two, word{verb: wUnsub, topic: "a.x"})
	d.take(two, word{verb: wSubscribe, topic: "a.x"})
	d.joined(trace.Joined{Req: d.reqSeq, Topic: "a.x", End: 9})
	var seats []tale.Command
	for _, x := range slices.SortedFunc(maps.Values(d.calls), func(a, b *call) int { return cmp.Compare(a.order, b.order) }) {
		var c tale.Command
		if cbor.Unmarshal(x.req.Data, &c) == nil {
			seats = append(seats, c)
		}
	}
	if len(seats) != 3 || seats[1].Verb != tale.Rise || seats[1].Conn != seats[0].Conn || seats[2].Verb != tale.Sit || seats[2].Conn <= seats[1].Conn {
		t.Fatalf("%+v", seats)
	}
}

// TestClientsThatCostTooMuch: one that does not read is cut off at its bound and
// the next one is served; one that falls silent is dropped.
func TestClientsThatCostTooMuch(t *testing.T) {
	d := &Daemon{conns: map[uint64]*conn{}, topics: map[unit.Topic]*topic{}, calls: map[accord.ID]*call{}, counts: map[uint64]*census{},
		reqs: map[uint64]*sub{}, norm: &rule.Client{}, b: bounds{out: 1000, silence: 50, joinWait: 1 << 30}}
	add := func(id uint64) *conn {
		a, b := net.Pipe()
		t.Cleanup(func() { a.Close(); b.Close() })
		c := newConn(d, id, a)
		d.conns[id] = c
		return c
	}
	deaf, good := add(1), add(2)
	for i := 0; i < 30; i++ {
		deaf.put(make([]byte, 100))
		deaf.flush()
		good.put([]byte("ALIVE\r\n"))
		good.flush()
	}
	if d.conns[1] != nil || !deaf.dead {
		t.Fatal("a client that does not read is still there")
	}
	if d.conns[2] == nil || len(good.out) != 30*7 {
		t.Fatal("another client paid for it")
	}
	d.sweep(good.heard + 49)
	if d.conns[2] == nil {
		t.Fatal("dropped before its time")
	}
	d.sweep(good.heard + 51)
	if d.conns[2] != nil {
		t.Fatal("a silent client is still there")
	}
}
