package simulation

import (
	"fmt"

	"oxbowdeck/internal/control"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
)

// FleetPlan says what a run of control machines is made of.
type FleetPlan struct {
	Seed     int64
	Losses   int // machines that may be lost at once
	Founders int // the seeds of the first start: they found the group, which grows to 2·Losses+1
	Spares   int // control machines beside the founders
	For      ids.Millis
	Troubles []string
	Every    ids.Millis // mean pause between troubles
	Orders   ids.Millis // mean pause between an operator's orders
	Body     int        // bytes of a configuration
	SnapAt   int        // log bytes between snapshots
	Log      func(string)

	// Sent is told of each frame, message and snapshot, if it is set.
	Sent func(at ids.Millis, from, to ids.Node, bytes int)
}

// Of a fleet's timing, as the deployments have it.
const (
	lease            = ids.Millis(1500)
	workerHeartbeat  = ids.Millis(1200)
	workerHeartbeats = 4
	grace            = ids.Millis(3600)
	catchUp          = ids.Millis(4000) // a machine stays lost for so long after it is back
	orderWait        = ids.Millis(800)
)

// FleetTroubles are all that a run of control machines may draw.
var FleetTroubles = []string{"cut", "cut", "cut-leader", "cut-leader", "one-way", "pair", "freeze",
	"freeze-leader", "asleep", "crash", "power", "wipe", "slow", "stall", "full", "herd", "replace", "planned", "restart"}

// Order is what an operator asked, for the history.
type Order struct {
	Client  int
	Call    ids.Millis
	Return  ids.Millis // 0: no clear answer
	Read    bool
	Match   int64
	Release int64
	Sum     string
	Res     control.Result
}

// Fleet is a run of whole control processes on simulated machines, with operators,
// workers and processes of the data plane that turn to any of them.
type Fleet struct {
	loop
	decisions
	plan         FleetPlan
	machines     []*machine
	founders     []paxos.Member
	cuts         map[[2]ids.Node]bool
	last         map[[2]ids.Node]ids.Millis // frames of a pair keep their order
	disks        uint64
	incarnations uint64
	healed       bool

	members []paxos.Member // in force, as the leader has it
	acked   []high         // configurations acknowledged, and when

	History []Order
	workers []*worker

	Elections, Configs, Reseats, Begun, Repeats, Departed, Reads int

	leadSeen map[ids.Ballot]bool
}

// NewFleet founds one.
func NewFleet(p FleetPlan) *Fleet {
	f := &Fleet{
		loop:      newLoop(p.Seed, p.Log),
		decisions: newDecisions(),
		plan:      p,
		cuts:      map[[2]ids.Node]bool{},
		last:      map[[2]ids.Node]ids.Millis{},
		leadSeen:  map[ids.Ballot]bool{},
	}
	for i := 0; i < p.Founders+p.Spares; i++ {
		m := f.machine()
		if i < p.Founders {
			m.num = ids.ReplicaID(i + 1)
			f.founders = append(f.founders, paxos.Member{ID: m.num, Node: m.addr})
		}
	}
	for _, m := range f.machines {
		f.after(f.between(0, 300), func() { f.start(m) })
	}
	for i := 0; i < 3; i++ {
		w := &worker{f: f, id: fmt.Sprint("worker-", i)}
		f.workers = append(f.workers, w)
		f.after(f.between(3000, 4000), w.heartbeat)
	}
	for i := 0; i < 3; i++ {
		o := &client{f: f, no: i}
		f.after(f.between(2500, 3500), o.next)
	}
	f.after(4000, f.begin)
	return f
}

// Run plays the plan out: troubles, then a loss of all power, then calm.
func (f *Fleet) Run() error {
	var troubles func()
	troubles = func() {
		if f.now < f.plan.For {
			f.trouble()
			f.after(f.plan.Every/2+ids.Millis(f.rng.Int63n(int64(f.plan.Every))), troubles)
		}
	}
	f.after(5000, troubles)
	f.after(f.plan.For, func() {
		for _, m := range f.machines {
			if m.proc != nil {
				f.power(m)
				f.after(f.between(500, 1500), func() { f.start(m) })
			}
			m.slow, m.stuck = 0, false
		}
		f.cuts = map[[2]ids.Node]bool{}
	})
	f.after(f.plan.For+1600, func() {
		f.healed = true
		for _, m := range f.machines {
			f.start(m)
		}
	})
	f.until(f.plan.For + 16000)
	if f.err == nil {
		f.final()
	}
	return f.err
}
