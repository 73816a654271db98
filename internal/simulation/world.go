package simulation

import (
	"fmt"

	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
)

// World is a run.
type World struct {
	loop
	decisions
	plan    Plan
	nodes   []*node
	members []paxos.Member // the founding members
	want    []paxos.Member // the membership wanted
	nextNum ids.ReplicaID
	healed  bool
	joins   ids.Node // takes the seat of leaves, once it is level
	leaves  ids.Node

	inForce []paxos.Member
	acked   map[key]ids.Position
	refused map[key]bool
	sent    map[key]ids.Topic
	open    map[key]*call
	seqs    map[ids.Client]ids.Seq

	puts   map[paxos.ID]put
	onTop  map[int64]int64
	putSeq uint64

	Acked, Refused, Elections, Configs, Swaps, Contacts int

	leadSeen map[ids.Ballot]bool
	times    leaderTimes
}

// New makes a world.
func New(p Plan) *World {
	w := &World{loop: newLoop(p.Seed, p.Log), decisions: newDecisions(), plan: p,
		acked: map[key]ids.Position{}, refused: map[key]bool{}, sent: map[key]ids.Topic{}, open: map[key]*call{},
		seqs: map[ids.Client]ids.Seq{}, leadSeen: map[ids.Ballot]bool{}, puts: map[paxos.ID]put{}, onTop: map[int64]int64{},
		times: newLeaderTimes()}
	for i := 0; i < p.Voters+p.Learners; i++ {
		w.nextNum++
		m := paxos.Member{ID: w.nextNum, Node: ids.Node(fmt.Sprintf("n%d", i))}
		disk := &disk{entries: map[ids.Slot]paxos.Entry{}}
		w.nodes = append(w.nodes, &node{member: m, disk: disk, skew: ids.Millis(w.rng.Intn(1000000))})
		if i < p.Voters {
			w.members = append(w.members, m)
		}
	}
	w.want = append([]paxos.Member(nil), w.members...)
	for _, n := range w.nodes {
		w.start(n)
	}
	return w
}

// Run plays the plan out and gives the first rule broken, or nil.
func (w *World) Run() error {
	var troubles, calls func()
	troubles = func() {
		if !w.healed {
			w.trouble()
			w.after(w.plan.Every/2+ids.Millis(w.rng.Int63n(int64(w.plan.Every))), troubles)
		}
	}
	calls = func() {
		if !w.healed {
			w.publish()
			if w.rng.Intn(20) == 0 {
				w.configure()
			}
			w.after(ids.Millis(w.rng.Int63n(int64(2*w.plan.Rate))), calls)
		}
	}
	w.after(w.plan.Every, troubles)
	w.after(200, w.changeMembership)
	w.after(500, calls)
	w.after(w.plan.For, func() { w.healed = true })
	w.until(w.plan.For + 8000)
	if w.err == nil {
		w.final()
	}
	return w.err
}
