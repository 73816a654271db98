package edge

import (
	"strconv"

	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/invariant"
	"oxbowdeck/internal/shardapi"
	"oxbowdeck/internal/transport"
)

// flow takes a stretch of a shard's decided order.
func (d *Daemon) flow(l *transport.Link, x shardapi.Flow) {
	d.endLapsed(ids.MonotonicNow())
	for _, it := range x.Items {
		t := d.topics[it.Topic]
		if t != nil && !t.resuming && d.followedLink(it.Topic) == l {
			d.deliverAll(t, it.Pos, it.Client, it.Seq, it.Body)
		}
	}
	for _, o := range x.Outcomes {
		d.outcome(o)
	}
}

// deliverAll hands a decided message to a topic's subscribers.
func (d *Daemon) deliverAll(t *followedTopic, p ids.Position, client ids.Client, seq ids.Seq, body []byte) {
	var line []byte
	t.recent.check(t.name, p, client, seq)
	for _, s := range t.subscribers {
		if s.active && !s.behind && p > s.last {
			if line == nil {
				line = d.render(t.name, p, client, seq, body)
			}
			d.deliver(s, p, line)
		}
	}
	if p > t.last {
		t.last = p
	}
}

// render writes a DELIVER.
func (d *Daemon) render(t ids.Topic, p ids.Position, client ids.Client, seq ids.Seq, body []byte) []byte {
	b := make([]byte, 0, len(t)+len(client)+len(body)+64)
	b = append(append(b, "DELIVER "...), t...)
	b = append(append(b, ' '), ids.Cursor(d.groupOf(t), p)...)
	b = append(append(b, ' '), client...)
	b = strconv.AppendUint(append(b, ' '), uint64(seq), 10)
	b = strconv.AppendInt(append(b, ' '), int64(len(body)), 10)
	b = append(append(b, '\r', '\n'), body...)
	return append(b, '\r', '\n')
}

// deliver hands a message to a subscriber, unless it had it.
func (d *Daemon) deliver(s *subscription, p ids.Position, line []byte) {
	if p <= s.last {
		return
	}
	if p <= s.sent {
		invariant.Violated(invariant.DeliveredInOrder,
			"topic", s.topic.name, "client", s.conn.client, "position", p, "sent", s.sent)
	}
	s.last, s.sent = p, p
	s.conn.send(line)
}
