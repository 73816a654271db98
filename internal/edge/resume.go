package edge

import (
	"oxbowdeck/internal/shardapi"
	"oxbowdeck/internal/transport"
)

// resumeAt takes up at a replica just followed what the one before left open.
func (d *Daemon) resumeAt(x *shardFeed) {
	for k, s := range d.joins {
		if d.groupOf(s.topic.name) == x.group {
			delete(d.joins, k)
		}
	}
	for _, t := range d.topicsOf(x.group) {
		d.resumeTopic(x.link, t)
	}
	for k, q := range d.censuses {
		if d.groupOf(q.topic) == x.group {
			x.link.Send(shardapi.KindCount, shardapi.Count{Req: k, Topic: q.topic})
		}
	}
	for _, c := range d.calls {
		if c.group == x.group && c.forwards > 0 {
			d.queue(c) // its outcome may have passed by unseen
		}
	}
}

// resumeTopic takes up a topic after the last message that its subscribers were handed,
// and asks for those that wait to join.
func (d *Daemon) resumeTopic(l *transport.Link, t *followedTopic) {
	t.flowing, t.resuming = false, false
	active := false
	for _, s := range t.subscribers {
		active = active || s.active && !s.behind
	}
	if active {
		d.requestResume(l, t)
	}
	for _, s := range t.subscribers {
		if !s.active || s.behind {
			d.requestJoin(s)
		}
	}
}

// requestResume asks for what a topic's subscribers lack.
func (d *Daemon) requestResume(l *transport.Link, t *followedTopic) {
	t.flowing = true
	d.lastRequest++
	t.resumeRequest = d.lastRequest
	l.Send(shardapi.KindWatch, shardapi.Watch{
		Req: t.resumeRequest, Topic: t.name, From: t.last, Has: true, Keeps: t.retained(),
	})
}

// resume takes the answer to a topic's Watch at another replica than before, or a piece of it.
func (d *Daemon) resume(t *followedTopic, j shardapi.Joined) {
	if j.Expired {
		for c := range t.subscribers {
			c.end() // it lacks what no replica has: the client takes it up anew
		}
		return
	}
	for _, it := range j.Items {
		d.deliverAll(t, it.Pos, it.Client, it.Seq, it.Body)
	}
	if j.End > t.last {
		t.last = j.End
	}
	if t.resuming = j.Piece; t.resuming {
		d.requestResume(d.followedLink(t.name), t)
	}
}
