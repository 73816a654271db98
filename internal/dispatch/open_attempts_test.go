package dispatch

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
	"oxbowdeck/internal/queue"
)

// Processes and times of the tests of open attempts.
const (
	formerLeader = ids.Node("former")
	otherStore   = ids.Node("other")
	beganFor     = ids.Millis(800)
)

// fixedGroup is a group whose decided time is set by the test.
type fixedGroup struct{ time *ids.Millis }

func (g fixedGroup) Lead() (ids.Node, bool)       { return "here", true }
func (g fixedGroup) Time(ids.Millis) ids.Millis   { return *g.time }
func (g fixedGroup) Fresh(ids.Millis) bool        { return true }
func (g fixedGroup) Submit(_ paxos.Request) error { return nil }

// decidedOrder is a shard that commands are decided for, one an instance.
type decidedOrder struct {
	t     *testing.T
	host  *Host
	shard *Shard
	slot  ids.Slot
	time  ids.Millis
}

func newDecidedOrder(t *testing.T) *decidedOrder {
	t.Helper()
	d := &decidedOrder{t: t, time: 100}
	d.host = New(Environment{
		Self:  controlapi.Node{Addr: "here", Incarnation: 1},
		Group: func(ids.Group) Group { return fixedGroup{&d.time} },
		Now:   func() ids.Millis { return d.time },
	})
	d.shard = d.host.Open(0)
	return d
}

// decide applies a command at the decided time.
func (d *decidedOrder) decide(command queue.Command) {
	d.t.Helper()
	data, err := cbor.Marshal(command)
	if err != nil {
		d.t.Fatal(err)
	}
	d.slot++
	request := paxos.Request{ID: paxos.ID{Origin: "x", Seq: uint64(d.slot)}, Data: data}
	if command.Msg != nil {
		request.ID = paxos.ID{Origin: command.Msg.ID}
	}
	value := paxos.Value{Stamp: d.time, Reqs: []paxos.Request{request}}
	d.shard.Apply(paxos.Decided{Slot: d.slot, Value: value})
}

// accept has a message accepted and gives its place.
func (d *decidedOrder) accept(id string) ids.Position {
	d.t.Helper()
	d.decide(queue.Command{Verb: queue.Accept, Msg: &queue.Message{ID: id, Hold: 600_000}})
	return d.shard.state.Find(id).Pos
}

// begin has an attempt begun by a process, after so many others.
func (d *decidedOrder) begin(pos ids.Position, by ids.Node, before uint32) {
	d.t.Helper()
	attempt := queue.Attempt{Pos: pos, Number: before, RunsFor: beganFor}
	d.decide(queue.Command{Verb: queue.Begin, Attempts: []queue.Attempt{attempt}, By: by, Incarnation: 1})
}

func (d *decidedOrder) end(attempt queue.Attempt) {
	d.t.Helper()
	d.decide(queue.Command{Verb: queue.End, Attempts: []queue.Attempt{attempt}})
}

// want checks whether the two processes are waited for.
func (d *decidedOrder) want(what string, former, other bool) {
	d.t.Helper()
	if got := d.host.Awaits(0, formerLeader, d.time); got != former {
		d.t.Errorf("%s: the former leader is waited for: %v, want %v", what, got, former)
	}
	if got := d.host.Awaits(0, otherStore, d.time); got != other {
		d.t.Errorf("%s: another store is waited for: %v, want %v", what, got, other)
	}
}

// TestFormerLeaderIsWaitedFor guards against a former leader that is let go while an end that
// it alone knows is not decided.
func TestFormerLeaderIsWaitedFor(t *testing.T) {
	for _, test := range []struct {
		what string
		end  queue.Attempt
	}{
		{"a success", queue.Attempt{Number: 1, Outcome: queue.Done, Seal: "s"}},
		{"a refusal for good", queue.Attempt{Number: 1, Outcome: queue.Never}},
		{"a failure", queue.Attempt{Number: 1, Outcome: queue.Failed, FailureLimit: 3}},
		{"an attempt that did not run", queue.Attempt{Number: 1, Outcome: queue.NotRun}},
		{"an attempt that may go on, as who sent it says", queue.Attempt{Number: 1, Outcome: queue.Lost, RunsFor: 500}},
	} {
		t.Run(test.what, func(t *testing.T) {
			d := newDecidedOrder(t)
			d.want("nothing was begun", false, false)
			pos := d.accept("m")
			d.want("accepted", false, false)
			d.begin(pos, formerLeader, 0)
			d.want("begun", true, false)
			test.end.Pos = pos
			d.end(test.end)
			d.want("ended", false, false)
		})
	}
}

// TestOpenAttemptsAreOfTheirProcess: each attempt is waited for at who began it, the end of
// an earlier one ends none that began since, and time ends all.
func TestOpenAttemptsAreOfTheirProcess(t *testing.T) {
	d := newDecidedOrder(t)
	first, second := d.accept("m1"), d.accept("m2")
	d.begin(first, formerLeader, 0)
	d.begin(second, otherStore, 0)
	d.want("both have begun", true, true)
	d.end(queue.Attempt{Pos: second, Number: 1, Outcome: queue.NotRun})
	d.want("the other's has ended", true, false)
	d.begin(second, formerLeader, 1)
	d.end(queue.Attempt{Pos: second, Number: 1, Outcome: queue.Lost, RunsFor: 300})
	d.end(queue.Attempt{Pos: first, Number: 1, Outcome: queue.Done, Seal: "s"})
	d.want("an end of the attempt before came late", true, false)
	d.time += beganFor + queue.Slack
	d.want("the time of the attempt is over", false, false)
}

// TestOpenAttemptsOfASnapshot: it does not tell who began an attempt, so all are waited for.
func TestOpenAttemptsOfASnapshot(t *testing.T) {
	d := newDecidedOrder(t)
	pos := d.accept("m")
	d.begin(pos, formerLeader, 0)
	saved, err := d.shard.Save()
	if err != nil {
		t.Fatal(err)
	}
	later := newDecidedOrder(t)
	later.time, later.slot = d.time, d.slot
	if err := later.shard.Load(saved); err != nil {
		t.Fatal(err)
	}
	later.want("after a snapshot", true, true)
	later.end(queue.Attempt{Pos: pos, Number: 1, Outcome: queue.Done, Seal: "s"})
	later.want("ended", false, false)
	if !later.host.Awaits(9, formerLeader, later.time) {
		t.Error("who knows nothing of a group waits for nobody")
	}
}
