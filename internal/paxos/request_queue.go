package paxos

import "oxbowdeck/internal/ids"

// The request queues of a leader: ready batches of the urgent one go first.
const (
	commonQueue = iota
	urgentQueue
)

// requestQueue is what waits to be proposed: an open batch, and closed ones.
type requestQueue struct {
	open   []Request
	size   int
	openAt ids.Millis
	time   ids.Millis // decided time of the open batch
	urgent []string   // origins of urgent requests in the open batch
	closed []batch
	bytes  int
}

type batch struct {
	val    []byte
	urgent []string
	timing Timing
}

func (q *requestQueue) busy() bool { return len(q.open)+len(q.closed) > 0 }

func (q *requestQueue) shut(now ids.Millis) {
	if len(q.open) == 0 {
		return
	}
	b := batch{
		val:    encode(Value{Stamp: q.time, Reqs: q.open}),
		urgent: q.urgent,
		timing: Timing{Opened: q.openAt, Closed: now},
	}
	q.closed = append(q.closed, b)
	q.bytes += len(b.val)
	q.open, q.size, q.urgent = nil, 0, nil
}

// closeBatches closes every open batch: the leader hands over.
func (c *Core) closeBatches(now ids.Millis) {
	for i := range c.leading.queues {
		c.leading.queues[i].shut(now)
	}
}

// readyQueue gives the request queue whose first closed batch is next.
func (c *Core) readyQueue() *requestQueue {
	for _, q := range []*requestQueue{&c.leading.queues[urgentQueue], &c.leading.queues[commonQueue]} {
		if len(q.closed) > 0 {
			return q
		}
	}
	return nil
}

// takeBatch takes the first closed batch off a queue and tells when it was opened and closed.
func (c *Core) takeBatch(q *requestQueue) Timing {
	b := q.closed[0]
	for _, origin := range b.urgent {
		if c.leading.urgentWaiting[origin]--; c.leading.urgentWaiting[origin] == 0 {
			delete(c.leading.urgentWaiting, origin)
		}
	}
	q.closed = q.closed[1:]
	q.bytes -= len(b.val)
	return b.timing
}
