package simulation

import (
	"fmt"

	"oxbowdeck/internal/codec"
	"oxbowdeck/internal/control"
	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/transport"
)

// anyone draws a machine to turn to, of those there ever were.
func (f *Fleet) anyone() *machine { return f.machines[f.rng.Intn(len(f.machines))] }

// ask puts something to a machine's process and hands its answer over, unless it
// is lost on the way or does not come within a second.
func (f *Fleet) ask(m *machine, what func(p *proc, now ids.Millis, answer func(any)), got func(v any, ok bool)) {
	open := true
	end := func(v any, ok bool) {
		if open {
			open = false
			got(v, ok)
		}
	}
	f.after(1000, func() { end(nil, false) })
	p := m.proc
	if p == nil {
		f.after(2, func() { end(nil, false) })
		return
	}
	f.after(f.delay(m), func() {
		p.do(func(now ids.Millis) {
			what(p, now, func(v any) {
				if !f.healed && f.rng.Intn(8) == 0 {
					return // lost on its way
				}
				f.after(f.delay(m), func() { end(v, true) })
			})
		})
	})
}

// client sends configurations, one on top of the other, and reads them.
type client struct {
	f    *Fleet
	no   int
	base int64
	done []Order // acknowledged, to be repeated some time
}

func (o *client) next() {
	f := o.f
	if f.healed && f.now > f.plan.For+6000 {
		return
	}
	switch x := f.rng.Intn(10); {
	case x < 3:
		o.read()
	case x < 5 && len(o.done) > 0:
		f.Repeats++
		o.put(o.done[f.rng.Intn(len(o.done))], 3, true)
	default:
		for range 1 + f.rng.Intn(3) { // several under way at once, some for the same number
			release := o.base + 1 + int64(f.rng.Intn(3))
			body := fmt.Appendf(nil, "%d by %d at %d %d ", release, o.no, f.now, f.rng.Int63())
			body = append(body, make([]byte, f.plan.Body)...)
			order := Order{Client: o.no, Call: f.now, Match: o.base, Release: release, Sum: string(control.Digest(body))}
			o.put(order, 12, false)
		}
	}
	f.after(f.plan.Orders/2+ids.Millis(f.rng.Int63n(int64(f.plan.Orders))), o.next)
}

// put sends an order, again and again to any node, until it has a clear answer.
func (o *client) put(x Order, tries int, again bool) {
	f := o.f
	if tries == 0 {
		if !again {
			f.History = append(f.History, x)
		}
		return
	}
	cmd := control.Command{Verb: control.Put, Match: x.Match, Release: x.Release, Body: []byte(x.Sum), Sum: []byte(x.Sum)}
	if f.plan.Body > 0 {
		cmd.Body = append(cmd.Body, make([]byte, f.plan.Body)...)
	}
	f.ask(f.anyone(), func(p *proc, _ ids.Millis, answer func(any)) {
		p.ctl.Ask(cmd, orderWait, func(r control.Result, ok bool) {
			if !ok {
				r = 0
			}
			answer(r)
		})
	}, func(v any, ok bool) {
		r, _ := v.(control.Result)
		if !ok || r == 0 { // silence, or 503
			f.after(f.between(50, 400), func() { o.put(x, tries-1, again) })
			return
		}
		if again {
			if r != control.Done {
				f.fail("configuration %d was acknowledged, and its repeat answered %d", x.Release, r)
			}
			return
		}
		x.Return, x.Res = f.now, r
		f.History = append(f.History, x)
		if r == control.Done {
			f.Configs++
			f.acked = append(f.acked, high{f.now, ids.Slot(x.Release)})
			o.done = append(o.done, x)
			o.base = max(o.base, x.Release)
		} else {
			o.read()
		}
	})
}

func (o *client) read() {
	f := o.f
	x := Order{Client: o.no, Call: f.now, Read: true}
	type held struct {
		release int64
		sum     string
	}
	f.ask(f.anyone(), func(p *proc, _ ids.Millis, answer func(any)) {
		p.ctl.Ask(control.Command{Verb: control.Read}, orderWait, func(_ control.Result, ok bool) {
			if ok {
				s := p.ctl.State()
				answer(held{s.Release, string(s.Config[:min(16, len(s.Config))])})
			}
		})
	}, func(v any, ok bool) {
		if !ok {
			return
		}
		h := v.(held)
		x.Return, x.Release, x.Sum = f.now, h.release, h.sum
		f.History = append(f.History, x)
		f.Reads++
		o.base = max(o.base, h.release)
	})
}

// worker calls any node about every heartbeat; an acknowledged call is not repeated.
type worker struct {
	f     *Fleet
	id    string
	seq   uint64
	acked ids.Millis
}

func (w *worker) heartbeat() {
	w.seq++
	w.try(w.seq, 6)
	w.f.after(workerHeartbeat+w.f.between(-100, 100), w.heartbeat)
}

func (w *worker) try(seq uint64, tries int) {
	f := w.f
	if tries == 0 || seq != w.seq {
		return
	}
	f.ask(f.anyone(), func(p *proc, now ids.Millis, answer func(any)) {
		worker := controlapi.Worker{ID: w.id, Service: "s", Addr: "10.0.0.1:1", Slots: 3, Seq: seq}
		p.ctl.Heartbeat(now, worker, orderWait, func(ok bool) { answer(ok) })
	}, func(v any, ok bool) {
		if took, _ := v.(bool); ok && took {
			w.acked = f.now
			return
		}
		f.after(f.between(10, 100), func() { w.try(seq, tries-1) })
	})
}

// ended checks that a worker that ends had not been acknowledged lately: the leader
// had its word then, and waits for some heartbeats after it.
func (f *Fleet) ended(id string, s ids.Slot) {
	for _, w := range f.workers {
		if w.id == id && w.acked > 0 && f.now-w.acked < workerHeartbeat*(workerHeartbeats-1) {
			f.fail("instance %d ends %s, which was acknowledged %d ms ago", s, id, f.now-w.acked)
		}
	}
}

// begin lets a process of the data plane begin an incarnation somewhere: the first updates it
// is given hold all that was acknowledged some while before.
func (f *Fleet) begin() {
	if !f.healed || f.now < f.plan.For+4000 {
		f.after(f.between(100, 700), f.begin)
	}
	p := f.anyone().proc
	if p == nil {
		return
	}
	f.incarnations++
	n := controlapi.Node{
		Name:        "store",
		Role:        controlapi.Store,
		Zone:        "z",
		Addr:        ids.Node(fmt.Sprint("store-", f.rng.Intn(4))),
		Disk:        7,
		Incarnation: ids.Incarnation(f.incarnations),
	}
	n.Disk += uint64(len(n.Addr)) + uint64(n.Addr[len(n.Addr)-1])
	first := true
	l := &line{from: p, to: n.Addr, update: func(x controlapi.Update) {
		if !first {
			return
		}
		first = false
		f.Begun++
		for _, a := range f.acked {
			if a.at < f.now-lease-500 && int64(a.slot) > x.Release {
				f.fail("%s begins with configuration %d given by %s, %d was acknowledged %d ms before",
					n.Addr, x.Release, p.m.addr, a.slot, f.now-a.at)
			}
		}
	}}
	b, err := codec.Marshal(controlapi.Enroll{Node: n})
	if err != nil {
		f.fail("encode: %v", err)
	}
	f.after(f.delay(p.m), func() {
		p.do(func(now ids.Millis) { p.ctl.Frame(now, l, transport.Kind(controlapi.KindEnroll), b) })
	})
}
