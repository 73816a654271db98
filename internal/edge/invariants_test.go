package edge

import (
	"testing"

	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/edgecore"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/invariant"
	"oxbowdeck/internal/paxos"
	"oxbowdeck/internal/shardapi"
	"oxbowdeck/internal/topic"
)

// TestDisorderIsSeen: a position that a subscription had, and a sender's number that does not
// rise with the positions. What comes once more as it was is no fault.
func TestDisorderIsSeen(t *testing.T) {
	client := &conn{daemon: &Daemon{}, client: "ann"}
	s := &subscription{conn: client, topic: &followedTopic{name: "a.x"}}
	client.daemon.deliver(s, 7, nil)
	client.daemon.deliver(s, 7, nil)
	s.last = 3 // as if it had been taken up anew too early
	invariant.Expect(t, invariant.DeliveredInOrder, func() { client.daemon.deliver(s, 7, nil) })

	var recent recentMessages
	recent.check("a.x", 5, "ann", 10)
	recent.check("a.x", 6, "bob", 3)
	recent.check("a.x", 5, "ann", 10)
	recent.check("a.x", 8, "ann", 11)
	invariant.Expect(t, invariant.SenderInOrder, func() { recent.check("a.x", 9, "ann", 10) })
	invariant.Expect(t, invariant.SenderInOrder, func() { recent.check("a.x", 6, "bob", 4) })
}

// TestBrokenPromiseIsSeen: an outcome of a publish that was answered RETRY, unless the client has
// sent its number again since.
func TestBrokenPromiseIsSeen(t *testing.T) {
	var refused refusedCalls
	id := paxos.ID{Origin: "ann", Seq: 7}
	refused.add(id)
	refused.check(id, topic.Refused)
	refused.check(paxos.ID{Origin: "ann", Seq: 8}, topic.Fresh)
	invariant.Expect(t, invariant.RetryIsFinal, func() { refused.check(id, topic.Fresh) })
	refused.sentAgain(id)
	refused.check(id, topic.Fresh)
	for i := range uint64(2 * maxRefusedCalls) {
		refused.add(paxos.ID{Origin: "bob", Seq: i})
	}
	if len(refused.ids) > maxRefusedCalls {
		t.Errorf("%d are remembered", len(refused.ids))
	}
}

// TestStrangersAnswerIsSeen: the outcome of one client's call on its way to another.
func TestStrangersAnswerIsSeen(t *testing.T) {
	d := &Daemon{core: &edgecore.Core{Control: &controlapi.Client{}}, calls: map[paxos.ID]*call{}}
	id := paxos.ID{Origin: "ann", Seq: 7}
	d.calls[id] = &call{request: paxos.Request{ID: id}, seq: 7, conn: &conn{daemon: d, client: "bob"}}
	invariant.Expect(t, invariant.AnswerBelongs, func() { d.outcome(shardapi.Outcome{ID: id, Verdict: topic.Fresh}) })
}

// TestRefusalByAnOldConfigurationIsSeen: where the configuration is not known to be the newest.
func TestRefusalByAnOldConfigurationIsSeen(t *testing.T) {
	d := &Daemon{core: &edgecore.Core{Control: &controlapi.Client{}}}
	invariant.Expect(t, invariant.AnsweredWithinLease, func() { d.checkCurrent(ids.Millis(1000), causeNoSpace) })
}
