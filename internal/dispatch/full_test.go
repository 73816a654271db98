package dispatch

import (
	"errors"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
	"oxbowdeck/internal/queue"
)

// takingGroup is a group that is led here and notes what it is given.
type takingGroup struct{ taken *[]paxos.Request }

func (g takingGroup) Lead() (ids.Node, bool)         { return "here", true }
func (g takingGroup) Time(now ids.Millis) ids.Millis { return now }
func (g takingGroup) Fresh(ids.Millis) bool          { return true }
func (g takingGroup) Submit(request paxos.Request) error {
	*g.taken = append(*g.taken, request)
	return nil
}

// TestFullLeaderTakesEnds guards against messages that run again since a leader whose memory or
// disk is nearly full refuses the ends that the leader before it reports.
func TestFullLeaderTakesEnds(t *testing.T) {
	message := queue.Message{ID: "m", Hold: 1000}
	ofTenant := message
	ofTenant.Tenant = "a"
	end := queue.Attempt{Pos: 1, Number: 1, Outcome: queue.Done, Seal: "s"}
	for _, test := range []struct {
		what    string
		full    bool
		command queue.Command
		want    error
	}{
		{"a message", false, queue.Command{Verb: queue.Accept, Msg: &message}, nil},
		{"a message, while full", true, queue.Command{Verb: queue.Accept, Msg: &message}, paxos.ErrFull},
		{"a tenant's message, while full", true, queue.Command{Verb: queue.Accept, Msg: &ofTenant}, paxos.ErrFull},
		{"ends", false, queue.Command{Verb: queue.End, Attempts: []queue.Attempt{end}}, nil},
		{"ends, while full", true, queue.Command{Verb: queue.End, Attempts: []queue.Attempt{end}}, nil},
	} {
		var taken []paxos.Request
		host := New(Environment{
			Self:  controlapi.Node{Addr: "here", Incarnation: 1},
			Group: func(ids.Group) Group { return takingGroup{&taken} },
			Full:  func() bool { return test.full },
		})
		host.Open(0)
		data, err := cbor.Marshal(test.command)
		if err != nil {
			t.Fatal(err)
		}
		request := paxos.Request{ID: paxos.ID{Origin: "former", Seq: 7}, Data: data}
		if err := host.Handler(nil, 0).Submit(request); !errors.Is(err, test.want) {
			t.Errorf("%s: %v, want %v", test.what, err, test.want)
		}
		if (len(taken) == 1) != (test.want == nil) {
			t.Errorf("%s: %d requests were put to the group", test.what, len(taken))
		}
	}
}
