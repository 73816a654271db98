package paxos

import (
	"testing"

	"oxbowdeck/internal/ids"
)

// TestNewestLeadersTimeCounts guards against delays that begin anew with each change of leader,
// and against a time that is ahead of an earlier leader's: a new leader goes on with the time of
// the newest leader that may have had anything decided, or with what is decided.
func TestNewestLeadersTimeCounts(t *testing.T) {
	const (
		clock = 5000  // of what is decided
		heard = 20000 // that the candidate's last leader told
		later = 100   // after which the candidate leads
	)
	first, second := ids.MakeBallot(1, 2), ids.MakeBallot(2, 3)
	for _, c := range []struct {
		name       string
		time       ids.Millis // plus one, of the promise
		timeBallot ids.Ballot // plus one
		want       ids.Millis
	}{
		{"both follow one leader", heard + 1, first + 1, heard + later},
		{"the other heard it later", heard + 51, first + 1, heard + later},
		{"the other heard it sooner", heard + later + 8, first + 1, heard + later + 7},
		{"a newer leader is behind", clock + 301, second + 1, clock + 300},
		{"a newer leader is ahead", heard + 901, second + 1, heard + 900},
		{"an older leader is ahead", heard + 901, 1, heard + later},
		{"it began anew under the same leader", 0, first + 1, heard + later},
		{"it began anew after a newer one", 0, second + 1, clock},
		{"its version tells nothing", 0, 0, clock},
	} {
		core := replica(1, three, InitialState{Clock: clock})
		core.Receive(1000, "b", Msg{Kind: Heartbeat, From: 2, Ballot: first, Time: heard + 1})
		core.Receive(1000+later, "b", Msg{Kind: TransferLeadership, From: 2, Ballot: first})
		effects := core.Drain()
		core.Synced(1000+later, effects.Token)
		core.Receive(1000+later, "c", Msg{Kind: Promise, From: 3, Ballot: core.Promised(), Time: c.time, TimeBallot: c.timeBallot})
		if core.Role() != Leader || core.Time(1000+later) != c.want {
			t.Errorf("%s: role %d, time %d, want %d", c.name, core.Role(), core.Time(1000+later), c.want)
		}
	}
}

// TestLeadersTimeIsFollowed: a newer leader's time counts also where it is behind; of one leader
// the latest counts, and one that tells none leaves it unknown.
func TestLeadersTimeIsFollowed(t *testing.T) {
	first, second, third := ids.MakeBallot(1, 2), ids.MakeBallot(2, 3), ids.MakeBallot(3, 2)
	core := replica(1, three, InitialState{})
	for _, step := range []struct {
		at     ids.Millis
		ballot ids.Ballot
		time   ids.Millis // plus one
		want   ids.Millis
	}{
		{100, first, 7001, 7000},
		{200, first, 7051, 7100}, // it was long on its way
		{300, first, 7301, 7300},
		{400, second, 501, 500},
		{500, second, 601, 600},
		{600, third, 0, 0},
	} {
		core.Receive(step.at, "b", Msg{Kind: Heartbeat, From: step.ballot.Replica(), Ballot: step.ballot, Time: step.time})
		if got := core.Time(step.at); got != step.want {
			t.Errorf("at %d: time %d, want %d", step.at, got, step.want)
		}
	}
}
