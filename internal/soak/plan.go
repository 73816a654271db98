// Package soak runs a whole deployment of real processes on one machine under troubles that
// overlap, with clients, operators and workers that misbehave, and judges from outside what
// they saw. Everything is drawn from one seed: a run's plan, settings, logs and findings stay
// in its folder, and the plan can be played again.
//
// plan.go draws the troubles, relay.go is the network between the processes, deployment.go
// the processes, troubles.go brings the troubles about. topics.go, queue.go and operators.go
// are who uses the deployment; history*.go judge what they saw. It is a tool for tests: no
// deployed process uses it.
package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"oxbowdeck/internal/errs"
)

// Kind is a kind of trouble.
type Kind string

// The kinds of trouble.
const (
	Kill          Kind = "kill"            // SIGKILL, started again afterwards
	KillStarting  Kind = "kill-starting"   // killed again while it starts
	KillStopping  Kind = "kill-stopping"   // SIGTERM, and SIGKILL soon after
	Freeze        Kind = "freeze"          // SIGSTOP, SIGCONT
	Terminate     Kind = "terminate"       // SIGTERM, started again afterwards
	Hangup        Kind = "hangup"          // the settings name other seeds, SIGHUP
	Wipe          Kind = "wipe"            // SIGKILL, comes back with an empty disk
	Replace       Kind = "replace"         // gone for good; an empty one comes at another address
	Retire        Kind = "retire"          // a store is emptied in order, and taken away once that is done
	Add           Kind = "add"             // one more store or edge
	FreezeHalf    Kind = "freeze-half"     // half of a class stands still at once
	FreezeAll     Kind = "freeze-all"      // everything stands still at once
	Flap          Kind = "flap"            // connections are reset again and again, for long
	KillHalf      Kind = "kill-half"       // half of a class of processes at once
	KillAll       Kind = "kill-all"        // everything at once
	Blackout      Kind = "blackout"        // everything at once, and as many disks lost as are borne
	DiskFull      Kind = "disk-full"       // every write is refused
	DiskStall     Kind = "disk-stall"      // no write ends
	DiskSlow      Kind = "disk-slow"       // each sync takes long
	Cut           Kind = "cut"             // one process from all others
	CutOneWay     Kind = "cut-one-way"     // what one process sends is lost
	Split         Kind = "split"           // halves of a class from each other
	Delay         Kind = "delay"           // what one process sends takes longer
	Stall         Kind = "stall"           // bytes stand still, then go on
	Truncate      Kind = "truncate"        // connections end in the middle of a frame
	Reset         Kind = "reset"           // connections are reset
	LoseAnswers   Kind = "lose-answers"    // requests go through, what comes back does not
	Mute          Kind = "mute"            // connections are taken, and nothing is said
	WorkerHang    Kind = "worker-hang"     // of a queue: workers answer nothing
	WorkerTwice   Kind = "worker-twice"    // they answer twice
	WorkerLate    Kind = "worker-late"     // they answer after their time
	WorkerCut     Kind = "worker-cut"      // they end an answer in the middle
	WorkerFail    Kind = "worker-fail"     // they answer 500
	WorkerReplace Kind = "worker-replaced" // one vanishes, another registers
	WorkerGhost   Kind = "worker-ghost"    // one registers whose address answers nothing, and says no more
	WorkerSpoil   Kind = "worker-spoil"    // they spoil bytes of their answers
	WorkerDrain   Kind = "worker-drain"    // one says that it drains, serves on, unregisters and ends
	WorkerLeave   Kind = "worker-leave"    // one unregisters, serves on and ends
)

// Class is a class of processes.
type Class string

// The classes.
const (
	Core  Class = "core"
	Store Class = "store"
	Edge  Class = "edge"
)

var classes = [...]Class{Core, Store, Edge}

// Trouble is one trouble of a plan. Places are numbers: the process that stands there when
// the trouble begins is struck, or a worker of the service.
type Trouble struct {
	At    time.Duration `json:"at"` // from the start of traffic
	For   time.Duration `json:"for"`
	Kind  Kind          `json:"kind"`
	Class Class         `json:"class,omitempty"`
	Place int           `json:"place"` // of the process in its class, or of a worker's service
}

func (t Trouble) String() string {
	return fmt.Sprintf("%s %s-%d at %v for %v", t.Kind, t.Class, t.Place, t.At, t.For)
}

// Shape is what a run consists of.
type Shape struct {
	Seed    uint64        `json:"seed"`
	For     time.Duration `json:"for"`     // how long troubles go on
	Zones   int           `json:"zones"`   // a control process and a store in each
	Edges   int           `json:"edges"`   // in each zone
	Queue   bool          `json:"queue"`   // messages over HTTP instead of topics
	Tenants bool          `json:"tenants"` // clients bear keys, and are limited
	Planned bool          `json:"planned"` // operators' work alone, and nothing in trouble
	// SmallTables: shards remember few clients, for a short time; edges freeze for longer, and
	// clients rest. Of topics alone.
	SmallTables bool `json:"small_tables,omitempty"`
}

// Losses is how many disks may be lost at once.
func (s Shape) Losses() int { return (s.Zones - 1) / 2 }

// count is how many processes of a class there are at first.
func (s Shape) count(class Class) int {
	if class == Edge {
		return s.Zones * s.Edges
	}
	return s.Zones
}

// Plan is a run: its shape and its troubles, in order.
type Plan struct {
	Shape    Shape     `json:"shape"`
	Start    []Trouble `json:"start"` // while the deployment is founded; from its start
	Troubles []Trouble `json:"troubles"`
}

// weighted is a kind of trouble with how often it is drawn.
type weighted struct {
	kind    Kind
	weight  int
	classes []Class // that it strikes; none: no process
	shorter time.Duration
	longer  time.Duration
}

const (
	second = time.Second
	tenth  = 100 * time.Millisecond
)

var counted = []Class{Core, Store}

var processTroubles = []weighted{
	{Kill, 10, classes[:], 2 * tenth, 4 * second},
	{KillStarting, 4, classes[:], 2 * tenth, second},
	{KillStopping, 4, classes[:], 2 * tenth, 2 * second},
	{Freeze, 8, classes[:], 3 * tenth, 6 * second},
	{Freeze, 1, classes[:], 11 * second, 16 * second}, // longer than numbers are repeated
	{Terminate, 8, classes[:], 2 * tenth, 3 * second},
	{Hangup, 4, classes[:], tenth, second},
	{Wipe, 5, counted, 2 * tenth, 2 * second},
	{Replace, 3, counted, 2 * tenth, 2 * second},
	{Retire, 1, []Class{Store}, 4 * second, 8 * second},
	{Add, 2, []Class{Store, Edge}, second, second},
	{KillHalf, 3, classes[:], 2 * tenth, 3 * second},
	{KillAll, 1, nil, 2 * tenth, 2 * second},
	{FreezeHalf, 2, classes[:], second, 6 * second},
	{FreezeAll, 1, nil, second, 8 * second},
	{Flap, 2, classes[:], 4 * second, 10 * second},
	{DiskFull, 3, counted, second, 5 * second},
	{DiskStall, 3, counted, 3 * tenth, 4 * second},
	{DiskSlow, 3, counted, second, 5 * second},
	{Cut, 6, classes[:], 3 * tenth, 6 * second},
	{CutOneWay, 5, classes[:], 3 * tenth, 6 * second},
	{Split, 4, counted, second, 6 * second},
	{Delay, 4, classes[:], second, 6 * second},
	{Stall, 4, classes[:], 2 * tenth, 3 * second},
	{Truncate, 5, classes[:], 2 * tenth, 2 * second},
	{Reset, 5, classes[:], 2 * tenth, 2 * second},
	{LoseAnswers, 5, classes[:], 3 * tenth, 3 * second},
	{Mute, 4, classes[:], 3 * tenth, 3 * second},
}

// smallTableTroubles outlast the memory of small tables.
var smallTableTroubles = []weighted{
	{Freeze, 20, []Class{Edge}, 12 * second, 20 * second},
}

var workerTroubles = []weighted{
	{WorkerHang, 4, nil, second, 4 * second},
	{WorkerTwice, 4, nil, second, 4 * second},
	{WorkerLate, 4, nil, second, 4 * second},
	{WorkerCut, 4, nil, second, 4 * second},
	{WorkerFail, 3, nil, second, 3 * second},
	{WorkerReplace, 6, nil, second, second},
	{WorkerGhost, 3, nil, 3 * second, 6 * second},
	{WorkerSpoil, 5, nil, second, 5 * second},
	{WorkerDrain, 4, nil, 3 * second, 14 * second},
	{WorkerLeave, 3, nil, 3 * second, 14 * second},
}

// catchUp is how long after its return a process still counts as lost.
const catchUp = 10 * time.Second

// Draw makes the plan of a shape. Two troubles overlap nearly always, and often three. Disks
// are lost only as far as the deployment bears it: with every trouble of a disk's class, and
// for catchUp after it, counted as a loss.
func Draw(shape Shape) Plan {
	if shape.Planned {
		return drawPlanned(shape)
	}
	random := rand.New(rand.NewPCG(shape.Seed, 0x50a4))
	kinds := slices.Clone(processTroubles)
	if shape.Queue {
		kinds = append(kinds, workerTroubles...)
	}
	if shape.SmallTables {
		kinds = append(kinds, smallTableTroubles...)
	}
	plan := Plan{Shape: shape, Start: drawStart(random, shape)}
	var last Trouble
	for at := second; at < shape.For; at += 3*tenth + time.Duration(random.Int64N(int64(17*tenth))) {
		t := drawOne(random, shape, kinds)
		t.At = at
		t.aimLike(last, random)
		last = t
		if plan.bears(t) {
			plan.Troubles = append(plan.Troubles, t)
		}
	}
	return plan.closed(random)
}

// closed adds the trouble that ends a run, once everything that was lost is back: everything is
// killed, in two of three runs with disks lost at the same moment.
func (p Plan) closed(random *rand.Rand) Plan {
	at := p.Shape.For
	for _, t := range p.Troubles {
		at = max(at, t.end())
	}
	t := Trouble{At: at, Kind: Blackout, For: 2*tenth + time.Duration(random.Int64N(int64(2*second)))}
	if random.IntN(3) == 0 {
		t.Kind = KillAll
	}
	p.Troubles = append(p.Troubles, t)
	return p
}

// aimLike has two troubles in five strike the process that the one before it strikes.
func (t *Trouble) aimLike(last Trouble, random *rand.Rand) {
	if random.IntN(5) < 2 && t.Class != "" && t.Class == last.Class {
		t.Place = last.Place
	}
}

// startWithin is within what time after their start processes are killed that a plan strikes
// while the deployment is founded.
const startWithin = 1500 * time.Millisecond

// drawStart draws, for half of the plans, which processes are killed while all of them start for
// the first time: one of each class that counts.
func drawStart(random *rand.Rand, shape Shape) (start []Trouble) {
	if random.IntN(2) == 0 {
		return nil
	}
	for _, class := range counted {
		start = append(start, Trouble{
			At:    time.Duration(random.Int64N(int64(startWithin))),
			For:   tenth + time.Duration(random.Int64N(int64(second))),
			Kind:  Kill,
			Class: class,
			Place: random.IntN(shape.count(class)),
		})
	}
	return start
}

func drawOne(random *rand.Rand, shape Shape, kinds []weighted) Trouble {
	total := 0
	for _, k := range kinds {
		total += k.weight
	}
	n := random.IntN(total)
	k := kinds[0]
	for _, k = range kinds {
		if n -= k.weight; n < 0 {
			break
		}
	}
	t := Trouble{Kind: k.kind, For: k.shorter + time.Duration(random.Int64N(int64(k.longer-k.shorter)+1))}
	if len(k.classes) > 0 {
		t.Class = k.classes[random.IntN(len(k.classes))]
		t.Place = random.IntN(shape.count(t.Class))
	}
	if t.Kind == WorkerDrain || t.Kind == WorkerLeave {
		t.Place = random.IntN(len(services))
	}
	return t
}

// losesDisk tells whether a trouble takes a disk away for good.
func (t Trouble) losesDisk() bool { return t.Kind == Wipe || t.Kind == Replace || t.Kind == Retire }

// strikes tells how many processes of a class a trouble takes out of service.
func (t Trouble) strikes(shape Shape, class Class) int {
	switch t.Kind {
	case KillAll, FreezeAll:
		return shape.count(class)
	case Add, Hangup, WorkerHang, WorkerTwice, WorkerLate, WorkerCut, WorkerFail, WorkerReplace, WorkerGhost,
		WorkerSpoil, WorkerDrain, WorkerLeave:
		return 0
	case KillHalf, FreezeHalf, Split:
		if t.Class == class {
			return shape.count(class) / 2
		}
		return 0
	}
	if t.Class == class {
		return 1
	}
	return 0
}

// end is when a trouble's processes count as back.
func (t Trouble) end() time.Duration { return t.At + t.For + catchUp }

// bears tells whether a further trouble leaves every disk that is lost within what is borne.
// It begins later than all others of the plan.
func (p *Plan) bears(t Trouble) bool {
	for _, class := range counted {
		lost, diskLost := t.strikes(p.Shape, class), t.losesDisk() && t.Class == class
		for _, o := range p.Troubles {
			if o.end() <= t.At {
				continue
			}
			lost += o.strikes(p.Shape, class)
			diskLost = diskLost || o.losesDisk() && o.Class == class
		}
		if diskLost && lost > p.Shape.Losses() {
			return false
		}
	}
	return true
}

// Load reads a plan that was written by Save.
func Load(path string) (plan Plan, err error) {
	text, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(text, &plan)
	}
	return plan, errs.Wrap("read plan", path, err)
}

// Save writes a plan.
func (p Plan) Save(path string) error {
	text, err := json.MarshalIndent(p, "", " ")
	if err == nil {
		err = os.WriteFile(path, text, 0o644)
	}
	return errs.Wrap("write plan", path, err)
}
