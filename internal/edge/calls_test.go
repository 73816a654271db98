package edge

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

	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/edgecore"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
	"oxbowdeck/internal/shardapi"
	"oxbowdeck/internal/topic"
	"oxbowdeck/internal/transport"
)

// TestRetryOnlyWhenTheOneCopyWasTurnedAway: a call that went out twice may run
// by the other copy, so a full store's word on one of them promises nothing.
func TestRetryOnlyWhenTheOneCopyWasTurnedAway(t *testing.T) {
	for _, c := range []struct {
		name          string
		tries         int
		retransmitted bool
		full          bool
		retry         bool
	}{
		{"one copy, full", 1, false, true, true},
		{"one copy, not the leader", 1, false, false, false},
		{"a second on the other path", 1, true, true, false},
		{"forwarded to two leaders", 2, false, true, false},
	} {
		d := &Daemon{core: &edgecore.Core{Control: &controlapi.Client{}}, calls: map[paxos.ID]*call{}, uncertain: map[paxos.ID]ids.Millis{}}
		cn := &conn{daemon: d, id: 1}
		id := paxos.ID{Origin: "ann", Seq: 7}
		d.calls[id] = &call{request: paxos.Request{ID: id}, topic: "a.x", seq: 7, conn: cn, forwards: c.tries, retransmitted: c.retransmitted, deadline: ids.MonotonicNow() + 1000}
		d.denied(shardapi.Deny{Full: c.full, IDs: []paxos.ID{id}})
		if got := strings.Contains(string(cn.pending), "RETRY"); got != c.retry {
			t.Errorf("%s: answered %q", c.name, cn.pending)
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
	x := &shardFeed{lostAt: 1000}
	d := &Daemon{calls: map[paxos.ID]*call{}, uncertain: map[paxos.ID]ids.Millis{}, outbox: map[ids.Group][]*call{}, feeds: []*shardFeed{x},
		core: &edgecore.Core{Control: &controlapi.Client{Update: &controlapi.Update{Shards: make([]controlapi.Shard, 1)}}}, bounds: bounds{unreachable: 300, resend: 1 << 30, maxCalls: 10, callsPerClient: 10}}
	cn := &conn{daemon: d, id: 1, client: "ann"}
	say := func(now ids.Millis, seq ids.Seq) string {
		cn.pending = nil
		d.publish(now, cn, request{verb: verbPublish, topic: "a.x", seq: seq, body: []byte("body")}, &controlapi.Space{GuardMs: 1500})
		return string(cn.pending)
	}
	say(1000, 7)
	d.calls[paxos.ID{Origin: "ann", Seq: 7}].forwards = 1
	if d.giveUp(1140); len(d.calls) != 1 {
		t.Fatal("given up before a replica was missed for long")
	}
	if d.giveUp(1310); !strings.Contains(string(cn.pending), "7 UNKNOWN") {
		t.Fatalf("answered %q", cn.pending)
	}
	say(1310, 7)
	if d.giveUp(1340); len(d.calls) != 1 {
		t.Fatal("a new call was not given a moment")
	}
	if d.giveUp(1370); !strings.Contains(string(cn.pending), "7 UNKNOWN") {
		t.Fatalf("the same number again: answered %q", cn.pending)
	}
	x.lostAt = 1 << 40 // a replica is there again
	say(1400, 7)
	d.calls[paxos.ID{Origin: "ann", Seq: 7}].forwards = 1
	cn.pending = nil
	if d.denied(shardapi.Deny{Full: true, IDs: []paxos.ID{{Origin: "ann", Seq: 7}}}); strings.Contains(string(cn.pending), "RETRY") {
		t.Fatal("promised that a number in doubt never runs")
	}
	d.bounds.maxCalls = 0
	d.calls = map[paxos.ID]*call{}
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
	d := &Daemon{conns: map[uint64]*conn{}, calls: map[paxos.ID]*call{}, uncertain: map[paxos.ID]ids.Millis{}, outbox: map[ids.Group][]*call{}, feeds: []*shardFeed{{lostAt: 1 << 40}},
		core: &edgecore.Core{Control: &controlapi.Client{Update: &controlapi.Update{Shards: make([]controlapi.Shard, 1)}}}, bounds: bounds{unreachable: 300, resend: 1 << 30, maxCalls: 10, callsPerClient: 10, resendWindow: 10000}}
	ann := func(id uint64, born ids.Millis) *conn {
		c := &conn{daemon: d, id: id, client: "ann", since: born}
		d.conns[id] = c
		return c
	}
	publish := func(c *conn, seq ids.Seq) paxos.ID {
		d.publish(ids.MonotonicNow(), c, request{verb: verbPublish, topic: "a.x", seq: seq, body: []byte("body")}, &controlapi.Space{GuardMs: 1500})
		id := paxos.ID{Origin: "ann", Seq: uint64(seq)}
		d.calls[id].forwards++
		return id
	}
	old := ids.MonotonicNow() - 10000
	first, second := ann(1, old), ann(2, old)
	publish(first, 7)
	d.forget(first)
	d.giveUp(ids.MonotonicNow() + 5000)
	if d.denied(shardapi.Deny{Full: true, IDs: []paxos.ID{publish(second, 7)}}); len(second.pending) > 0 {
		t.Fatalf("of a number that was forwarded: %q", second.pending)
	}
	if d.denied(shardapi.Deny{Full: true, IDs: []paxos.ID{publish(ann(3, old+1000), 8)}}); len(d.conns[3].pending) > 0 {
		t.Fatalf("of one that may have been sent elsewhere: %q", d.conns[3].pending)
	}
	d.calls[paxos.ID{Origin: "ann", Seq: 8}].forwards = 0
	if d.giveUp(ids.MonotonicNow() + 5000); !strings.Contains(string(d.conns[3].pending), "8 UNKNOWN") {
		t.Fatalf("of one that may have been sent elsewhere: %q", d.conns[3].pending)
	}
	third, fourth := ann(4, old), ann(5, old)
	id := publish(third, 9)
	publish(fourth, 9)
	d.outcome(shardapi.Outcome{ID: id, Verdict: topic.Fresh})
	d.outcome(shardapi.Outcome{ID: id, Verdict: topic.Again}) // of the second copy
	if got := string(fourth.pending); got != "ACK a.x 9\r\n" || len(third.pending) > 0 || len(third.calls)+len(fourth.calls) != 0 {
		t.Fatalf("answered %q, and %q on the connection before", got, third.pending)
	}
}

// TestGoneBeforeTheAnswer: the answer to a subscription that was ended meanwhile
// touches nobody else, and words of a connection that ended are not taken.
func TestGoneBeforeTheAnswer(t *testing.T) {
	hub := transport.New(transport.Hello{Node: "e"}, transport.Bounds{Queue: 1 << 20, RetryMin: time.Millisecond, RetryMax: time.Millisecond}, nil, func(*transport.Link) {})
	d := &Daemon{conns: map[uint64]*conn{}, topics: map[ids.Topic]*followedTopic{}, calls: map[paxos.ID]*call{}, outbox: map[ids.Group][]*call{}, joins: map[uint64]*subscription{}, censuses: map[uint64]*census{},
		core: &edgecore.Core{Hub: hub, Control: &controlapi.Client{Update: &controlapi.Update{Shards: make([]controlapi.Shard, 1)}}}, bounds: bounds{clientOut: 1000, clientSilence: 1 << 30}, feeds: []*shardFeed{{link: hub.To("127.0.0.1:1")}}}
	d.core.Updates.Configure(&controlapi.Update{Release: 1, Config: controlapi.Pack([]byte(`{"config_release":1,"routing_entries":[{"label":"a","host_id":"","path_prefix":"a.","route_class":"retained","keep_s":60}]}`))})
	subscribe := func(id uint64, from string) *conn {
		a, b := net.Pipe()
		t.Cleanup(func() { a.Close(); b.Close() })
		c := newConn(d, id, a)
		c.client, d.conns[id] = ids.Client("c"+strconv.Itoa(int(id))), c
		d.handle(c, request{verb: verbSubscribe, topic: "a.x", arg: from})
		return c
	}
	one := subscribe(1, ids.Cursor(0, 5))
	asked := d.lastRequest
	two := subscribe(2, "")
	d.joined(shardapi.Joined{Req: d.lastRequest, Topic: "a.x", End: 9})
	one.end()
	d.joined(shardapi.Joined{Req: asked, Topic: "a.x", Expired: true})
	if two.dead || !strings.HasPrefix(string(two.pending), "SUCCESS SUBSCRIBE a.x") || d.topics["a.x"].subscribers[two] == nil {
		t.Fatalf("one paid for another's cursor: ended %v, told %q", two.dead, two.pending)
	}
	d.handle(one, request{verb: verbSubscribe, topic: "a.x"})
	if n := len(d.topics["a.x"].subscribers); n != 1 || len(d.joins) != 0 {
		t.Fatalf("%d subscriptions, %d asked for, of one connection that is left", n, len(d.joins))
	}
	// what is given up names the seat that was taken, and a new one has a higher number
	d.handle(two, request{verb: verbUnsubscribe, topic: "a.x"})
	d.handle(two, request{verb: verbSubscribe, topic: "a.x"})
	d.joined(shardapi.Joined{Req: d.lastRequest, Topic: "a.x", End: 9})
	var members []topic.Command
	for _, x := range slices.SortedFunc(maps.Values(d.calls), func(a, b *call) int { return cmp.Compare(a.order, b.order) }) {
		var c topic.Command
		if cbor.Unmarshal(x.request.Data, &c) == nil {
			members = append(members, c)
		}
	}
	if len(members) != 3 || members[1].Verb != topic.Unsubscribe || members[1].Conn != members[0].Conn || members[2].Verb != topic.Subscribe || members[2].Conn <= members[1].Conn {
		t.Fatalf("%+v", members)
	}
}

// TestClientsThatCostTooMuch: one that does not read is cut off at its bound and
// the next one is served; one that falls silent is dropped.
func TestClientsThatCostTooMuch(t *testing.T) {
	d := &Daemon{conns: map[uint64]*conn{}, topics: map[ids.Topic]*followedTopic{}, calls: map[paxos.ID]*call{}, censuses: map[uint64]*census{},
		joins: map[uint64]*subscription{}, core: &edgecore.Core{Control: &controlapi.Client{}}, bounds: bounds{clientOut: 1000, clientSilence: 50, joinWait: 1 << 30}}
	add := func(id uint64) *conn {
		a, b := net.Pipe()
		t.Cleanup(func() { a.Close(); b.Close() })
		c := newConn(d, id, a)
		d.conns[id] = c
		return c
	}
	deaf, good := add(1), add(2)
	for i := 0; i < 30; i++ {
		deaf.send(make([]byte, 100))
		deaf.flush()
		good.send([]byte("ALIVE\r\n"))
		good.flush()
	}
	if d.conns[1] != nil || !deaf.dead {
		t.Fatal("a client that does not read is still there")
	}
	if d.conns[2] == nil || len(good.out) != 30*7 {
		t.Fatal("another client paid for it")
	}
	d.sweep(good.heardAt + 49)
	if d.conns[2] == nil {
		t.Fatal("dropped before its time")
	}
	d.sweep(good.heardAt + 51)
	if d.conns[2] != nil {
		t.Fatal("a silent client is still there")
	}
}
