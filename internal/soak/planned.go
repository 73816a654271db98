package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// plannedTroubles is what operators do of themselves, with nothing else in trouble.
var plannedTroubles = []weighted{
	{Terminate, 10, classes[:], 2 * tenth, 2 * second},
	{Hangup, 3, classes[:], tenth, second},
	{Retire, 8, []Class{Store}, tenth, second},
	{Add, 2, []Class{Store, Edge}, second, second},
}

// plannedLeaves is how workers leave of themselves.
var plannedLeaves = []weighted{
	{WorkerDrain, 6, nil, 3 * second, 14 * second},
	{WorkerLeave, 4, nil, 3 * second, 14 * second},
}

// senders is how many hand messages in.
func (s Shape) senders() int {
	if s.Planned {
		return plannedSenders
	}
	return queueSenders
}

// plannedPause is the longest time between the beginnings of two pieces of planned work.
const plannedPause = 3 * second

// drawPlanned makes a plan of planned work alone. It comes in series and overlaps, but no more
// processes of a class are restarted at a time than may be lost: an operator waits.
func drawPlanned(shape Shape) Plan {
	random := rand.New(rand.NewPCG(shape.Seed, 0x91a4))
	kinds := slices.Clone(plannedTroubles)
	if shape.Queue {
		kinds = append(kinds, plannedLeaves...)
	}
	plan := Plan{Shape: shape}
	var last Trouble
	for at := second; at < shape.For; at += tenth + time.Duration(random.Int64N(int64(plannedPause))) {
		t := drawOne(random, shape, kinds)
		t.At = at
		t.aimLike(last, random)
		last = t
		if plan.restartsAtOnce(t) <= shape.Losses() {
			plan.Troubles = append(plan.Troubles, t)
		}
	}
	return plan
}

// restartTime is how long a process takes to stop in order, and to be there again, at the most.
const restartTime = graceTime + 2*second

// restartsAtOnce tells how many processes of a restart's class are down with it. The pieces of
// a plan begin in order.
func (p *Plan) restartsAtOnce(t Trouble) int {
	if t.Kind != Terminate || t.Class == Edge {
		return 0
	}
	n := 1
	for _, o := range p.Troubles {
		if o.Kind == Terminate && o.Class == t.Class && o.At+o.For+restartTime > t.At {
			n++
		}
	}
	return n
}
