package topic

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
)

var small = Bounds{Slack: 100, Resend: 1000, Publishers: 10, Clients: 1000, Topics: 2, Live: 50, SweepMs: 1}

type play struct {
	*State
	slot     ids.Slot
	verdicts []Verdict
}

func (p *play) run(t *testing.T, stamp ids.Millis, cmds ...Command) {
	t.Helper()
	p.slot++
	v := paxos.Value{Stamp: stamp}
	for i, c := range cmds {
		b, err := cbor.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		id := paxos.ID{Origin: string(c.Client), Seq: uint64(c.Seq)}
		if c.Verb != Publish && c.Seq == 0 {
			id = paxos.ID{Origin: "edge", Seq: uint64(p.slot)*100 + uint64(i)}
		}
		v.Reqs = append(v.Reqs, paxos.Request{ID: id, Data: b})
	}
	p.verdicts = nil
	p.Apply(paxos.Decided{Slot: p.slot, Value: v}, func(e Event) { p.verdicts = append(p.verdicts, e.Verdict) })
}

func pub(c ids.Client, seq ids.Seq, keep ids.Millis) Command {
	return Command{Verb: Publish, Topic: "t", Client: c, Seq: seq, Body: []byte("body"), Keep: keep}
}

func TestNumbersOfAClient(t *testing.T) {
	p := &play{State: New(small)}
	p.run(t, 0, pub("c", 5, 500))
	p.run(t, 1, pub("c", 5, 500), pub("c", 3, 500), pub("d", 1, 500), pub("c", 9, 500))
	want := []Verdict{Refused, Again, Fresh, Fresh} // in the order of ids: c3 c5 c9 d1
	for i, v := range want {
		if p.verdicts[i] != v {
			t.Fatalf("verdicts %v, want %v", p.verdicts, want)
		}
	}
	p.run(t, 2, pub("c", 3, 500), pub("c", 7, 500))
	if p.verdicts[0] != Refused || p.verdicts[1] != Refused {
		t.Fatal("a refused number, or one passed over, was taken later")
	}
	items, _ := p.After("t", 0)
	if len(items) != 3 {
		t.Fatalf("%d messages held, want 3", len(items))
	}
}

func TestPlacesAndTrimming(t *testing.T) {
	p := &play{State: New(small)}
	p.run(t, 0, pub("c", 1, 500))
	first := p.End()
	p.run(t, 400, pub("c", 2, 500))
	if items, ok := p.After("t", first); !ok || len(items) != 1 || items[0].Seq != 2 {
		t.Fatal("a place names what follows it")
	}
	p.run(t, 601)
	if _, ok := p.After("t", 0); ok {
		t.Fatal("a place before what was let go of must be told apart")
	}
	if items, ok := p.After("t", first); !ok || len(items) != 1 {
		t.Fatal("a place after it is good, and its messages are held")
	}
	p.run(t, 300) // a leader whose time is behind
	if p.Clock() != 601 {
		t.Fatal("decided time went back")
	}
	// topics without history are forgotten past a bound, and their places with them
	for i := 0; i < 4; i++ {
		c := pub("c", ids.Seq(10+i), 1)
		c.Topic = ids.Topic(rune('a' + i))
		p.run(t, 700, c)
	}
	p.run(t, 5000)
	if _, ok := p.After("never-seen", 0); ok {
		t.Fatal("a place older than everything forgotten can't be vouched for")
	}
	if _, ok := p.After("never-seen", p.End()); !ok {
		t.Fatal("a new place is good for any topic")
	}
}

func TestSubscriptions(t *testing.T) {
	p := &play{State: New(small)}
	subscribe := func(v Verb, c ids.Client, edge ids.Node, incarnation ids.Incarnation, conn uint64) Command {
		return Command{Verb: v, Topic: "t", Client: c, Edge: edge, Incarnation: incarnation, Conn: conn}
	}
	p.run(t, 0, subscribe(Subscribe, "a", "e1", 1, 1), subscribe(Subscribe, "b", "e1", 1, 2))
	p.run(t, 1, subscribe(Subscribe, "a", "e2", 1, 1)) // a moved; its old connection lingers
	p.run(t, 2, subscribe(Unsubscribe, "a", "e1", 1, 1))
	if p.Count("t") != 2 {
		t.Fatalf("%d subscribed, want 2: an old connection's end ended the new subscription", p.Count("t"))
	}
	p.run(t, 3, Command{Verb: EdgeGone, Edge: "e1", Incarnation: 1})
	if p.Count("t") != 1 {
		t.Fatalf("%d subscribed, want 1: the incarnation of e1 has ended", p.Count("t"))
	}
	// copies that come late: of what was ended, of a subscription before, of its end
	p.run(t, 4, subscribe(Subscribe, "c", "e2", 1, 5), subscribe(Unsubscribe, "c", "e2", 1, 5))
	p.run(t, 5, subscribe(Subscribe, "c", "e2", 1, 5))
	if p.Count("t") != 1 {
		t.Fatalf("%d subscribed, want 1: a late copy subscribed one that had left", p.Count("t"))
	}
	p.run(t, 6, subscribe(Subscribe, "c", "e2", 1, 7))
	p.run(t, 7, subscribe(Subscribe, "c", "e2", 1, 6), subscribe(Unsubscribe, "c", "e2", 1, 6))
	if p.Count("t") != 2 {
		t.Fatalf("%d subscribed, want 2: late copies ended one that had come again", p.Count("t"))
	}
	p.run(t, 8, subscribe(Unsubscribe, "c", "e2", 1, 7))
	b1, err := p.Save()
	if err != nil {
		t.Fatal(err)
	}
	q := New(small)
	if err := q.Load(b1); err != nil {
		t.Fatal(err)
	}
	if b2, _ := q.Save(); string(b1) != string(b2) || q.Count("t") != 1 {
		t.Fatal("a saved state did not come back the same")
	}
	late := &play{State: q, slot: p.slot}
	if late.run(t, 9, subscribe(Subscribe, "c", "e2", 1, 7)); q.Count("t") != 1 {
		t.Fatal("a late copy subscribed one that had left before the state was saved")
	}
	late.run(t, 9+duplicateWindow+1)
	if late.run(t, 9+duplicateWindow+2); len(q.endedSubscriptions) != 0 {
		t.Fatalf("%d subscriptions that ended long ago are remembered", len(q.endedSubscriptions))
	}
	if old, _ := q.Save(); New(small).Load(old[:len(old)-1]) != nil {
		t.Fatal("a state saved before ended subscriptions were kept is refused")
	}
	before, _ := q.Save()
	if q.Load(b1[:len(b1)/2]) == nil {
		t.Fatal("half a snapshot was taken for a whole one")
	}
	if after, _ := q.Save(); string(before) != string(after) {
		t.Fatal("half a snapshot changed the state")
	}
}
