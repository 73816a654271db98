package dispatch

import (
	"testing"

	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/invariant"
	"oxbowdeck/internal/paxos"
	"oxbowdeck/internal/queue"

	"github.com/fxamacker/cbor/v2"
)

// acceptedRows takes messages of one sequence into a shard's state.
func acceptedRows(t *testing.T, s *Shard, names ...string) (rows []*queue.Row) {
	t.Helper()
	for i, name := range names {
		message := &queue.Message{ID: name, Key: "k", Ordered: true, Hold: 1 << 30}
		data, err := cbor.Marshal(queue.Command{Verb: queue.Accept, Msg: message})
		if err != nil {
			t.Fatal(err)
		}
		s.state.Apply(paxos.Decided{Slot: ids.Slot(i + 1), Value: paxos.Value{
			Reqs: []paxos.Request{{ID: paxos.ID{Origin: name}, Data: data}},
		}}, func(queue.Event) {})
		rows = append(rows, s.state.Find(name))
	}
	return rows
}

// TestSecondAttemptOfASequenceIsSeen: one begins while another's is under way, and one goes on
// after its last failure.
func TestSecondAttemptOfASequenceIsSeen(t *testing.T) {
	s := newShard(New(Environment{}), 0)
	rows := acceptedRows(t, s, "first", "second")
	s.checkStart(rows[0], &reservation{failureLimit: 3})
	s.checkStart(rows[0], &reservation{failureLimit: 3}) // the same message again
	invariant.Expect(t, invariant.OneAttemptPerSequence, func() {
		s.checkStart(rows[1], &reservation{failureLimit: 3})
	})
	rows[0].Failures = 3
	invariant.Expect(t, invariant.AttemptsWithinBudget, func() {
		s.checkStart(rows[0], &reservation{failureLimit: 3})
	})
}
