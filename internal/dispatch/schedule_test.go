package dispatch

import (
	"fmt"
	"strings"
	"testing"

	"oxbowdeck/internal/codec"
	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
	"oxbowdeck/internal/queue"
)

// TestNotBeforeAnEarlierLeadersAttemptIsOver: a message that an earlier leader sent waits
// until that attempt is over, unless its service recognizes repeated messages.
func TestNotBeforeAnEarlierLeadersAttemptIsOver(t *testing.T) {
	s, n, _, _ := alone(t, queue.Begin)
	const wait = ids.Millis(300)
	clock := n.host.Group(n.shard.group).Time(s.now)
	for _, c := range []struct {
		name    string
		service string
		until   ids.Millis
		later   bool
	}{
		{"it may still run", "list", clock + wait, true},
		{"it is over", "list", clock, false},
		{"repeats are recognized", "pair", clock + wait, false},
	} {
		row := &queue.Row{Pos: 1, Running: true, RunningUntil: c.until}
		at, later := n.shard.notBefore(s.now, row, &controlapi.Space{Service: c.service})
		if later != c.later || later && at != s.now+wait+runningMargin {
			t.Errorf("%s: waits: %v, until %d ms", c.name, later, at-s.now)
		}
	}
}

// TestOneMessageHoldsUpNoOther guards against a queue that stands still while a worker is idle:
// its first message failed at the only worker that can be had, and waited for one that can't.
func TestOneMessageHoldsUpNoOther(t *testing.T) {
	const now = ids.Millis(5000)
	for name, change := range map[string]func(other *worker){
		"the other one drains":       func(w *worker) { w.Draining = true },
		"the other one is ejected":   func(w *worker) { w.ejectedUntil = now + 1000 },
		"the other one is on trial":  func(w *worker) { w.probation, w.inFlight = true, 1 },
		"the other one has no room":  func(w *worker) { w.inFlight = defaultConnectionLimit },
		"the other one is busy":      func(w *worker) { w.busyUntil = now + 10 },
		"the other one's queue long": func(w *worker) { w.Slots, w.inFlight = 1, 2*loadLimit },
		"both can be had":            func(w *worker) { w.inFlight = 2 }, // fuller than the one to avoid
	} {
		t.Run(name, func(t *testing.T) {
			s := found(t, 1, "")
			s.calm = true
			n := s.nodes[s.leader]
			host, shard := n.host, n.shard
			failedAt := &worker{Worker: controlapi.Worker{ID: "failed-at", Service: "list", Zone: "z", Slots: 4}}
			other := &worker{Worker: controlapi.Worker{ID: "other", Service: "list", Zone: "z", Slots: 4}}
			change(other)
			usable := name == "both can be had"
			service := host.services["list"]
			service.near, service.far = []*worker{failedAt, other}, nil
			host.workers = map[string]*worker{failedAt.ID: failedAt, other.ID: other}
			ready := &readyQueue{queued: map[ids.Position]bool{}}
			for i := range 3 {
				pos := n.acceptPlain(t, shard, i)
				ready.add(pos)
			}
			shard.leading = true
			shard.backoffs[ready.order[0]] = &backoff{avoid: "failed-at"}
			first := ready.order[0]
			shard.reserveFor(now, service, ready)
			if len(ready.order) != 0 {
				t.Fatalf("%d of 3 messages wait, with an idle worker", len(ready.order))
			}
			if at := shard.reservations[first].worker; usable == (at == failedAt) {
				t.Errorf("the first message goes to %s", at.ID)
			}
		})
	}
}

// acceptPlain has a message decided in a shard, and gives its place.
func (n *simNode) acceptPlain(t *testing.T, shard *Shard, number int) ids.Position {
	t.Helper()
	message := queue.Message{ID: fmt.Sprint("p", number), Method: "POST", Path: "/plain", Hold: 600000, Release: max(1, n.release)}
	data, err := codec.Marshal(queue.Command{Verb: queue.Accept, Msg: &message})
	if err != nil {
		t.Fatal(err)
	}
	n.decide(n.now-n.offset, paxos.Request{ID: paxos.ID{Origin: message.ID}, Data: data})
	shard.Apply(n.log[len(n.log)-1])
	return shard.state.Find(message.ID).Pos
}

// TestShardsShareAWorkersRoom guards against the messages of one shard that wait while another
// shard of the same process, with a long queue, takes each slot as it becomes free.
func TestShardsShareAWorkersRoom(t *testing.T) {
	const waiting, few = 200, 5
	s := found(t, 1, "")
	s.calm = true
	n := s.nodes[s.leader]
	service := n.host.services["list"]
	service.ConnLimit = 1
	service.near, service.far = service.near[:1], nil
	busy, other := n.shard, n.host.Open(1)
	for i := range waiting {
		n.acceptPlain(t, busy, i)
	}
	for i := range few {
		n.acceptPlain(t, other, i)
	}
	turns := map[*Shard]int{}
	for range 4 * few {
		s.now++
		n.host.Step(s.now)
		for _, shard := range []*Shard{busy, other} {
			for pos, r := range shard.reservations { // its attempt is over
				turns[shard]++
				r.worker.inFlight--
				delete(shard.reservations, pos)
				shard.state.Row(pos).Outcome = queue.Done
			}
		}
	}
	if turns[other] != few || turns[busy] != 3*few {
		t.Errorf("of %d slots the shard with a long queue got %d, the other %d of %d", 4*few, turns[busy], turns[other], few)
	}
}

// TestWaitingForAConfigurationIsFree guards against a queue that is looked at again and again
// while its messages wait for a configuration: its arrival alone brings them on.
func TestWaitingForAConfigurationIsFree(t *testing.T) {
	const messages = 50
	s := found(t, 1, "")
	s.calm = true
	n := s.nodes[s.leader]
	n.release = 2
	for i := range messages {
		n.acceptPlain(t, n.shard, i)
	}
	s.pass(500, never)
	if waits := len(n.shard.timers); waits != 0 || len(n.shard.reservations) != 0 {
		t.Errorf("%d timers, %d messages sent, before their configuration is there", waits, len(n.shard.reservations))
	}
	update := *s.update
	update.Seq, update.Release = 2, 2
	update.Config = controlapi.Pack([]byte(strings.Replace(fmt.Sprintf(simConfig, 0.0), `"config_release":1`, `"config_release":2`, 1)))
	n.host.Update(&update, s.now)
	n.host.Step(s.now)
	if len(n.shard.reservations) == 0 {
		t.Error("nothing is sent once the configuration is there")
	}
}
