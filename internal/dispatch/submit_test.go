package dispatch

import (
	"fmt"
	"slices"
	"testing"

	"oxbowdeck/internal/codec"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
	"oxbowdeck/internal/queue"
)

// TestFinalEndsAreKept: after its time, only an end that lets the message be sent again
// is given up; that it was done, or never can be, is submitted until it is decided.
func TestFinalEndsAreKept(t *testing.T) {
	s := newShard(&Host{}, 1)
	outcomes := map[ids.Position]queue.Outcome{1: queue.Done, 2: queue.Never, 3: queue.Lost, 4: queue.NotRun}
	for pos, outcome := range outcomes {
		s.reportEnd(0, queue.Attempt{Pos: pos, Outcome: outcome})
		s.reservations[pos] = &reservation{}
	}
	if due := s.dueEnds(endKept); len(due) != len(outcomes) {
		t.Fatalf("%d ends are submitted in time, want %d", len(due), len(outcomes))
	}
	var kept []ids.Position
	for _, attempt := range s.dueEnds(2 * endKept) {
		kept = append(kept, attempt.Pos)
	}
	if !slices.Equal(kept, []ids.Position{1, 2}) {
		t.Errorf("ends of messages %v are submitted, want [1 2]", kept)
	}
	for pos, outcome := range outcomes {
		if held := s.reservations[pos] != nil; held != final(outcome) {
			t.Errorf("%s: its slot is held: %v", outcome, held)
		}
	}
}

// TestSpoiledEndSpoilsNoOther guards against messages that run again after a success: an end
// that can't be encoded kept those of other messages, due in the same moment, from being decided.
func TestSpoiledEndSpoilsNoOther(t *testing.T) {
	const messages = 5
	s := found(t, 1, "")
	s.calm = true
	n := s.nodes[s.leader]
	for i := range messages {
		m := &simMsg{seals: map[string]bool{}}
		m.Message = queue.Message{ID: fmt.Sprint("m", i), Method: "POST", Path: "/plain", Hold: 600000, Release: 1}
		s.msgs[m.ID] = m
		s.order = append(s.order, m)
		data, err := codec.Marshal(queue.Command{Verb: queue.Accept, Msg: &m.Message})
		if err != nil {
			t.Fatal(err)
		}
		s.put(n.i, paxos.Request{ID: paxos.ID{Origin: m.ID}, Data: data})
	}
	s.spoilSeal = func(m *simMsg) bool { return m.ID == "m2" && len(m.seals) == 1 }
	s.pass(100, never) // all are accepted
	s.pass(3000, s.settled)
	for _, m := range s.order {
		wantRuns := 1
		if m.ID == "m2" { // nothing is known of the run with the spoiled seal
			wantRuns = 2
		}
		row := n.shard.state.Find(m.ID)
		if row.Outcome != queue.Done || len(m.seals) != wantRuns || !m.seals[row.Seal] {
			t.Errorf("%s is %s with seal %q after %d runs", m.ID, row.Outcome, row.Seal, len(m.seals))
		}
	}
}
