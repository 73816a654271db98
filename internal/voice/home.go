package voice

import (
	"math/rand/v2"

	"oxbowdeck/internal/lane"
	"oxbowdeck/internal/rule"
	"oxbowdeck/internal/trace"
	"oxbowdeck/internal/unit"
)

// homeless is how long no store served as home before control itself is asked
// for the news.
func (d *Daemon) homeless() unit.Millis { return 5 * d.b.quiet }

// watchHome sees to it that one store brings the news: of this zone if one is
// there that hears control, else of any.
func (d *Daemon) watchHome(now unit.Millis) {
	if d.leaving || d.norm.News == nil {
		return
	}
	if d.home != nil && now-max(d.homeAt, d.toldAt) <= 2*d.b.quiet {
		if d.norm.Lacks() {
			d.hear(now, d.home) // changes did not fit: all of it, from the same
		}
		return
	}
	if d.home != nil {
		d.leaveHome(now, "told_ms", now-d.toldAt)
	}
	var near, far []unit.Node
	for _, n := range d.norm.News.Nodes {
		switch {
		case n.Duty != rule.Store || n.Gone || d.shunned[n.Addr] > now:
		case n.Zone == d.self.Zone:
			near = append(near, n.Addr)
		default:
			far = append(far, n.Addr)
		}
	}
	for _, list := range [][]unit.Node{near, far} {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		for _, a := range list {
			if d.hear(now, d.hub.To(a)) {
				return
			}
			d.shunned[a] = now + 500 // could not be reached a moment ago
		}
	}
}

// leaveHome ends what a store is to this edge, and shuns it for a while.
func (d *Daemon) leaveHome(now unit.Millis, why string, since unit.Millis) {
	peer := d.home.Peer().Node
	unit.Log("home-lost", "peer", peer, why, since)
	d.shunned[peer] = now + 3000
	d.home.Send(trace.KindHear, trace.Hear{Off: true})
	d.home = nil
}

// behindFor is how long other stores may have newer news than the home brought.
const behindFor = unit.Millis(1000)

// compare turns to a store that has had newer news for a while: the home is slow,
// or lost them.
func (d *Daemon) compare(now unit.Millis, l *lane.Link, seq unit.Slot) {
	if d.norm.News == nil || seq <= d.norm.News.Seq {
		return
	}
	if d.newer <= d.norm.News.Seq {
		d.newer, d.newerAt = seq, now
		return
	}
	if now-d.newerAt <= behindFor || now-d.homeAt <= behindFor {
		return
	}
	if d.home != nil && d.home != l {
		d.leaveHome(now, "behind_ms", now-d.newerAt)
	}
	d.hear(now, l)
}

func (d *Daemon) hear(now unit.Millis, l *lane.Link) bool {
	if !l.Send(trace.KindHear, trace.Hear{Seq: d.norm.Seq()}) {
		return false
	}
	d.norm.Asked()
	if d.home != l {
		unit.Log("home", "peer", l.Peer().Node)
	}
	d.home, d.homeAt = l, now
	return true
}

// untold tells whether norm must be asked: to be enrolled, or for the news.
func (d *Daemon) untold(now unit.Millis) bool {
	d.norm.Direct = d.norm.News != nil && now-d.toldAt > d.homeless()
	return d.norm.News == nil || d.norm.Direct || !d.norm.Listed()
}
