package dispatch

import (
	"net"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/shardapi"
	"oxbowdeck/internal/transport"
)

// frame is what an edge was sent.
type frame struct {
	kind transport.Kind
	body []byte
}

// linkToEdge gives a store's link to an edge on loopback, and what the edge gets over it.
func linkToEdge(t *testing.T) (*transport.Link, <-chan frame) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	listener.Close()
	bounds := transport.Bounds{Queue: 1 << 20, Frame: 1 << 20, Dial: time.Second, Silence: time.Second}
	frames := make(chan frame, 9)
	receive := func(_ *transport.Link, kind transport.Kind, body []byte) { frames <- frame{kind, body} }
	edge := transport.New(transport.Hello{Node: "edge", Incarnation: 1}, bounds, receive, func(*transport.Link) {})
	if err := edge.Listen(address); err != nil {
		t.Fatal(err)
	}
	store := transport.New(transport.Hello{Node: "store", Incarnation: 1}, bounds, nil, func(*transport.Link) {})
	t.Cleanup(func() { edge.Close(0); store.Close(0) })
	return store.To(ids.Node(address)), frames
}

// ask has a node asked how a message stands.
func (n *simNode) ask(link *transport.Link, number uint64, message string) {
	body, _ := cbor.Marshal(shardapi.State{Req: number, ID: message})
	n.host.Frame(link, shardapi.KindState, body)
}

// TestUnknown: that a message is not known is said by a leader alone, and only while
// it hears a majority; another may have been taken in elsewhere.
func TestUnknown(t *testing.T) {
	link, frames := linkToEdge(t)
	s := found(t, 1, "")
	n := s.nodes[s.leader]
	for number, c := range []struct{ leads, cut bool }{{false, false}, {true, true}, {true, false}} {
		n.leads, n.cut = c.leads, c.cut
		n.ask(link, uint64(number), "m0")
	}
	for got := range frames {
		if got.kind != shardapi.KindStated {
			continue // who leads may be told by any
		}
		x, _ := transport.Get[shardapi.Stated](got.body)
		if x.Req != 2 {
			t.Fatalf("not known, as one says that leads: %v, cut off: %v", x.Req > 0, x.Req == 1)
		}
		return
	}
}

// TestFollowerNamesTheLeader: who is asked for a message that it does not know, and does not
// lead, says who does: the edge that asks believes in an earlier leader.
func TestFollowerNamesTheLeader(t *testing.T) {
	link, frames := linkToEdge(t)
	s := found(t, 1, "")
	leader := addrOf(s.leader)
	follower := s.nodes[(s.leader+1)%len(s.nodes)]
	follower.leader = s.leader
	follower.ask(link, 1, "m0")
	select {
	case got := <-frames:
		x, ok := transport.Get[shardapi.Lead](got.body)
		if got.kind != shardapi.KindLead || !ok || x.Node != leader {
			t.Fatalf("told %v %v, %v leads", got.kind, x, leader)
		}
	case <-time.After(2 * time.Second):
		t.Fatal("told nothing")
	}
}
