package voice

import (
	"sort"
	"strconv"

	"github.com/fxamacker/cbor/v2"

	"oxbowdeck/internal/accord"
	"oxbowdeck/internal/rule"
	"oxbowdeck/internal/tale"
	"oxbowdeck/internal/trace"
	"oxbowdeck/internal/unit"
)

// call is a request on its way through the decided order.
type call struct {
	req    accord.Request
	group  unit.Group
	order  uint64
	topic  unit.Topic
	seq    unit.Seq
	c      *conn // nil: nobody waits for the answer
	at     unit.Millis
	end    unit.Millis
	sent   unit.Millis
	tries  int
	queued bool
	urgent bool // of a space above the lowest level
	nudged bool // forwarded once more on the second path
}

func (d *Daemon) publish(now unit.Millis, c *conn, w word, sp *rule.Space) {
	id := accord.ID{Origin: string(c.client), Seq: uint64(w.seq)}
	if old := d.calls[id]; old != nil {
		if old.topic == w.topic {
			if old.c != nil {
				old.c.calls--
			}
			old.c = c // the same call again, perhaps from a newer connection
			c.calls++
			return
		}
		c.put(reject(nil, wPublish, w.topic, w.seq, cRetry))
		return
	}
	if len(d.calls) >= d.b.calls || c.calls >= d.b.perConn || len(d.norm0().Shards) == 0 {
		cause := cUnknown
		if d.unspoken(now, c, id) {
			cause = cRetry // never forwarded
		}
		c.put(reject(nil, wPublish, w.topic, w.seq, cause))
		return
	}
	keep := unit.Millis(0)
	if sp.Retained() {
		keep = unit.Millis(sp.KeepS * 1000)
	}
	wait := unit.Millis(sp.GuardMs) - d.b.margin
	if wait < unit.Millis(sp.GuardMs)/2 {
		wait = unit.Millis(sp.GuardMs) / 2
	}
	c.calls++
	d.call(now, &call{c: c, urgent: d.config.Urgent(sp), topic: w.topic, seq: w.seq, end: now + wait}, id,
		tale.Command{Verb: tale.Publish, Topic: w.topic, Client: c.client, Seq: w.seq, Body: w.body, Edge: d.self.Addr, Keep: keep})
}

// call puts a command on its way to its group's leader.
func (d *Daemon) call(now unit.Millis, x *call, id accord.ID, cmd tale.Command) {
	b, err := cbor.Marshal(cmd)
	if err != nil {
		return
	}
	d.order++
	x.at = now
	x.req, x.order = accord.Request{ID: id, Data: b}, d.order
	x.group = unit.GroupOf(cmd.Topic, len(d.norm0().Shards))
	d.calls[id] = x
	d.queue(x)
}

func (d *Daemon) queue(x *call) {
	if !x.queued {
		x.queued = true
		d.outq[x.group] = append(d.outq[x.group], x)
	}
}

// forward sends what is queued to the leaders, in the order it came.
func (d *Daemon) forward(now unit.Millis) {
	type way struct {
		group  unit.Group
		spare  bool
		urgent bool
	}
	out := map[way][]*call{}
	for _, x := range d.calls {
		if x.tries > 0 && !x.nudged && !x.queued && now-x.sent >= d.b.nudge {
			x.nudged = true
			out[way{x.group, true, x.urgent}] = append(out[way{x.group, true, x.urgent}], x)
		}
	}
	for g, q := range d.outq {
		if _, ok := d.leads[g]; !ok {
			continue
		}
		for _, x := range q {
			x.queued = false
			if d.calls[x.req.ID] == x {
				x.sent = now
				x.tries++
				out[way{g, false, x.urgent}] = append(out[way{g, false, x.urgent}], x)
			}
		}
		d.outq[g] = q[:0]
	}
	for w, q := range out {
		sort.Slice(q, func(i, j int) bool { return q[i].order < q[j].order })
		p := trace.Propose{Group: w.group, Urgent: w.urgent, Again: w.spare}
		for _, x := range q {
			p.Reqs = append(p.Reqs, x.req)
			p.Again = p.Again || x.tries > 1
		}
		l := d.hub.To(d.leads[w.group].Node)
		if w.spare {
			l = d.hub.Spare(d.leads[w.group].Node)
		}
		l.Send(trace.KindPropose, p)
	}
}

// forwards counts the copies of a call that were sent to leaders. Only when the
// one copy there is was turned away is it sure that the call never runs.
func (c *call) forwards() int {
	if c.nudged {
		return c.tries + 1
	}
	return c.tries
}

// again forwards every open call of a group once more, in the old order: the
// leader that held them may be gone. The ids make a second run harmless.
func (d *Daemon) again(g unit.Group) {
	for _, x := range d.calls {
		if x.group == g && x.tries > 0 {
			d.queue(x)
		}
	}
}

// seatCall tells the shard who sits where; the count of subscribers reads it.
func (d *Daemon) seatCall(now unit.Millis, s *sub, v tale.Verb) {
	if len(d.norm0().Shards) == 0 {
		return
	}
	c, t := s.c, s.t.name
	c.seatSeq++
	id := accord.ID{Origin: string(d.self.Addr) + "#" + strconv.FormatUint(uint64(d.self.Life), 36) + "." + strconv.FormatUint(c.id, 36), Seq: c.seatSeq}
	d.call(now, &call{topic: t, end: now + 10000}, id,
		tale.Command{Verb: v, Topic: t, Client: c.client, Edge: d.self.Addr, Life: d.self.Life, Conn: s.seat})
}

// outcome takes what the decided order says of a call.
func (d *Daemon) outcome(o trace.Outcome) {
	x := d.calls[o.ID]
	if x == nil {
		return
	}
	delete(d.calls, o.ID)
	if x.c == nil {
		return
	}
	x.c.calls--
	if o.Verdict == tale.Refused {
		x.c.put(reject(nil, wPublish, x.topic, x.seq, cRetry))
		return
	}
	x.c.put([]byte("ACK " + string(x.topic) + " " + strconv.FormatUint(uint64(x.seq), 10) + "\r\n"))
}

func (d *Daemon) denied(x trace.Deny) {
	for _, id := range x.IDs {
		c := d.calls[id]
		if c == nil {
			continue
		}
		if x.Full && c.forwards() == 1 && c.c != nil && d.unspoken(c.at, c.c, id) {
			// the only forward was turned away: it has not run and never will
			delete(d.calls, id)
			c.c.calls--
			c.c.put(reject(nil, wPublish, c.topic, c.seq, cRetry))
			continue
		}
		c.sent = unit.Steady() - d.b.resend + 50 // soon again: the duty is moving
	}
}

func (d *Daemon) lead(x trace.Lead) {
	if old := d.leads[x.Group]; x.Epoch <= old.Epoch {
		return // news of leaders never go back
	}
	d.leads[x.Group] = x
	d.again(x.Group)
}
