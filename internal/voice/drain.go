package voice

import (
	"math/rand/v2"
	"time"

	"oxbowdeck/internal/rule"
	"oxbowdeck/internal/trace"
	"oxbowdeck/internal/unit"
)

// Stop drains: clients are sent to other edges, their calls are answered, and
// the process ends within the drain time.
func (d *Daemon) Stop() {
	until := time.Now().Add(time.Duration(d.set.DrainMs) * time.Millisecond * 8 / 10)
	d.actor.Do(func() {
		d.leaving, d.home.Ends = true, true
		d.ready.Set(false)
	})
	var near, far []string
	ask := make(chan struct{})
	d.actor.Do(func() {
		for _, n := range d.norm0().Nodes {
			if n.Duty != rule.Edge || n.Gone || n.Addr == d.self.Addr {
				continue
			}
			if n.Zone == d.self.Zone {
				near = append(near, n.Front)
			} else {
				far = append(far, n.Front)
			}
		}
		close(ask)
	})
	<-ask
	if len(near) == 0 {
		near = far
	}
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	turn := 0
	var told time.Time
	for began := time.Now(); time.Now().Before(until); time.Sleep(40 * time.Millisecond) {
		left := make(chan int, 1)
		d.actor.Do(func() {
			n := 0
			// told until the news show it, as long as this process lives
			if d.norm.Listed() && time.Since(told) > 200*time.Millisecond {
				told = time.Now()
				d.norm.Tell(rule.KindLeave, rule.Leave{Addr: d.self.Addr, Life: d.self.Life, By: d.self.Addr})
			}
			for _, c := range d.conns {
				if !c.sentOn && (c.calls <= 0 || time.Since(began) > 400*time.Millisecond) {
					c.sentOn = true
					if len(near) == 0 {
						c.endAfter()
					} else {
						c.put([]byte("REDIRECT " + near[turn%len(near)] + "\r\n"))
						turn++
					}
				}
				n++
			}
			if d.norm.Listed() && time.Since(began) < 600*time.Millisecond {
				n++
			}
			left <- n + len(d.calls)
		})
		if <-left == 0 {
			break
		}
	}
	d.actor.Do(func() {
		for _, c := range d.conns {
			c.end()
		}
		for _, x := range d.ties {
			if x.cur != nil {
				x.cur.Send(trace.KindBye, trace.Bye{Groups: []unit.Group{x.group}})
			}
		}
	})
	time.Sleep(60 * time.Millisecond)
	d.ln.Close()
	d.ready.Close()
	d.kin.Close()
	d.hub.Close(200 * time.Millisecond)
	d.actor.Stop()
}
