package simulation

import (
	"fmt"
	"slices"
	"strings"

	"oxbowdeck/internal/control"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
	"oxbowdeck/internal/topic"
)

// checkContact: a replica that says it was in touch with a majority at some time
// holds all that had been decided anywhere before, and a leader that is cut off
// does not go on for long.
func (w *World) checkContact(n *node) {
	age, ok := n.core.Contact(w.clock(n))
	if !ok || n.frozen {
		return
	}
	w.Contacts++
	w.checkContactAge(&w.loop, n.member.Node, age, n.core.Commit())
	if n.core.Role() == paxos.Leader && age < 300 && !paxos.SameMembers(n.core.Voters(), w.inForce) {
		old := w.inForce
		w.inForce = append([]paxos.Member(nil), n.core.Voters()...)
		with := append([]paxos.Member(nil), w.inForce...)
		for _, m := range old { // who was replaced and lives has what it accepted until the others have it
			if x := w.find(m.Node); !slices.Contains(with, m) && x.up && x.member.ID == m.ID {
				with = append(with, m)
			}
		}
		if len(old) > 0 {
			w.checkCopies(&w.loop, "a membership in force", with, n.core.Commit(), min(len(old), len(w.inForce))/2+1, w.diskOf)
		}
	}
	if q := w.plan.Conf.QuorumTimeout; q > 0 && n.core.Role() == paxos.Leader && age > q+100 {
		w.fail("node %s leads, and heard no majority for %d ms", n.member.Node, age)
	}
}

// checkSend checks the bounds of batches and window on what goes out.
func (w *World) checkSend(n *node, m paxos.Msg) {
	if m.Kind != paxos.Accept {
		return
	}
	if m.Slot > n.core.Commit()+ids.Slot(w.plan.Conf.Window) {
		w.fail("window: instance %d proposed above %d decided, WND is %d", m.Slot, n.core.Commit(), w.plan.Conf.Window)
	}
	v, err := paxos.Decode(m.Val)
	if err != nil {
		w.fail("batch unreadable: %v", err)
		return
	}
	size := 0
	for _, r := range v.Reqs {
		size += len(r.Data)
	}
	if len(v.Reqs) > 1 && size > w.plan.Conf.BatchBytes {
		w.fail("batch: %d bytes, BSZ is %d", size, w.plan.Conf.BatchBytes)
	}
}

// checkDurable checks that what is decided is on as many disks as the plan wants.
func (w *World) checkDurable(d paxos.Decided) {
	copies := 0
	for _, n := range w.nodes {
		if n.disk.has(d.Slot, d.Raw) {
			copies++
		}
	}
	if copies < w.plan.Copies {
		w.fail("instance %d is decided on %d disks, wanted %d", d.Slot, copies, w.plan.Copies)
	}
}

func (w *World) decided(n *node, d paxos.Decided) {
	if !w.agree(&w.loop, n.member.Node, d) {
		return
	}
	if d.Slot != n.state.Slot()+1 {
		w.fail("node %s applies %d after %d", n.member.Node, d.Slot, n.state.Slot())
	}
	w.checkDurable(d)
	w.leaderDecided(n, d)
	w.control(n, d)
	var last paxos.ID
	first := true
	t := d
	t.Value.Reqs = nil
	for _, r := range d.Value.Reqs {
		if !strings.HasPrefix(r.ID.Origin, operator) {
			t.Value.Reqs = append(t.Value.Reqs, r)
		}
	}
	n.state.Apply(t, func(e topic.Event) {
		if !first && (e.ID.Origin < last.Origin || e.ID.Origin == last.Origin && e.ID.Seq <= last.Seq) {
			w.fail("order in instance %d: %v after %v", d.Slot, e.ID, last)
		}
		last, first = e.ID, false
		if e.Cmd.Verb == topic.Publish {
			w.verdict(e)
		}
	})
	n.bytes += len(d.Raw) + 32
	if d.Slot%8 == 0 {
		b, err := n.state.Save()
		if err != nil {
			w.fail("save: %v", err)
		}
		w.checkState(&w.loop, n.member.Node, d.Slot, b)
	}
}

func (w *World) verdict(e topic.Event) {
	k := key{e.Cmd.Client, e.Cmd.Seq}
	switch e.Verdict {
	case topic.Fresh:
		if w.refused[k] {
			w.fail("%v was refused for good, then accepted", k)
		}
		if p, ok := w.acked[k]; ok && p != e.Pos {
			w.fail("%v accepted at %v and at %v", k, p, e.Pos)
		}
		if _, ok := w.acked[k]; !ok {
			w.Acked++
		}
		w.acked[k] = e.Pos
		delete(w.open, k)
	case topic.Again:
		if _, ok := w.acked[k]; !ok {
			w.fail("%v answered as accepted, which it never was", k)
		}
	case topic.Refused:
		if _, ok := w.acked[k]; ok {
			w.fail("%v was accepted, then refused", k)
		}
		if !w.refused[k] {
			w.Refused++
		}
		w.refused[k] = true
		delete(w.open, k)
	}
}

// control runs an instance's operator commands, and checks what comes into
// force: one version on top of each, none that was refused, never an older one.
func (w *World) control(n *node, d paxos.Decided) {
	v := paxos.Value{}
	for _, r := range d.Value.Reqs {
		if strings.HasPrefix(r.ID.Origin, operator) {
			v.Reqs = append(v.Reqs, r)
		}
	}
	n.control.Apply(paxos.Decided{Slot: d.Slot, Value: v}, func(id paxos.ID, r control.Result) {
		p := w.puts[id]
		if p.res != 0 && p.res != r {
			w.fail("configuration %d was answered %d, now %d", p.release, p.res, r)
		}
		if p.res == 0 && r == control.Done {
			if o, ok := w.onTop[p.match]; ok && o != p.release {
				w.fail("configurations %d and %d both taken on top of %d", o, p.release, p.match)
			}
			w.onTop[p.match] = p.release
			w.Configs++
		}
		p.res = r
		w.puts[id] = p
	})
	if n.control.Release < n.release {
		w.fail("node %s goes back from configuration %d to %d", n.member.Node, n.release, n.control.Release)
	}
	if n.control.Release != n.release {
		n.release = n.control.Release
		for _, p := range w.puts {
			if p.release == n.release && p.res == control.Done {
				return
			}
		}
		w.fail("configuration %d is in force on %s, and was never taken", n.release, n.member.Node)
	}
}

// final checks what must hold once the world has healed: every call answered,
// every replica caught up, every accepted message kept while young, once, in order.
func (w *World) final() {
	if len(w.open) > 0 {
		w.fail("%d calls are still open %d ms after the world healed", len(w.open), w.now-w.plan.For)
	}
	top := ids.Slot(0)
	for _, n := range w.nodes {
		top = max(top, n.core.Commit())
	}
	for _, n := range w.nodes {
		if n.core.Commit() != top {
			w.fail("node %s stands at %d, others at %d", n.member.Node, n.core.Commit(), top)
			continue
		}
		if n.core.Role() == paxos.Leader && !paxos.SameMembers(n.core.Voters(), w.want) {
			w.fail("membership %v, wanted %v", n.core.Voters(), w.want)
		}
		w.checkConfiguration(n)
		w.checkHistory(n)
	}
}

// checkConfiguration: a node reads the newest configuration that was taken.
func (w *World) checkConfiguration(n *node) {
	newest := int64(0)
	for _, p := range w.puts {
		if p.res == control.Done {
			newest = max(newest, p.release)
		}
	}
	if n.control.Release != newest {
		w.fail("node %s reads configuration %d, the newest taken is %d", n.member.Node, n.control.Release, newest)
	}
}

// checkHistory: a node holds what was accepted, where, once and in order.
func (w *World) checkHistory(n *node) {
	held := map[key]bool{}
	for t := 0; t < topics; t++ {
		topic := ids.Topic(fmt.Sprintf("t%d", t))
		items, _ := n.state.After(topic, 0)
		high := map[ids.Client]ids.Seq{}
		var last ids.Position
		for _, it := range items {
			k := key{it.Client, it.Seq}
			switch {
			case held[k]:
				w.fail("%v twice on node %s", k, n.member.Node)
			case it.Pos <= last:
				w.fail("%v out of place on node %s", k, n.member.Node)
			case it.Seq <= high[it.Client]:
				w.fail("%v passed by a later one on node %s", k, n.member.Node)
			case w.refused[k]:
				w.fail("%v was refused, and is held on node %s", k, n.member.Node)
			case w.sent[k] != topic:
				w.fail("%v was sent on %s, is held on %s", k, w.sent[k], topic)
			case w.acked[k] != it.Pos:
				w.fail("%v is held at %v, was accepted at %v", k, it.Pos, w.acked[k])
			}
			held[k], last = true, it.Pos
			high[it.Client] = it.Seq
		}
	}
	for k, p := range w.acked {
		if t := w.sent[k]; !held[k] {
			if _, whole := n.state.After(t, p-1); whole {
				w.fail("accepted %v is lost on node %s", k, n.member.Node)
			}
		}
	}
}
