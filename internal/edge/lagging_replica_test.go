package edge

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/edgecore"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/shardapi"
	topicstate "oxbowdeck/internal/topic"
)

// TestJoinedAtALaggingReplica: a client takes a topic up while the replica followed stands behind
// what the edge's other clients have had of it. When the edge turns to another replica, the client
// gets what lies between, and the others get nothing twice.
func TestJoinedAtALaggingReplica(t *testing.T) {
	const handed, lagging, newest = 100, 50, 110
	d := newDaemon(bounds{clientOut: 1 << 20})
	d.core = &edgecore.Core{Control: &controlapi.Client{}}
	items := func(from, to ids.Position) (list []topicstate.Item) {
		for p := from + 1; p <= to; p++ {
			list = append(list, topicstate.Item{Pos: p, Client: "bob", Seq: ids.Seq(p), Body: []byte("x")})
		}
		return list
	}
	topic := &followedTopic{name: "a.x", subscribers: map[*conn]*subscription{}}
	d.topics["a.x"] = topic
	join := func(request uint64, from ids.Position) *conn {
		c := &conn{daemon: d, id: request, client: ids.Client(fmt.Sprint("c", request)), wake: make(chan struct{}, 1)}
		d.conns[c.id] = c
		s := &subscription{conn: c, request: request, retained: true, hasFrom: true, from: from, cursor: "c"}
		d.addSubscription(topic, s)
		d.joins[request] = s
		return c
	}
	before := join(1, 0)
	d.joined(shardapi.Joined{Req: 1, Topic: "a.x", End: handed, Items: items(0, handed)})
	// another replica is followed, which stands lower, and is asked for what the topic lacks
	d.resume(topic, shardapi.Joined{Topic: "a.x", End: lagging})
	late := join(2, 20)
	d.joined(shardapi.Joined{Req: 2, Topic: "a.x", End: lagging, Items: items(20, lagging)})
	// and before it has caught up another one, which is asked as resumeTopic does
	d.resume(topic, shardapi.Joined{Topic: "a.x", End: newest, Items: items(topic.last, newest)})

	numbers := func(c *conn) (list []string) {
		for _, line := range strings.Split(string(c.pending), "\r\n") {
			if fields := strings.Fields(line); len(fields) > 4 && fields[0] == "DELIVER" {
				list = append(list, fields[4])
			}
		}
		return list
	}
	expect := func(c *conn, from int) {
		t.Helper()
		var want []string
		for n := from + 1; n <= newest; n++ {
			want = append(want, fmt.Sprint(n))
		}
		if got := numbers(c); !slices.Equal(got, want) {
			t.Errorf("%s got %d messages, want %d to %d: %v", c.client, len(got), from+1, newest, got)
		}
	}
	expect(before, 0)
	expect(late, 20)
}
