package modelcheck

import (
	"fmt"
	"reflect"
	"slices"

	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
)

// event is what a step did that the rules look at, in the order it was done.
type event struct {
	kind   eventKind
	slot   ids.Slot
	ballot ids.Ballot
	num    ids.ReplicaID
	val    string
	parcel int32
	firm   bool // an entry it speaks of is on the disk
	text   string
	change *membershipChange
	timeOf ids.Ballot // of leads: of the leader whose time it goes on with; 0: none
}

// membershipChange is a change that a leader took up: what it had decided when it
// was asked, the members until then and those to come.
type membershipChange struct {
	decided ids.Slot
	before  []paxos.Member
	after   []paxos.Member
}

type eventKind uint8

const (
	sends eventKind = iota
	votes           // an accepted entry is on the disk
	decides
	installs
	changes // a leader takes a change of membership up
	broken  // a rule, seen at the replica alone
	leads   // a leadership begins
)

// outcome is what a step makes of a replica; nil: nothing.
type outcome struct {
	rep    *replica
	events []event
}

type localKey struct {
	mark digest
	op   Op
	arg  int32
	want digest
}

// localStep makes one step at one replica.
func (e *explorer) localStep(w *world, s Step, remember bool) *outcome {
	r := w.reps[s.At]
	key := localKey{r.mark, s.Op, s.Arg, digest{}}
	switch s.Op {
	case ChangeMembership:
		key.want = sum(canon(nil, reflect.ValueOf(w.want)))
	case Wipe:
		key.arg = int32(w.next)
	case Submit, Again:
		key.op = Submit
	}
	if o, ok := e.memo[key]; ok {
		return o
	}
	n := r.twin()
	o := &outcome{rep: n}
	if e.perform(w, n, s, o) {
		e.flush(n, o)
		if n.core.Role() == paxos.Leader && r.core.Role() != paxos.Leader {
			ballot, _ := n.core.Leader()
			o.events = append(o.events, event{kind: leads, num: n.self.ID, ballot: ballot, timeOf: n.core.TimeOf()})
		}
		n.seal(e.blind)
	}
	if n.mark == r.mark && len(o.events) == 0 {
		o = nil
	}
	if remember || o == nil {
		e.memo[key] = o
	}
	return o
}

// perform does what a step does to the engine; false if it does nothing.
func (e *explorer) perform(w *world, n *replica, s Step, o *outcome) bool {
	switch s.Op {
	case Take, arrive:
		p := &e.parcels[s.Arg]
		if p.snap != nil {
			if !n.core.Install(n.now, p.snap.Slot, p.snap.Memberships, p.snap.Clock) {
				return false
			}
			n.clock = max(n.clock, p.snap.Clock)
			n.pending = append(n.pending, write{Snap: p.snap, Came: true})
			o.events = append(o.events, event{kind: installs, slot: p.snap.Slot})
			return true
		}
		if s.Op == Take {
			n.now = max(n.now, p.at)
		}
		n.core.Receive(n.now, w.reps[p.from].self.Node, p.msg)
	case Sync:
		e.sync(n, o, int(s.Arg))
	case Doubt, Heartbeat:
		wake := n.core.NextWake()
		if wake >= soon(n.now) {
			return false
		}
		n.now = max(n.now, wake)
		n.core.Tick(n.now)
	case pass:
		n.now += ids.Millis(s.Arg)
		if n.core.NextWake() <= n.now {
			n.core.Tick(n.now)
		}
	case Kill, Power:
		e.restart(n, s, o)
	case Wipe:
		if n.disk = (&disk{}); !e.plan.OldNumber {
			n.self.ID = w.next
		}
		n.boot(e.plan, e.founders, e.others)
	case Drain:
		n.core.StopLeading(n.now)
	case Keep:
		n.pending = append(n.pending, write{Snap: n.image()})
	case Submit, Again:
		return n.core.Submit(n.now, e.orders[s.Arg], false) == nil
	case ChangeMembership:
		return e.changeMembership(w, n, o)
	}
	return true
}

// restart ends a process and starts it anew on its disk. Of what was not synced a
// killed process has left everything, and a loss of power the writes of the step.
func (e *explorer) restart(n *replica, s Step, o *outcome) {
	for i, x := range n.pending {
		if s.Op == Kill || s.Arg&(1<<i) != 0 {
			n.disk = n.disk.with(x)
			e.recorded(n, x, o)
		}
	}
	if held := n.disk.level(); held < n.disk.Commit {
		fault := fmt.Sprintf("durable answers: the disk of %s says that all up to %d is decided, and holds all up to %d",
			n.self.Node, n.disk.Commit, held)
		o.events = append(o.events, event{kind: broken, text: fault})
	}
	n.boot(e.plan, e.founders, e.others)
}

// changeMembership asks a leader for the next step towards the membership wanted, as
// the shards and the control group do: one that is to come must be heard, and be
// caught up unless it takes its own place under a new number.
func (e *explorer) changeMembership(w *world, n *replica, o *outcome) bool {
	members, decided := n.core.Voters(), n.core.Commit()
	next := paxos.NextMembership(members, w.want, func(m ids.ReplicaID) bool {
		own := slices.ContainsFunc(w.want, func(x paxos.Member) bool {
			return x.ID == m && paxos.ContainsNode(members, x.Node)
		})
		return n.core.HeardWithin(n.now, m, 1000) && (own || n.core.CaughtUp(m))
	})
	if next != nil && e.plan.Asked != nil {
		next = e.plan.Asked(next)
	}
	if next == nil || n.core.ChangeMembership(n.now, next) != nil {
		return false
	}
	change := &membershipChange{decided: decided, before: members, after: next}
	o.events = append(o.events, event{kind: changes, change: change})
	return true
}

// soon bounds a wake: beyond it a replica does not want to be woken.
func soon(now ids.Millis) ids.Millis { return now + 1<<30 }

func (e *explorer) sync(n *replica, o *outcome, i int) {
	x := n.pending[i]
	n.pending = slices.Delete(n.pending, i, i+1)
	n.disk = n.disk.with(x)
	e.recorded(n, x, o)
	if x.Snap == nil {
		n.core.Synced(n.now, x.Token)
		return
	}
	n.core.Trim(x.Snap.Slot)
	if x.Came {
		n.core.SnapshotRecorded()
	}
}

func (e *explorer) recorded(n *replica, x write, o *outcome) {
	for _, r := range x.Recs {
		if r.Entry != nil {
			vote := event{kind: votes, slot: r.Entry.Slot, ballot: r.Entry.Ballot, num: n.self.ID, val: string(r.Entry.Val)}
			o.events = append(o.events, vote)
		}
	}
}

// flush carries out what the engine wants.
func (e *explorer) flush(n *replica, o *outcome) {
	for {
		x := n.core.Drain()
		if len(x.Saves) > 0 {
			n.pending = append(n.pending, write{Recs: x.Saves, Token: x.Token})
			if e.plan.Hasty && e.begun {
				n.core.Synced(n.now, x.Token)
			}
		}
		for _, d := range x.Decided {
			n.clock = max(n.clock, d.Value.Stamp)
			o.events = append(o.events, event{kind: decides, slot: d.Slot, num: n.self.ID, val: string(d.Raw)})
		}
		for _, s := range x.Sends {
			e.send(n, s, o)
		}
		for _, to := range x.SnapshotPeers {
			i := e.post(parcel{from: e.index(n.self.Node), to: e.index(to), snap: n.image()})
			o.events = append(o.events, event{kind: sends, parcel: i, num: n.self.ID})
		}
		if len(x.Saves)+len(x.Sends)+len(x.Decided)+len(x.SnapshotPeers) > 0 {
			continue
		}
		if !e.plan.Instant || len(n.pending) == 0 {
			return
		}
		e.sync(n, o, 0)
	}
}

func (e *explorer) send(n *replica, s paxos.Envelope, o *outcome) {
	if e.plan.Tamper != nil && e.begun && !e.plan.Tamper(&s.Msg) {
		return
	}
	m := s.Msg
	p := parcel{from: e.index(n.self.Node), to: e.index(s.To), msg: m}
	fail := func(rule, format string, a ...any) {
		text := fmt.Sprintf("%s: there goes %s: %s", rule, e.describe(p), fmt.Sprintf(format, a...))
		o.events = append(o.events, event{kind: broken, text: text})
	}
	switch {
	case m.From != n.self.ID:
		fail("lost disk", "its number is %d", n.self.ID)
	case (m.Kind == paxos.Promise || m.Kind == paxos.Prepare) && n.disk.bound() < m.Ballot:
		fail("durable answers", "it is not on its disk")
	case m.Kind == paxos.CaughtUp && n.disk.level() < m.Durable:
		fail("durable answers", "its disk holds what is decided up to %d", n.disk.level())
	case m.Kind == paxos.Accept && m.Slot > n.core.Commit()+ids.Slot(e.plan.Conf.Window):
		fail("window", "%d is decided, WND is %d", n.core.Commit(), e.plan.Conf.Window)
	}
	switch m.Kind {
	case paxos.PreVote, paxos.Prepare, paxos.Accept, paxos.Heartbeat:
		p.at = n.now
	}
	i := e.post(p)
	o.events = append(o.events, event{kind: sends, parcel: i, num: n.self.ID, firm: n.disk.holds(m.Slot, m.Ballot)})
}

// apply makes a step in a world. It gives nil if the step changes nothing, and
// what rule it broke, if any.
func (e *explorer) apply(w *world, s Step, remember bool) (*world, string) {
	if s.Op == Leave {
		n := w.twin()
		n.gone |= 1 << s.At
		n.left[Leave]--
		return n, ""
	}
	o := e.localStep(w, s, remember)
	if e.last = o; o == nil {
		return nil, ""
	}
	n := w.twin()
	n.reps[s.At] = o.rep
	if e.plan.Most[s.Op] > 0 {
		n.left[s.Op]--
	}
	h := w.hist
	switch s.Op {
	case Submit, Again:
		h = h.given(s.Arg, len(e.orders))
	case Wipe:
		old := w.reps[s.At].self
		if n.next++; !e.plan.OldNumber {
			n.want = slices.Clone(w.want)
			for i, m := range n.want {
				if m == old {
					n.want[i] = o.rep.self
				}
			}
		}
		h = h.retire(old.ID)
	case ChangeMembership:
		h = h.ask(w.want)
	}
	fault := ""
	for _, x := range o.events {
		if x.kind == sends && !slices.Contains(e.plan.Mute, e.parcels[x.parcel].msg.Kind) {
			n.sent = n.sent.with(x.parcel)
		}
		var f string
		if x.kind == changes {
			f = n.holders(x.change)
		} else {
			h, f = e.judge(h, x)
		}
		if f != "" && fault == "" {
			fault = f
		}
	}
	n.hist = h.seal()
	if fault == "" && s.Op <= Sync && o.rep.mark == w.reps[s.At].mark && n.hist.mark == w.hist.mark && n.sent.in(w.sent) {
		return nil, "" // it says again what it has said
	}
	return n, fault
}
