package edge

import (
	"fmt"
	"testing"
	"time"

	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/edgecore"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
)

// timeToForget tells how long the ends of a hundred connections take at an edge where others have
// so many topics, and calls under way.
func timeToForget(others int) time.Duration {
	d := newDaemon(bounds{clientOut: 1000})
	d.core = &edgecore.Core{Control: &controlapi.Client{}}
	subscribe := func(c *conn, name ids.Topic) {
		t := &followedTopic{name: name, subscribers: map[*conn]*subscription{}}
		d.topics[name] = t
		d.addSubscription(t, &subscription{conn: c, topic: t})
	}
	connect := func(id uint64) *conn {
		c := &conn{daemon: d, id: id, client: ids.Client(fmt.Sprint("c", id))}
		d.conns[id] = c
		return c
	}
	stays := connect(0)
	for i := range others {
		subscribe(stays, ids.Topic(fmt.Sprint("other.", i)))
		id := paxos.ID{Origin: "c0", Seq: uint64(i + 1)}
		d.addCall(&call{request: paxos.Request{ID: id}, conn: stays, seq: ids.Seq(i + 1)})
	}
	const ending = 100
	var list []*conn
	for i := range uint64(ending) {
		c := connect(i + 1)
		subscribe(c, ids.Topic(fmt.Sprint("own.", i)))
		d.addCall(&call{request: paxos.Request{ID: paxos.ID{Origin: string(c.client), Seq: 1}}, conn: c, seq: 1})
		list = append(list, c)
	}
	began := time.Now()
	for _, c := range list {
		d.forget(c)
	}
	took := time.Since(began)
	if len(d.conns) != 1 || len(d.topics) != others || len(d.calls) != others+ending {
		panic(fmt.Sprintf("%d connections, %d topics, %d calls are left", len(d.conns), len(d.topics), len(d.calls)))
	}
	for _, c := range list {
		if d.calls[paxos.ID{Origin: string(c.client), Seq: 1}].conn != nil {
			panic("a call still answers a connection that ended")
		}
	}
	return took
}

// TestEndOfAConnectionCostsItsOwn: what the end of a connection costs does not grow with what the
// others have. Most connections of an edge may be reset at once.
func TestEndOfAConnectionCostsItsOwn(t *testing.T) {
	const few, many, most = 200, 20_000, 8
	least := func(others int) time.Duration {
		return min(timeToForget(others), timeToForget(others), timeToForget(others))
	}
	short, long := least(few), least(many)
	t.Logf("100 connections: %v beside %d topics and calls, %v beside %d", short, few, long, many)
	if long > most*short {
		t.Errorf("the ends of 100 connections take %v beside %d topics and calls, and %v beside %d", short, few, long, many)
	}
}
