package edge

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/edgecore"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/shardapi"
	topicstate "oxbowdeck/internal/topic"
	"oxbowdeck/internal/transport"
)

// piecesTest is an edge with one shard, which is followed over a link that nobody answers.
type piecesTest struct {
	t     *testing.T
	edge  *Daemon
	link  *transport.Link
	topic *followedTopic
}

func newPiecesTest(t *testing.T) *piecesTest {
	bounded := transport.Bounds{Queue: 1 << 20, RetryMin: time.Minute, RetryMax: time.Minute}
	hub := transport.New(transport.Hello{Node: "e"}, bounded, nil, func(*transport.Link) {})
	d := newDaemon(bounds{clientOut: 1 << 20, joinWait: 900, clientSilence: 1 << 30})
	d.core = &edgecore.Core{Hub: hub, Control: &controlapi.Client{Update: &controlapi.Update{Shards: make([]controlapi.Shard, 1)}}}
	link := hub.To("127.0.0.1:1")
	d.feeds = []*shardFeed{{link: link, avoid: map[ids.Node]ids.Millis{}}}
	topic := &followedTopic{name: "a.x", subscribers: map[*conn]*subscription{}}
	d.topics["a.x"] = topic
	return &piecesTest{t: t, edge: d, link: link, topic: topic}
}

// join has a client ask for the topic from a place.
func (x *piecesTest) join(number uint64, from ids.Position) *subscription {
	c := &conn{daemon: x.edge, id: number, client: ids.Client(fmt.Sprint("c", number)), wake: make(chan struct{}, 1)}
	x.edge.conns[c.id] = c
	s := &subscription{conn: c, retained: true, hasFrom: true, from: from, cursor: "c"}
	x.edge.addSubscription(x.topic, s)
	x.edge.requestJoin(s)
	return s
}

// answer brings messages from one place to another as the answer to a request; last tells that
// nothing is left.
func (x *piecesTest) answer(request uint64, from, to ids.Position, last bool) {
	joined := shardapi.Joined{Req: request, Topic: "a.x", End: to, Piece: !last}
	for p := from + 1; p <= to; p++ {
		joined.Items = append(joined.Items, topicstate.Item{Pos: p, Client: "bob", Seq: ids.Seq(p), Body: []byte("x")})
	}
	x.edge.joined(joined)
}

// decided brings a message of the flow.
func (x *piecesTest) decided(p ids.Position) {
	item := shardapi.Item{Topic: "a.x", Pos: p, Client: "bob", Seq: ids.Seq(p), Body: []byte("x")}
	x.edge.flow(x.link, shardapi.Flow{Items: []shardapi.Item{item}})
}

// expect compares what a client was handed with all numbers after one up to another.
func (x *piecesTest) expect(s *subscription, after, last int) {
	x.t.Helper()
	var got, want []string
	for _, line := range strings.Split(string(s.conn.pending), "\r\n") {
		if fields := strings.Fields(line); len(fields) > 4 && fields[0] == "DELIVER" {
			got = append(got, fields[4])
		}
	}
	for n := after + 1; n <= last; n++ {
		want = append(want, fmt.Sprint(n))
	}
	if !slices.Equal(got, want) {
		x.t.Errorf("%s got %v, want %d to %d", s.conn.client, got, after+1, last)
	}
}

// TestPiecesLeaveNoGap guards against a subscription that is handed what it missed in pieces getting
// a message that is decided meanwhile before those that lie between.
func TestPiecesLeaveNoGap(t *testing.T) {
	x := newPiecesTest(t)
	first := x.join(1, 0)
	x.answer(first.request, 0, 10, false)
	second := x.join(2, 40)
	x.answer(second.request, 40, 41, true) // the topic flows from here on
	x.decided(42)
	x.answer(first.request, 10, 20, false)
	x.decided(43)
	x.edge.goOn(first.conn) // what is asked for already is not asked for twice
	x.answer(first.request, 20, 43, true)
	x.decided(44)
	x.expect(first, 0, 44)
	x.expect(second, 40, 44)
}

// TestPiecesAtAnotherReplica: what a topic's subscribers missed while the edge turned to another
// replica comes in pieces, while another client joins and messages flow.
func TestPiecesAtAnotherReplica(t *testing.T) {
	x := newPiecesTest(t)
	first := x.join(1, 0)
	x.answer(first.request, 0, 10, true)
	x.edge.resumeAt(x.edge.feeds[0])
	x.answer(x.topic.resumeRequest, 10, 20, false)
	second := x.join(2, 30)
	x.answer(second.request, 30, 40, true)
	x.decided(41)
	x.answer(x.topic.resumeRequest, 20, 30, false)
	if x.topic.last != 30 {
		t.Errorf("what comes after %d is asked for, and 30 came", x.topic.last)
	}
	x.edge.resumeAt(x.edge.feeds[0]) // and to yet another one
	x.answer(x.topic.resumeRequest, 30, 35, false)
	x.decided(42)
	x.answer(x.topic.resumeRequest, 35, 42, true)
	x.decided(43)
	x.expect(first, 0, 43)
	x.expect(second, 30, 43)
}

// TestPiecesOnTheWayAreWaitedFor guards against a replica being left as too slow, and a subscription
// being turned away, while pieces that were asked for come over a narrow link.
func TestPiecesOnTheWayAreWaitedFor(t *testing.T) {
	x := newPiecesTest(t)
	x.edge.bounds.replicaLate = 100
	other := x.join(2, 0)
	first := x.join(1, 0)
	x.answer(first.request, 0, 10, false)
	now := ids.MonotonicNow()
	other.since = now - 2000
	for range 2 * lateLimit {
		x.edge.pong(now, x.link, shardapi.Ping{At: now - 300})
	}
	x.edge.feeds[0].pieceAt = now
	x.edge.sweep(now + 800)
	if x.edge.feeds[0].staleHeartbeats > 0 || x.edge.joins[other.request] != other {
		t.Error("a replica whose answer was coming was left, or a subscription behind it turned away")
	}
	for range lateLimit {
		x.edge.pong(now+1000, x.link, shardapi.Ping{At: now + 500})
	}
	x.edge.sweep(now + 1000)
	if x.edge.feeds[0].staleHeartbeats == 0 || x.edge.joins[other.request] == other {
		t.Error("a replica that is late with nothing on the way is followed on, or its answer waited for")
	}
}
