package simulation

import (
	"fmt"
	"os"
	"strconv"
	"testing"

	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
	"oxbowdeck/internal/topic"
)

func plan(seed int64) Plan {
	return Plan{
		Seed: seed, Voters: 3, Learners: 1, For: 12000,
		Conf: paxos.Config{Window: 4, WindowBytes: 4000, BatchBytes: 1500, BatchTimeout: 8, HeartbeatInterval: 60, ElectionTimeout: 250, ElectionBackoff: 60,
			OpenBytes: 1 << 20, FeedBytes: 3000, DisconnectTimeout: 40, RetransmitTimeout: 25, SlowBatch: 60, QuorumTimeout: 600},
		Bounds: topic.Bounds{Slack: 1000, Resend: 10000, Publishers: 10000, Topics: 100, Live: 1000, SweepMs: 200},
		Loss:   0.02, Twice: 0.02, Troubles: All, Every: 400, Rate: 15, SnapAt: 30000, Sync: 6,
	}
}

// each runs fixed seeds side by side; SIMULATION_SEEDS runs more of them, SIMULATION_SEED one
// again with its steps printed.
func each(t *testing.T, n int, run func(t *testing.T, seed int64, log func(string), again string)) {
	if testing.Short() { // more seeds run the same code again
		n = min(n, 3)
	}
	if v, err := strconv.Atoi(os.Getenv("SIMULATION_SEEDS")); err == nil {
		n = v
	}
	from, to := int64(1), int64(n)
	one := os.Getenv("SIMULATION_SEED")
	if one != "" {
		v, err := strconv.ParseInt(one, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		from, to = v, v
	}
	for s := from; s <= to; s++ {
		t.Run(fmt.Sprint(s), func(t *testing.T) {
			t.Parallel()
			var log func(string)
			if one != "" {
				log = func(l string) { t.Log(l) }
			}
			run(t, s, log, fmt.Sprintf("again: SIMULATION_SEED=%d go test ./internal/simulation -run '%s' -v", s, t.Name()))
		})
	}
}

func seeds(t *testing.T, n int, f func(Plan) Plan) {
	each(t, n, func(t *testing.T, seed int64, log func(string), again string) {
		p := f(plan(seed))
		p.Log = log
		w := New(p)
		if err := w.Run(); err != nil {
			t.Fatalf("%v\n%s", err, again)
		}
		if w.Acked < 100 || w.Elections < 1 || w.Configs < 1 || w.Contacts < 100 {
			t.Fatalf("seed %d: nothing happened: %d accepted, %d elections", seed, w.Acked, w.Elections)
		}
	})
}

func TestAllTroubles(t *testing.T) { seeds(t, 40, func(p Plan) Plan { return p }) }

func TestPowerAndLostDisks(t *testing.T) {
	seeds(t, 20, func(p Plan) Plan {
		p.Seed += 1000
		p.Troubles = []string{"power", "wipe"}
		p.SnapAt = 8000
		return p
	})
}

func TestLeadersComeAndGo(t *testing.T) {
	seeds(t, 20, func(p Plan) Plan {
		p.Seed += 2000
		p.Troubles = []string{"drain", "cut", "slow", "freeze"}
		p.Every, p.Loss = 250, 0.08
		return p
	})
}

// changeLag is how much of decided time a change of leader may lose: the way of a message, which
// takes 3 ms and may be lost, and the sync of a promise.
const changeLag = 20

// TestDecidedTimeKeepsUp guards against delays that begin anew with each change of leader of a
// group that decides next to nothing.
func TestDecidedTimeKeepsUp(t *testing.T) {
	each(t, 20, func(t *testing.T, seed int64, log func(string), again string) {
		p := plan(seed + 8000)
		p.Log, p.Rate, p.For = log, 4000, 60000
		p.Troubles, p.Learners, p.Every = []string{"drain", "cut", "crash"}, 0, 1500
		w := New(p)
		if err := w.Run(); err != nil {
			t.Fatalf("%v\n%s", err, again)
		}
		if most := ids.Millis(w.Elections * changeLag); w.Elections < 10 || w.lag() > most {
			t.Errorf("seed %d: %d ms are lost over %d leaders, at most %d may be\n%s", seed, w.lag(), w.Elections, most, again)
		}
	})
}

func TestFiveVoters(t *testing.T) {
	seeds(t, 10, func(p Plan) Plan {
		p.Seed += 3000
		p.Voters, p.Learners = 5, 0
		return p
	})
}

// TestMembersReplaced: voters go for good and newcomers take their seats, while
// leaders change; those replaced come back and must neither vote nor lead.
func TestMembersReplaced(t *testing.T) {
	swaps := 0
	seeds(t, 30, func(p Plan) Plan {
		p.Seed += 5000
		p.Troubles, p.Learners, p.Every = Moves, 0, 250
		return p
	})
	for s := int64(5001); s <= 5005; s++ {
		p := plan(s)
		p.Troubles, p.Learners, p.Every = Moves, 0, 250
		w := New(p)
		if err := w.Run(); err != nil {
			t.Fatal(err)
		}
		swaps += w.Swaps
	}
	if swaps < 5 {
		t.Fatalf("%d voters were replaced", swaps)
	}
}

// TestMembersOfFiveReplaced: the same at two losses at once.
func TestMembersOfFiveReplaced(t *testing.T) {
	seeds(t, 15, func(p Plan) Plan {
		p.Seed += 7000
		p.Voters, p.Troubles, p.Learners, p.Every = 5, append([]string{"slow"}, Moves...), 0, 250
		return p
	})
}

// TestGrowth: three founders grow to five voters, one at a time.
func TestGrowth(t *testing.T) {
	seeds(t, 10, func(p Plan) Plan {
		p.Seed += 6000
		p.Learners, p.Grow = 2, 5
		return p
	})
}

// TestStormOnce holds the seeds that once found a fault: 54, a decided mark on
// disk without the entry it spoke of; 417, a leader that counted bytes of
// instances decided behind its back and stopped proposing.
func TestStormOnce(t *testing.T) {
	for _, s := range []int64{54, 417} {
		p := plan(4000 + s)
		storm(&p)
		if err := New(p).Run(); err != nil {
			t.Error(err)
		}
	}
}

func storm(p *Plan) {
	p.Troubles, p.Reckless, p.Sync = Storm, true, 40
	p.Every, p.Loss, p.Rate, p.SnapAt = 300, 0.1, 8, 60000
}

func TestStorm(t *testing.T) {
	seeds(t, 60, func(p Plan) Plan {
		p.Seed += 4000
		storm(&p)
		return p
	})
}

// TestLostDiskHasNoVote: what two replicas accepted stays decided when one of
// them comes back empty, though the empty one and the third form a majority.
func TestLostDiskHasNoVote(t *testing.T) {
	p := plan(7)
	p.Every, p.Learners, p.Loss, p.Twice, p.Rate = 1<<40, 0, 0, 0, 20
	w := New(p)
	a, b, c := w.nodes[0], w.nodes[1], w.nodes[2]
	w.after(600, func() { c.cut = true })
	w.after(2000, func() { w.lose(b); w.wipe(b); w.after(50, func() { w.start(b) }) })
	w.after(2020, func() { a.cut = true; c.cut = false })
	w.after(6000, func() {
		if b.core.Role() == paxos.Leader || c.core.Role() == paxos.Leader {
			t.Error("an empty disk helped to elect a leader")
		}
		a.cut = false
	})
	if err := w.Run(); err != nil {
		t.Fatal(err)
	}
	if w.Acked < 100 {
		t.Fatal("nothing happened")
	}
}
