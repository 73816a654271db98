package edge

import (
	"oxbowdeck/internal/shardapi"
)

// A client that was away may have missed more than may wait for it here. It is handed as much as
// there is room for; its subscription is behind then, and gets nothing more until the client has
// read that. Then the replica followed is asked for what comes after, as often as it takes. Nothing
// of it is kept here meanwhile.

// roomPercent is the part of what may wait for a client that is filled with what it missed: its
// other answers have the rest.
const roomPercent = 75

// room is how many bytes of what a client missed may be put into its buffer now.
func (c *conn) room() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.daemon.bounds.clientOut*roomPercent/100 - len(c.out) - len(c.pending)
}

// catchUp hands a subscription what it missed, as far as there is room, and asks for the next
// piece if that was one.
func (d *Daemon) catchUp(s *subscription, joined shardapi.Joined) {
	room := s.conn.room()
	for _, it := range joined.Items {
		if it.Pos <= s.last {
			continue
		}
		line := d.render(joined.Topic, it.Pos, it.Client, it.Seq, it.Body)
		if room -= len(line); room < 0 {
			d.fallBehind(s)
			return
		}
		d.deliver(s, it.Pos, line)
	}
	if joined.Piece {
		s.stayBehind()
		d.requestJoin(s)
		return
	}
	s.behind = false
	delete(s.conn.behind, s)
}

// fallBehind has a subscription go on once its client has read what waits.
func (d *Daemon) fallBehind(s *subscription) {
	s.stayBehind()
	s.conn.drained.Store(true)
	s.conn.wakeWriter() // it may have found nothing to write just now
}

// stayBehind has a subscription get nothing until it was handed what it missed.
func (s *subscription) stayBehind() {
	s.behind = true
	if s.conn.behind == nil {
		s.conn.behind = map[*subscription]bool{}
	}
	s.conn.behind[s] = true
}

// tellDrained tells the edge that nothing waits to be written, if it wants to know; on the writer.
func (c *conn) tellDrained() {
	if c.drained.CompareAndSwap(true, false) {
		c.daemon.core.Actor.Do(func() { c.daemon.goOn(c) })
	}
}

// goOn asks for what a client's subscriptions lack that are behind.
func (d *Daemon) goOn(c *conn) {
	if d.conns[c.id] != c {
		return
	}
	for s := range c.behind {
		if d.joins[s.request] != s { // else it is asked for already
			d.requestJoin(s)
		}
	}
}

// joinedBehind takes the answer to what a subscription that is behind was asked for.
func (d *Daemon) joinedBehind(s *subscription, joined shardapi.Joined) {
	if joined.Expired {
		s.conn.end() // it lacks what no replica has: the client takes it up anew
		return
	}
	d.catchUp(s, joined)
	s.topic.reached(joined.End, s.behind)
}
