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
)

// TestLongAbsenceIsMadeUpFor: a client that reads gets all that it missed, however much more that is
// than may wait for one client. Messages that come meanwhile follow in their order.
func TestLongAbsenceIsMadeUpFor(t *testing.T) {
	const missed, later, body = 300, 20, 500 // 150 kB, where 4 kB may wait
	d := newDaemon(bounds{clientOut: 4 << 10, clientSilence: 1 << 30, joinWait: 1 << 30, maxCalls: 100})
	d.core = &edgecore.Core{Control: &controlapi.Client{}, Actor: replication.NewActor(100)}
	here, there := net.Pipe()
	defer there.Close()
	c := newConn(d, 1, here)
	c.client = "ann"
	d.conns[1] = c
	topic := &followedTopic{name: "a.x", subscribers: map[*conn]*subscription{}}
	d.topics["a.x"] = topic
	s := &subscription{conn: c, request: 7, retained: true, hasFrom: true, cursor: "c"}
	d.addSubscription(topic, s)
	d.joins[7] = s
	go c.writer()
	go d.core.Actor.Run(func() time.Duration {
		for _, c := range d.dirty {
			c.flush()
		}
		d.dirty = d.dirty[:0]
		return time.Millisecond
	})
	defer d.core.Actor.Stop()
	joined := shardapi.Joined{Req: 7, Topic: "a.x", End: missed}
	message := func(n int) topicstate.Item {
		return topicstate.Item{Pos: ids.Position(n), Client: "bob", Seq: ids.Seq(n), Body: []byte(strings.Repeat("x", body))}
	}
	for n := 1; n <= missed; n++ {
		joined.Items = append(joined.Items, message(n))
	}
	d.core.Actor.Do(func() {
		d.joined(joined)
		for n := missed + 1; n <= missed+later; n++ {
			it := message(n)
			d.deliverAll(topic, it.Pos, it.Client, it.Seq, it.Body)
		}
	})
	there.SetReadDeadline(time.Now().Add(5 * time.Second))
	reader := bufio.NewReader(there)
	for n := 0; n < missed+later; {
		line, err := reader.ReadString('\n')
		if err != nil {
			t.Fatalf("after %d of %d messages: %v", n, missed+later, err)
		}
		if strings.HasPrefix(line, "DELIVER") {
			n++
			if fields := strings.Fields(line); fields[4] != fmt.Sprint(n) {
				t.Fatalf("message %s in the place of %d", fields[4], n)
			}
		}
	}
}
