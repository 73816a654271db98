package voice

import (
	"math/rand/v2"
	"sort"

	"oxbowdeck/internal/accord"
	"oxbowdeck/internal/lane"
	"oxbowdeck/internal/rule"
	"oxbowdeck/internal/trace"
	"oxbowdeck/internal/unit"
)

func (d *Daemon) down(l *lane.Link) {
	d.actor.Do(func() {
		now := unit.Steady()
		if l == d.try {
			d.try = nil
			d.avoid[l.Peer().Node] = now + 500
			if d.cur == nil {
				d.pick(now)
			}
		}
		if l == d.cur {
			d.lose(now) // its own zone's replica is asked first again: a reset is no death
		}
	})
}

// lose turns from the replica followed to another.
func (d *Daemon) lose(now unit.Millis) {
	unit.Log("replica-lost", "peer", d.cur.Peer().Node)
	d.cur, d.lostAt = nil, now
	for _, t := range d.topics {
		t.on = false
	}
	for k, x := range d.counts {
		delete(d.counts, k)
		x.c.put(reject(nil, wCensus, x.topic, 0, cRetry))
	}
	d.tryAt = 0
	d.pick(now)
}

// replicas lists the stores that carry the shards: the own zone's first.
func (d *Daemon) replicas() []rule.Node {
	n := d.norm0()
	if len(n.Shards) == 0 {
		return nil
	}
	var out []rule.Node
	for _, list := range [][]accord.Member{n.Shards[0].Voters, n.Shards[0].Learners} {
		for _, m := range list {
			if x := n.Find(m.Node); x != nil && !x.Gone {
				out = append(out, *x)
			}
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	sort.SliceStable(out, func(i, j int) bool { return out[i].Zone == d.self.Zone && out[j].Zone != d.self.Zone })
	return out
}

// carries tells whether a link's peer is still placed to carry the shards.
func (d *Daemon) carries(l *lane.Link) bool {
	for _, r := range d.replicas() {
		if r.Addr == l.Peer().Node {
			return true
		}
	}
	return false
}

// pick asks the best replica not just found wanting whether it can be followed.
func (d *Daemon) pick(now unit.Millis) {
	if d.try != nil && now-d.tryAt < 700 {
		return
	}
	if d.try != nil {
		d.avoid[d.try.Peer().Node] = now + 1000
		if d.try != d.cur {
			d.try.Drop()
		}
		d.try = nil
	}
	list := d.replicas()
	for _, any := range []bool{false, true} {
		for _, r := range list {
			if d.cur != nil && (r.Addr == d.cur.Peer().Node || r.Zone != d.self.Zone && d.stale < 2 && d.carries(d.cur)) {
				continue
			}
			if any || d.avoid[r.Addr] <= now {
				l := d.hub.To(r.Addr)
				if !l.Send(trace.KindFollow, trace.Follow{Edge: d.self.Addr, Life: d.self.Life}) {
					continue // could not be reached a moment ago
				}
				d.try, d.tryAt = l, now
				return
			}
		}
		if d.cur != nil {
			return
		}
	}
}

func (d *Daemon) followed(now unit.Millis, l *lane.Link, x trace.Followed) {
	d.try = nil
	if !x.Ready {
		d.avoid[l.Peer().Node] = now + 250
		return
	}
	if d.cur != nil {
		d.cur.Send(trace.KindBye, trace.Bye{})
	}
	d.cur, d.heardAt, d.stale = l, now, 0
	unit.Log("following", "peer", l.Peer().Node)
	clear(d.reqs)
	for _, t := range d.topics {
		t.on = false
		active, keeps := false, false
		for _, s := range t.subs {
			active = active || s.active
			keeps = keeps || s.keeps
		}
		if active {
			t.on = true
			d.reqSeq++
			l.Send(trace.KindWatch, trace.Watch{Req: d.reqSeq, Topic: t.name, From: t.last, Has: true, Keeps: keeps})
		}
		for _, s := range t.subs {
			if !s.active {
				d.ask(s)
			}
		}
	}
	for _, c := range d.calls {
		if c.tries > 0 {
			d.queue(c) // its outcome may have passed by unseen
		}
	}
}
