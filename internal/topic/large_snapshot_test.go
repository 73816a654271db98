package topic

import (
	"testing"

	"oxbowdeck/internal/ids"
)

// moreThanADecoderTakes is past the number of elements that a CBOR decoder takes by default.
const moreThanADecoderTakes = 140_000

// TestSnapshotOfABusyTopic: a topic with more kept messages, and a client with more remembered
// numbers, than a decoder takes by default comes back from a snapshot. One client that sends
// 3,000 messages a second in a space that keeps them for 35 s makes such a state.
func TestSnapshotOfABusyTopic(t *testing.T) {
	bounds := Bounds{Slack: 1000, Resend: 30_000, Publishers: 1000, Topics: 1000, Live: 10, SweepMs: 1000}
	s := New(bounds)
	for seq := ids.Seq(1); seq <= moreThanADecoderTakes; seq++ {
		s.publish(&Command{Verb: Publish, Topic: "a.x", Client: "ann", Seq: seq, Keep: 35_000}, ids.Position(seq))
	}
	snapshot, err := s.Save()
	if err != nil {
		t.Fatal(err)
	}
	again := New(bounds)
	if err := again.Load(snapshot); err != nil {
		t.Fatal(err)
	}
	items, ok := again.After("a.x", 0)
	if !ok || len(items) != moreThanADecoderTakes {
		t.Errorf("%d messages came back, %v", len(items), ok)
	}
	if verdict, known := again.Known("ann", "a.x", 1); !known || verdict != Again {
		t.Errorf("the first number: %v, %v", verdict, known)
	}
}
