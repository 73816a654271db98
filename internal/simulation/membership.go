package simulation

import (
	"oxbowdeck/internal/paxos"
)

// changeMembership is the control plane's part: the leader is asked for the membership
// wanted until it is in force.
func (w *World) changeMembership() {
	for _, n := range w.nodes {
		if n.up && n.core.Role() == paxos.Leader && paxos.SameMembers(n.core.Voters(), w.want) {
			w.planMembership(n)
		}
	}
	for _, n := range w.nodes {
		if n.up && n.core.Role() == paxos.Leader && !paxos.SameMembers(n.core.Voters(), w.want) {
			n.core.ChangeMembership(w.clock(n), append([]paxos.Member(nil), w.want...))
			w.flush(n)
		} else if n.up && n.core.Role() == paxos.Leader && n.core.MembershipRecorded() {
			n.core.TransferToPreferred(w.clock(n))
			w.flush(n)
		}
	}
	w.after(200, w.changeMembership)
}

// planMembership changes the membership wanted by one member: a newcomer that is level.
func (w *World) planMembership(lead *node) {
	if x := w.find(w.joins); x != nil && x.up && lead.core.CaughtUp(x.member.ID) {
		for i := range w.want {
			if w.want[i].Node == w.leaves {
				w.want[i] = x.member
				w.Swaps++
			}
		}
		w.joins, w.leaves = "", ""
		return
	}
	for _, x := range w.nodes {
		ready := x.up && !paxos.ContainsNode(w.want, x.member.Node) && lead.core.CaughtUp(x.member.ID)
		if len(w.want) < w.plan.Grow && ready && lead.core.MembershipRecorded() {
			w.want = append(w.want, x.member)
			return
		}
	}
}
