package simulation

import (
	"sort"

	"oxbowdeck/internal/control"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
	"oxbowdeck/internal/topic"
)

// node is one replica.
type node struct {
	member      paxos.Member
	core        *paxos.Core
	state       *topic.State
	control     *control.State // the control plane's state, run over the same log
	disk        *disk
	up          bool
	incarnation int
	cut         bool
	frozen      bool
	slow        ids.Millis
	bytes       int
	release     int64      // the highest configuration seen in this incarnation
	skew        ids.Millis // its steady clock began at another moment
}

func (n *node) load(s *snap) error {
	n.control = &control.State{}
	if err := n.control.Load(s.control); err != nil {
		return err
	}
	return n.state.Load(s.state)
}

func (w *World) start(n *node) {
	n.up = true
	n.incarnation++
	n.state = topic.New(w.plan.Bounds)
	n.control, n.release = &control.State{}, 0
	boot := paxos.InitialState{Promised: n.disk.head.Promised, Commit: n.disk.head.Commit}
	boot.Memberships = []paxos.Membership{{From: 0, Members: w.members}}
	if s := n.disk.snap; s != nil {
		if err := n.load(s); err != nil {
			w.fail("load: %v", err)
		}
		boot.Base, boot.Memberships, boot.Clock = s.slot, s.memberships, s.clock
		boot.Commit = max(boot.Commit, s.slot)
	}
	for _, e := range n.disk.entries {
		boot.Entries = append(boot.Entries, e)
	}
	sort.Slice(boot.Entries, func(i, j int) bool { return boot.Entries[i].Slot < boot.Entries[j].Slot })
	conf := w.plan.Conf
	conf.Self, conf.Salt = n.member, ids.Millis(w.rng.Int63n(int64(paxos.MostSalt)))
	n.core = paxos.New(conf, boot, w.clock(n))
	w.setLearners(n)
	w.logf("start node=%s num=%d commit=%d promised=%d", n.member.Node, n.member.ID, n.core.Commit(), boot.Promised)
	w.flush(n)
	w.wake(n)
}

func (w *World) setAllLearners() {
	for _, x := range w.nodes {
		if x.up {
			w.setLearners(x)
		}
	}
}

func (w *World) setLearners(n *node) {
	var all []paxos.Member
	for _, x := range w.nodes {
		all = append(all, x.member)
	}
	n.core.SetLearners(all)
}

// whenRunning runs what concerns a node, once it does not stand still.
func (w *World) whenRunning(n *node, f func()) {
	if n.frozen && n.up {
		w.after(10, func() { w.whenRunning(n, f) })
		return
	}
	f()
}

func (w *World) clock(n *node) ids.Millis { return w.now + n.skew }

func (w *World) wake(n *node) {
	incarnation := n.incarnation
	wait := min(max(n.core.NextWake()-w.clock(n), 1), 50)
	w.after(wait, func() {
		w.whenRunning(n, func() {
			if n.up && n.incarnation == incarnation {
				n.core.Tick(w.clock(n))
				w.flush(n)
				w.wake(n)
			}
		})
	})
}

// flush carries out what the engine wants.
func (w *World) flush(n *node) {
	for w.err == nil {
		e := n.core.Drain()
		if len(e.Saves)+len(e.Sends)+len(e.Decided)+len(e.SnapshotPeers) == 0 {
			break
		}
		if len(e.Saves) > 0 {
			w.store(n, write{recs: e.Saves, token: e.Token})
		}
		for _, s := range e.Sends {
			w.checkSend(n, s.Msg)
			w.send(n, s)
		}
		for _, d := range e.Decided {
			w.decided(n, d)
		}
		for _, to := range e.SnapshotPeers {
			w.sendSnap(n, to)
		}
	}
	if n.core.Role() == paxos.Leader {
		b, _ := n.core.Leader()
		if !w.leadSeen[b] {
			w.leadSeen[b] = true
			w.Elections++
			w.logf("leader node=%s epoch=%d", n.member.Node, b.Round())
		}
		if k, _ := n.core.Pending(); k > w.plan.Conf.Window {
			w.fail("window: %d undecided instances, WND is %d", k, w.plan.Conf.Window)
		}
	}
	if n.core.Role() == paxos.Leader && !n.frozen {
		w.checkTime(n)
	}
	w.checkContact(n)
	if n.bytes > w.plan.SnapAt && w.plan.SnapAt > 0 {
		n.bytes = 0
		w.store(n, write{snap: w.image(n)})
	}
}

func (w *World) find(a ids.Node) *node {
	for _, n := range w.nodes {
		if n.member.Node == a {
			return n
		}
	}
	return nil
}

// image is a node's whole state, as a snapshot.
func (w *World) image(n *node) *snap {
	memberships := append([]paxos.Membership(nil), n.core.Memberships()...)
	s := &snap{slot: n.core.Commit(), memberships: memberships, clock: n.state.Clock()}
	var err, err2 error
	s.state, err = n.state.Save()
	s.control, err2 = n.control.Save()
	if err != nil || err2 != nil {
		w.fail("save: %v %v", err, err2)
	}
	return s
}
