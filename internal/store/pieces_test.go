package store

import (
	"fmt"
	"net"
	"testing"
	"time"

	"oxbowdeck/internal/codec"
	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
	"oxbowdeck/internal/shardapi"
	"oxbowdeck/internal/topic"
	"oxbowdeck/internal/transport"
)

// received is a frame that an edge got.
type received struct {
	kind transport.Kind
	body []byte
}

// linkToEdge gives a store's end of a link, and what the edge at the other end gets.
func linkToEdge(t *testing.T) (*transport.Link, chan received) {
	t.Helper()
	bounds := transport.Bounds{Queue: 1 << 20, Frame: 1 << 20, Dial: time.Second, Silence: time.Second}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	listener.Close()
	links, frames := make(chan *transport.Link, 1), make(chan received, 100)
	down := func(*transport.Link) {}
	store := transport.New(transport.Hello{Node: "store"}, bounds,
		func(l *transport.Link, _ transport.Kind, _ []byte) { links <- l }, down)
	if err := store.Listen(address); err != nil {
		t.Fatal(err)
	}
	edge := transport.New(transport.Hello{Node: "edge", Incarnation: 1}, bounds,
		func(_ *transport.Link, kind transport.Kind, body []byte) { frames <- received{kind, body} }, down)
	t.Cleanup(func() { edge.Close(0); store.Close(0) })
	edge.Send(ids.Node(address), shardapi.KindPing, shardapi.Ping{})
	return <-links, frames
}

// TestLargeAnswersGoInPieces: an edge that takes pieces gets what a subscription missed in frames of
// a bounded size, each message once and in order, and what is decided flows after the last alone. An
// edge of an earlier version gets it in one frame.
func TestLargeAnswersGoInPieces(t *testing.T) {
	const messages, pieceBytes = 50, 100
	d := &Daemon{pieceBytes: pieceBytes}
	d.followers = newFollowers(func(ids.Topic) ids.Group { return 0 })
	d.control = &controlapi.Client{Update: &controlapi.Update{Shards: make([]controlapi.Shard, 1)}}
	d.shards = newTopicShards(topic.Bounds{Slack: 1 << 30, SweepMs: 1 << 30}, d.followers)
	shard := d.shards.newShard(0)
	d.shards.add(0, shard)
	publish := func(seq int) {
		data, err := codec.Marshal(topic.Command{
			Verb: topic.Publish, Topic: "a.x", Client: "ann", Seq: ids.Seq(seq),
			Body: []byte(fmt.Sprintf("message %032d", seq)), Edge: "edge", Keep: 1000,
		})
		if err != nil {
			t.Fatal(err)
		}
		request := paxos.Request{ID: paxos.ID{Origin: "ann", Seq: uint64(seq)}, Data: data}
		shard.Apply(paxos.Decided{Slot: ids.Slot(seq), Value: paxos.Value{Reqs: []paxos.Request{request}}})
	}
	for seq := 1; seq <= messages; seq++ {
		publish(seq)
	}
	link, frames := linkToEdge(t)
	next := func() (kind transport.Kind, joined shardapi.Joined) {
		t.Helper()
		for {
			frame := <-frames
			switch frame.kind {
			case shardapi.KindFollowed:
				continue
			case shardapi.KindFlow:
				if flow, _ := transport.Get[shardapi.Flow](frame.body); len(flow.Items) > 0 {
					t.Fatalf("%d messages flow before the last piece", len(flow.Items))
				}
				continue
			}
			joined, ok := transport.Get[shardapi.Joined](frame.body)
			if !ok {
				t.Fatalf("a frame of kind %d can't be read", frame.kind)
			}
			return frame.kind, joined
		}
	}
	d.followers.follow(link, shardapi.Follow{Edge: "edge"}, true)
	f := d.followers.find(link)
	d.handleFollower(f, shardapi.KindTakesPieces, nil)
	from, decided := ids.Position(0), messages
	for frame := 0; ; frame++ {
		d.watch(f, shardapi.Watch{Req: 1, Topic: "a.x", From: from, Has: true, Keeps: true})
		kind, joined := next()
		for _, item := range joined.Items {
			if item.Pos.Slot() != from.Slot()+1 {
				t.Fatalf("the message of slot %d comes after that of %d", item.Pos.Slot(), from.Slot())
			}
			from = item.Pos
		}
		if kind == shardapi.KindJoined {
			break
		}
		if kind != shardapi.KindPiece || len(joined.Items) > pieceBytes/40+1 || joined.End != from || len(f.topics) > 0 {
			t.Fatalf("a frame of kind %d with %d messages up to %v of %v, flowing: %v",
				kind, len(joined.Items), from, joined.End, f.topics)
		}
		if frame < 10 {
			decided++
			publish(decided)
		}
	}
	if from.Slot() != ids.Slot(decided) || !f.topics["a.x"] {
		t.Fatalf("the last message is that of slot %d, want %d; flowing: %v", from.Slot(), decided, f.topics)
	}
	f.pieces = false
	d.watch(f, shardapi.Watch{Req: 2, Topic: "a.x", Has: true, Keeps: true})
	if kind, joined := next(); kind != shardapi.KindJoined || len(joined.Items) != decided {
		t.Fatalf("an edge of an earlier version got a frame of kind %d with %d messages", kind, len(joined.Items))
	}
}
