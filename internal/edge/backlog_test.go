package edge

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/edgecore"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/replication"
	"oxbowdeck/internal/shardapi"
	topicstate "oxbowdeck/internal/topic"
	"oxbowdeck/internal/transport"
)

// TestLongAbsenceIsMadeUpFor: a client that reads gets all that it missed, however much more that is
// than may wait for one client. Messages that come meanwhile follow in their order.
func TestLongAbsenceIsMadeUpFor(t *testing.T) {
	const missed, later, body = 300, 20, 500 // 150 kB, where 4 kB may wait
	d := newDaemon(bounds{clientOut: 4 << 10, clientSilence: 1 << 30, joinWait: 1 << 30, maxCalls: 100})
	hub := transport.New(transport.Hello{Node: "e"}, transport.Bounds{Queue: 1 << 20, RetryMin: time.Millisecond, RetryMax: time.Millisecond},
		nil, func(*transport.Link) {})
	update := &controlapi.Update{Shards: make([]controlapi.Shard, 1)}
	d.core = &edgecore.Core{Hub: hub, Control: &controlapi.Client{Update: update}, Actor: replication.NewActor(100)}
	d.feeds = []*shardFeed{{link: hub.To("127.0.0.1:1")}}
	here, there := net.Pipe()
	defer there.Close()
	c := newConn(d, 1, here)
	c.client = "ann"
	d.conns[1] = c
	topic := &followedTopic{name: "a.x", subscribers: map[*conn]*subscription{}}
	d.topics["a.x"] = topic
	s := &subscription{conn: c, request: 7, retained: true, hasFrom: true, cursor: "c"}
	d.addSubscription(topic, s)
	message := func(n int) topicstate.Item {
		return topicstate.Item{Pos: ids.Position(n), Client: "bob", Seq: ids.Seq(n), Body: []byte(strings.Repeat("x", body))}
	}
	decided := 0       // messages so far
	answer := func() { // as the replica that is followed does
		for request, s := range d.joins {
			joined := shardapi.Joined{Req: request, Topic: "a.x", End: ids.Position(decided)}
			for n := int(s.last) + 1; n <= decided; n++ {
				joined.Items = append(joined.Items, message(n))
			}
			d.joined(joined)
		}
	}
	go c.writer()
	go d.core.Actor.Run(func() time.Duration {
		answer()
		for _, c := range d.dirty {
			c.flush()
		}
		d.dirty = d.dirty[:0]
		return time.Millisecond
	})
	defer d.core.Actor.Stop()
	d.core.Actor.Do(func() {
		d.joins[7], decided = s, missed
		answer()
		for decided < missed+later { // they come while it is behind
			decided++
			it := message(decided)
			d.deliverAll(topic, it.Pos, it.Client, it.Seq, it.Body)
		}
	})
	there.SetReadDeadline(time.Now().Add(5 * time.Second))
	reader := bufio.NewReader(there)
	live := missed + later + 1
	for n := 0; n < live; {
		line, err := reader.ReadString('\n')
		if err != nil {
			t.Fatalf("after %d of %d messages: %v", n, live, err)
		}
		if strings.HasPrefix(line, "DELIVER") {
			n++
			if n == missed+later { // it has all there is: what comes now is handed to it as before
				d.core.Actor.Do(func() {
					decided++
					it := message(decided)
					d.deliverAll(topic, it.Pos, it.Client, it.Seq, it.Body)
				})
			}
			if fields := strings.Fields(line); fields[4] != fmt.Sprint(n) {
				t.Fatalf("message %s in the place of %d", fields[4], n)
			}
		}
	}
}
