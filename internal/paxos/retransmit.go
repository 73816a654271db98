package paxos

import "oxbowdeck/internal/ids"

// maxUnanswered windows of accepts are kept for each replica that does not answer.
const maxUnanswered = 8

// unansweredAccepts is what a leader sent to one replica and has no answer to, and
// how long that replica usually takes.
type unansweredAccepts struct {
	accepts []sent
	latency ids.Millis // in eighths
}

// sent is an accept on its way to a replica.
type sent struct {
	slot          ids.Slot
	at            ids.Millis
	retransmitted bool
}

// retransmitAfter is how long an answer may take before it is asked for again: more
// than usual for that replica, so that a slow one is not pressed.
func (k *unansweredAccepts) retransmitAfter(least ids.Millis) ids.Millis {
	return max(least, 3*k.latency/8)
}

// retransmit sends what a replica has not answered once more, on the second path. A
// packet lost on the first holds up everything behind it; the engine needs no
// order, so what is late need not wait.
func (c *Core) retransmit(now ids.Millis) {
	for _, m := range c.peers(true, true) {
		k := c.leading.unanswered[m.ID]
		if k == nil {
			continue
		}
		n := 0
		for _, o := range k.accepts {
			if now-o.at > 4*c.conf.ElectionTimeout {
				continue // it is gone, or will fetch
			}
			if !o.retransmitted && now-o.at >= k.retransmitAfter(c.conf.RetransmitTimeout) {
				o.retransmitted = true
				c.sendAgain(now, m, o.slot)
			}
			k.accepts[n] = o
			n++
		}
		k.accepts = k.accepts[:n]
	}
}

// sendAgain sends an accept on the second path, unless the replica has not been heard lately.
func (c *Core) sendAgain(now ids.Millis, to Member, at ids.Slot) {
	e := c.log[at]
	if e == nil || now-c.seen[to.ID] >= 2*c.conf.ElectionTimeout {
		return
	}
	again := c.envelope(to.Node, c.asLeader(now, Msg{Kind: Accept, Slot: at, Val: e.val}))
	again.SecondPath = true
	c.eff.Sends = append(c.eff.Sends, again)
}

// answered notes an answer, and how long it took.
func (c *Core) answered(now ids.Millis, num ids.ReplicaID, s ids.Slot) {
	k := c.leading.unanswered[num]
	if k == nil {
		return
	}
	for i, o := range k.accepts {
		if o.slot == s {
			if !o.retransmitted {
				k.latency += now - o.at - k.latency/8
			}
			k.accepts = append(k.accepts[:i], k.accepts[i+1:]...)
			return
		}
	}
}
