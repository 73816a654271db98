package paxos

import "oxbowdeck/internal/ids"

// StopLeading makes a replica whose process is about to end hand over and lead no more.
func (c *Core) StopLeading(now ids.Millis) {
	c.draining = true
	c.TransferLeadership(now)
}

// TransferLeadership makes a leader finish its window and hand over. It takes no new requests
// from now on. It may lead again later, if it has a vote then.
func (c *Core) TransferLeadership(now ids.Millis) {
	c.resign(now)
	if c.role != Leader || c.leading.transferring {
		return
	}
	c.closeBatches(now)
	c.leading.transferring = true
	c.propose(now)
}

// minDuty election timeouts a leader leads before it hands over of itself.
const minDuty = 10

// mayTransfer tells whether this replica leads, has led for a while, and does not hand
// over already.
func (c *Core) mayTransfer(now ids.Millis) bool {
	led := now - c.leading.since
	return c.role == Leader && !c.leading.transferring && !c.draining && led >= minDuty*c.conf.ElectionTimeout
}

// TransferToPreferred hands over to the first replica in the agreed order, if another
// leads: it is asked how far it is, and takes over once it is level. A replica
// that answers much later than the others is left alone.
func (c *Core) TransferToPreferred(now ids.Millis) {
	c.resign(now)
	first := c.Voters()[0]
	if first.ID == c.conf.Self.ID || !c.mayTransfer(now) {
		return
	}
	least := never
	for _, m := range c.Voters() {
		if k := c.leading.unanswered[m.ID]; k != nil {
			least = min(least, k.latency)
		}
	}
	if k := c.leading.unanswered[first.ID]; k == nil || len(k.accepts) > c.conf.Window || k.latency > 3*least+40 {
		return
	}
	c.leading.successor, c.leading.transferredAt = first.Node, now
	c.send(first.Node, c.asLeader(now, Msg{Kind: Heartbeat, Yes: true}))
}

// transferIfSlow hands over to the member that answers soonest, when this leader is
// itself what is slow: its batches take long though a majority is there, or its
// disk has not synced for long. Not before it has led for a while, so that a
// group that is pressed as a whole does not change leaders all the time.
func (c *Core) transferIfSlow(now ids.Millis) {
	if c.conf.SlowBatch == 0 || !c.mayTransfer(now) {
		return
	}
	hung := len(c.disk.waits) > 0 && now-c.disk.waits[0].at > 3*c.conf.SlowBatch
	e := c.log[c.commit+1]
	if e != nil && e.pending && !e.agreed && now-e.timing.Opened > 2*c.conf.SlowBatch && c.UpToDate(now) {
		hung = true // a majority was heard meanwhile
	}
	if c.leading.usualLatency/8 < c.conf.SlowBatch && !hung {
		return
	}
	least := never
	for _, m := range c.Voters() {
		k := c.leading.unanswered[m.ID]
		if k == nil || m.ID == c.conf.Self.ID || !c.HeardWithin(now, m.ID, 2*c.conf.ElectionTimeout) {
			continue
		}
		if k.latency < least && len(k.accepts) <= 2*c.conf.Window {
			least, c.leading.successor = k.latency, m.Node
		}
	}
	if c.leading.successor == "" {
		return
	}
	c.leading.usualLatency = 0
	c.closeBatches(now)
	c.leading.transferring = true
	c.propose(now)
}

// handOver names the next leader and steps down: who was chosen, else the first voter
// in the agreed order that was heard lately, else the one heard last.
func (c *Core) handOver(now ids.Millis) {
	successor := c.leading.successor
	best := ids.Millis(-1)
	for _, m := range c.Voters() {
		if successor != "" {
			break
		}
		if m.ID == c.conf.Self.ID {
			continue
		}
		at, ok := c.seen[m.ID]
		if ok && now-at < 4*c.conf.ElectionTimeout {
			successor = m.Node
			break
		}
		if ok && at > best {
			successor, best = m.Node, at
		}
	}
	c.heartbeat(now)
	if successor == "" {
		c.leading.transferring, c.draining = false, false // nobody is there: go on
		return
	}
	b := c.leader
	c.stepDown(now)
	c.following.heardAt = now
	c.send(successor, Msg{Kind: TransferLeadership, Ballot: b, Commit: c.commit})
}
