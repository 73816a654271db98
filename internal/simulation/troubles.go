package simulation

import (
	"fmt"

	"oxbowdeck/internal/control"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
	"oxbowdeck/internal/topic"
)

// trouble befalls one node; no more than the group bears are lost at once.
func (w *World) trouble() {
	kind := w.plan.Troubles[w.rng.Intn(len(w.plan.Troubles))]
	n := w.nodes[w.rng.Intn(len(w.nodes))]
	lost := 0
	for _, x := range w.nodes {
		if !x.up || x.cut || x.frozen {
			lost++
		}
	}
	if kind == "wipe" && (lost > 0 || !w.mayLoseDisk()) {
		return
	}
	if lost >= (w.plan.Voters-1)/2 && !w.plan.Reckless || !n.up || n.cut || n.frozen {
		return
	}
	duration := ids.Millis(100 + w.rng.Intn(1500))
	w.logf("trouble kind=%s node=%s for=%d", kind, n.member.Node, duration)
	w.begin(kind, n, duration)
}

// begin lets a trouble begin at a node, and has it end later.
func (w *World) begin(kind string, n *node, duration ids.Millis) {
	switch kind {
	case "crash":
		w.crash(n)
		w.after(duration, func() { w.start(n) })
	case "power":
		w.lose(n)
		w.after(duration, func() { w.start(n) })
	case "dark": // every machine at once
		for _, x := range w.nodes {
			if x.up {
				w.lose(x)
				w.after(duration+ids.Millis(w.rng.Intn(300)), func() { w.start(x) })
			}
		}
	case "split": // all but one pair apart
		for _, x := range w.nodes {
			if x.up && !x.cut && w.rng.Intn(2) == 0 {
				x.cut = true
				w.after(duration, func() { x.cut = false })
			}
		}
	case "freeze": // it stands still, and goes on as if nothing had been
		n.frozen = true
		w.after(duration, func() { n.frozen = false })
	case "cut":
		n.cut = true
		w.after(duration, func() { n.cut = false })
	case "slow":
		n.slow = ids.Millis(5 + w.rng.Intn(150))
		w.after(duration, func() { n.slow = 0 })
	case "wipe": // it comes back empty, under a number that never voted
		w.stop(n)
		w.wipe(n)
		w.after(duration, func() {
			w.start(n)
			w.setAllLearners()
		})
	case "swap":
		w.replace(n, duration)
	case "drain":
		w.drain(n, duration)
	}
}

// replace takes a node away for long; an empty one comes at another address in its
// stead. The old one comes back as it was, and has no part any more.
func (w *World) replace(n *node, duration ids.Millis) {
	if w.joins != "" || !paxos.ContainsNode(w.want, n.member.Node) {
		return
	}
	w.stop(n)
	w.nextNum++
	x := &node{
		member:  paxos.Member{ID: w.nextNum, Node: ids.Node(fmt.Sprintf("n%d", len(w.nodes)))},
		disk:    &disk{entries: map[ids.Slot]paxos.Entry{}},
		skew:    ids.Millis(w.rng.Intn(1000000)),
		state:   topic.New(w.plan.Bounds),
		control: &control.State{},
	}
	w.nodes = append(w.nodes, x)
	w.joins, w.leaves = x.member.Node, n.member.Node
	w.after(ids.Millis(w.rng.Intn(300)), func() { w.start(x); w.setAllLearners() })
	w.after(2*duration, func() { w.start(n); w.setAllLearners() })
}

// drain hands a node's lead over and restarts its process.
func (w *World) drain(n *node, duration ids.Millis) {
	n.core.StopLeading(w.clock(n))
	w.flush(n)
	incarnation := n.incarnation
	w.after(100, func() {
		if n.up && n.incarnation == incarnation {
			w.crash(n)
			w.after(duration, func() { w.start(n) })
		}
	})
}

// crash ends a process; its files stay as they were written.
func (w *World) crash(n *node) {
	for _, x := range n.disk.pending {
		n.disk.apply(x)
	}
	w.stop(n)
}

// lose takes a machine's power: each write not yet synced is there or not.
func (w *World) lose(n *node) {
	for _, x := range n.disk.pending {
		if w.rng.Intn(2) == 0 {
			n.disk.apply(x)
		}
	}
	w.stop(n)
}

// wipe takes a stopped node's disk; its next incarnation has a number of its own.
func (w *World) wipe(n *node) {
	n.disk = &disk{entries: map[ids.Slot]paxos.Entry{}}
	old := n.member.ID
	w.nextNum++
	n.member.ID = w.nextNum
	for i := range w.want {
		if w.want[i].ID == old {
			w.want[i].ID = n.member.ID
		}
	}
}

// mayLoseDisk: the membership in force is the one wanted, and each member holds what
// was decided before it; another disk may be lost only then.
func (w *World) mayLoseDisk() bool {
	for _, n := range w.nodes {
		if n.up && n.core.MembershipRecorded() && paxos.SameMembers(n.core.Voters(), w.want) {
			return true
		}
	}
	return false
}

func (w *World) stop(n *node) {
	n.up = false
	n.incarnation++
	n.disk.pending, n.disk.busy = nil, false
	for _, x := range w.nodes {
		if x.up && w.rng.Intn(2) == 0 { // a broken connection tells, when it tells at all
			x.core.Disconnected(w.clock(x), n.member.Node)
			w.flush(x)
		}
	}
}
