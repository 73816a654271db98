package control

import (
	"slices"

	"oxbowdeck/internal/codec"
	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
)

// subscriber is a link that hears updates, and how new those it was given are.
type subscriber struct {
	conn controlapi.Conn
	seq  ids.Slot
}

// Tries to enroll this process while nobody is known to lead: the pauses between them,
// and how many are asked at a time.
const (
	enrollFanOut   = 3
	enrollPauseMin = ids.Millis(500)
	enrollPauseMax = ids.Millis(4000)
)

// enroll answers with updates once they are sure to be the newest: at once under a
// lease, else through the group's order; and when the incarnation is not known yet, once
// it is agreed. A process that waits for that gets the update meanwhile, if it has
// none. An edge is told where to have them: from a store of its zone, which lists
// it once it is agreed.
func (c *Control) enroll(conn controlapi.Conn, x controlapi.Enroll) {
	n := x.Node
	old := c.state.find(n.Addr)
	listed := old != nil && old.Incarnation == n.Incarnation && old.Disk == n.Disk && !old.Gone
	switch {
	case n.Role == controlapi.Edge && !x.Whole:
		c.enrollEdge(conn, x, listed)
	case listed:
		c.Read(enrollWait, func(ok bool) {
			if ok {
				c.subscribe(conn, n, x.Seq)
			}
		})
	default:
		seq := x.Seq
		if seq == 0 && c.state.UpdatedAt > 0 && n.Role != controlapi.Control && c.current() {
			c.checkLease("enrollment")
			if conn.Send(controlapi.KindUpdate, c.state.Update().Since(0)) {
				c.conf.Metrics.UpdateSent()
				seq = c.state.UpdatedAt // what follows over this link are changes
			}
		}
		c.Ask(Command{Verb: Enroll, Node: n, KeepsOrders: true}, enrollWait, func(_ Result, ok bool) {
			if ok {
				c.subscribe(conn, n, seq)
			}
		})
	}
}

func (c *Control) enrollEdge(conn controlapi.Conn, x controlapi.Enroll, listed bool) {
	if x.Seq == 0 {
		c.Read(enrollWait, func(ok bool) {
			if ok {
				c.sendBootstrap(conn)
			}
		})
	}
	if !listed {
		c.Ask(Command{Verb: Enroll, Node: x.Node}, enrollWait, ignoreResult)
	}
}

// sendBootstrap sends the bootstrap of the update over a link.
func (c *Control) sendBootstrap(conn controlapi.Conn) {
	if c.bootstrap == nil || c.bootstrapAt != c.state.UpdatedAt {
		b, err := codec.Marshal(c.state.Update().Bootstrap())
		if err != nil {
			c.out.Log("encode-failed", "kind", controlapi.KindUpdate, "err", err)
			return
		}
		c.bootstrap, c.bootstrapAt = b, c.state.UpdatedAt
	}
	if conn.SendRaw(controlapi.KindUpdate, c.bootstrap) {
		c.conf.Metrics.UpdateSent()
	}
}

// subscribe gives a link what is new since seq, and goes on with it.
func (c *Control) subscribe(conn controlapi.Conn, n controlapi.Node, seq ids.Slot) {
	if n.Role == controlapi.Control || !conn.Send(controlapi.KindUpdate, c.state.Update().Since(seq)) {
		return // a control process follows the group's order itself
	}
	c.conf.Metrics.UpdateSent()
	s := subscriber{conn, max(seq, c.state.UpdatedAt)}
	if i := slices.IndexFunc(c.subscribers, func(o subscriber) bool { return o.conn == conn }); i >= 0 {
		c.subscribers[i] = s
		return
	}
	c.subscribers = append(c.subscribers, s)
}

// enrollSelf enrolls this process: in the group's order if it knows who leads, else
// through any control process it knows of, asked ever more seldom.
func (c *Control) enrollSelf() {
	if _, leader := c.core.Leader(); leader != "" {
		c.Ask(Command{Verb: Enroll, Node: c.conf.Self}, selfEnrollWait, ignoreResult)
		return
	}
	if c.now < c.enrollRetryAt {
		return
	}
	c.enrollPause = min(max(2*c.enrollPause, enrollPauseMin), enrollPauseMax)
	c.enrollRetryAt = c.now + c.enrollPause/2 + ids.Millis(c.conf.Rand(int64(c.enrollPause/2)))
	for _, addr := range c.enrollThrough() {
		c.out.Send(addr, controlapi.KindEnroll, controlapi.Enroll{Node: c.conf.Self})
	}
}

// enrollThrough draws the control processes to enroll through: a few of those that the
// settings name or the disk remembers. Each of them puts the enrollment to the group,
// and a link to each stays open, so asking all of them would cost the square of the
// processes when all begin at once.
func (c *Control) enrollThrough() []ids.Node {
	var all []ids.Node
	for _, addr := range append(slices.Clone(c.seeds), c.known...) {
		if addr != c.conf.Self.Addr && !slices.Contains(all, addr) {
			all = append(all, addr)
		}
	}
	few := min(len(all), enrollFanOut)
	for i := range few {
		k := i + int(c.conf.Rand(int64(len(all)-i)))
		all[i], all[k] = all[k], all[i]
	}
	return all[:few]
}

// Depart begins an orderly end: the group is told, so that this process's vote
// goes to another, and it leads no more. It goes on voting and answering.
func (c *Control) Depart(now ids.Millis) {
	c.now, c.leaving = now, true
	c.Ask(Command{Verb: Depart, Node: c.conf.Self}, departWait, ignoreResult)
	c.core.StopLeading(now)
}

// Departed tells whether this process is not needed any more: it has no vote, and
// the members hold all that was decided while it had one; or there is nobody who
// could take its place, and waiting is of no use.
func (c *Control) Departed(now ids.Millis) bool {
	c.now = now
	if c.core.Role() != paxos.Follower {
		return false
	}
	voters := c.core.Voters()
	if !paxos.ContainsNode(voters, c.conf.Self.Addr) {
		return paxos.SameMembers(c.state.Recorded, voters)
	}
	for i := range c.state.Nodes {
		n := &c.state.Nodes[i]
		if n.Role != controlapi.Control || n.Gone || n.Addr == c.conf.Self.Addr {
			continue
		}
		if !c.state.departing(n) && !paxos.ContainsNode(voters, n.Addr) {
			return false
		}
	}
	return true
}

// Leave tells the group that this incarnation ends.
func (c *Control) Leave(now ids.Millis, wait ids.Millis, done func()) {
	c.now = now
	c.Ask(Command{Verb: Leave, Node: c.conf.Self}, wait, func(Result, bool) { done() })
}
