package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/storage"
)

// director brings the troubles of a plan about.
type director struct {
	deployment *deployment
	history    *History
	workers    *workerFleet // of a queue, else nil
}

// play brings about all troubles of a plan, each beside the others, and returns when the last
// has ended.
func (x *director) play(ctx context.Context, plan Plan) {
	var all sync.WaitGroup
	for _, t := range plan.Troubles {
		select {
		case <-time.After(t.At - x.history.now()):
		case <-ctx.Done():
			all.Wait()
			return
		}
		all.Go(func() {
			x.history.note("trouble %s", t)
			x.history.count("trouble " + string(t.Kind))
			if !plannedWork[t.Kind] {
				defer x.history.calendar.begin()()
			}
			x.bring(t)
			x.history.note("over    %s", t)
		})
	}
	all.Wait()
}

// bring brings one trouble about and waits for its end.
func (x *director) bring(t Trouble) {
	if t.Class == "" {
		x.bringEverywhere(t)
		return
	}
	m := x.deployment.at(t.Class, t.Place)
	switch t.Kind {
	case DiskFull, DiskStall, DiskSlow:
		x.diskFault(m, t)
	case Cut, CutOneWay, Split, Delay, Stall, Truncate, Reset, Flap, LoseAnswers, Mute:
		x.network(m, t)
	case Wipe, Replace, Retire, Add:
		x.change(m, t)
	default:
		x.strike(m, t)
	}
}

// bringEverywhere is for troubles that strike no process of one class.
func (x *director) bringEverywhere(t Trouble) {
	switch t.Kind {
	case KillAll:
		x.together(x.deployment.all(), t.For)
		return
	case FreezeAll:
		x.standStill(x.deployment.all(), t.For)
		return
	}
	if t.Kind == Blackout {
		x.blackout(t)
		return
	}
	x.workers.trouble(t)
}

// blackout kills everything at once, right after work was accepted, and takes as many disks of
// each class away as are borne.
func (x *director) blackout(t Trouble) {
	d := x.deployment
	machines := d.all()
	var all sync.WaitGroup
	for _, m := range machines {
		all.Go(func() { d.down(m, false) })
	}
	all.Wait()
	for _, class := range counted {
		var standing []*machine
		for _, m := range d.machinesOf(class) {
			if !m.gone {
				standing = append(standing, m)
			}
		}
		rand.Shuffle(len(standing), func(i, j int) { standing[i], standing[j] = standing[j], standing[i] })
		for _, m := range standing[:d.config.Shape.Losses()] {
			x.history.note("the disk of %s is lost", m.name())
			d.wipe(m)
		}
	}
	time.Sleep(t.For)
	rand.Shuffle(len(machines), func(i, j int) { machines[i], machines[j] = machines[j], machines[i] })
	for _, m := range machines {
		d.up(m)
	}
}

// together kills processes at once and starts them in any order afterwards.
func (x *director) together(machines []*machine, pause time.Duration) {
	var all sync.WaitGroup
	for _, m := range machines {
		all.Go(func() { x.deployment.down(m, false) })
	}
	all.Wait()
	time.Sleep(pause)
	rand.Shuffle(len(machines), func(i, j int) { machines[i], machines[j] = machines[j], machines[i] })
	for _, m := range machines {
		x.deployment.up(m)
	}
}

// standStill stops processes and lets them go on, in any order, after a while.
func (x *director) standStill(machines []*machine, pause time.Duration) {
	for _, m := range machines {
		m.signal(syscall.SIGSTOP)
	}
	time.Sleep(pause)
	rand.Shuffle(len(machines), func(i, j int) { machines[i], machines[j] = machines[j], machines[i] })
	for _, m := range machines {
		m.signal(syscall.SIGCONT)
	}
}

// startWindow is within what time a process that starts is killed.
const startWindow = 150 * time.Millisecond

// strike is what signals do to a process.
func (x *director) strike(m *machine, t Trouble) {
	d := x.deployment
	switch t.Kind {
	case Kill:
		d.down(m, false)
		time.Sleep(t.For)
		d.up(m)
	case KillStarting:
		for range 3 {
			d.down(m, false)
			time.Sleep(t.For / 3)
			d.up(m)
			time.Sleep(rand.N(startWindow))
		}
		d.down(m, false)
		d.up(m)
	case KillStopping:
		m.signal(syscall.SIGTERM)
		x.killStopping(m, t)
	case Freeze:
		m.signal(syscall.SIGSTOP)
		time.Sleep(t.For)
		m.signal(syscall.SIGCONT)
	case Terminate:
		d.down(m, true)
		time.Sleep(t.For)
		d.up(m)
	case Hangup:
		x.hangup(m)
	case KillHalf:
		x.together(x.half(m.class), t.For)
	case FreezeHalf:
		x.standStill(x.half(m.class), t.For)
	}
}

// half gives half of the machines of a class.
func (x *director) half(class Class) []*machine {
	list := x.deployment.machinesOf(class)
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:len(list)/2]
}

// killStopping kills a process that was told to stop, in the middle of that.
func (x *director) killStopping(m *machine, t Trouble) {
	m.mu.Lock()
	m.stops++ // it may end by itself from now on
	m.mu.Unlock()
	time.Sleep(rand.N(t.For))
	x.deployment.down(m, false)
	x.deployment.up(m)
	x.deployment.up(m)
}

// hangup changes the seeds of a process while it runs.
func (x *director) hangup(m *machine) {
	seeds := x.deployment.controlAddresses()
	rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	x.deployment.setSeeds(m, seeds[:1+rand.IntN(len(seeds))])
	m.signal(syscall.SIGHUP)
}

// diskFault has the disk of a process refuse, stall or be slow.
func (x *director) diskFault(m *machine, t Trouble) {
	m.mu.Lock()
	path := faultPath(m.process)
	m.mu.Unlock()
	name := map[Kind]string{
		DiskFull: storage.FaultFull, DiskStall: storage.FaultStall, DiskSlow: storage.FaultSlow,
	}[t.Kind]
	os.WriteFile(path, []byte(name), 0o644)
	time.Sleep(t.For)
	os.Remove(path)
}

// network is what the relay does to what one process sends and gets.
func (x *director) network(m *machine, t Trouble) {
	node := m.address()
	either := func(from, to ids.Node) bool { return from == node || to == node }
	relay := x.deployment.relay
	var c condition
	switch t.Kind {
	case Cut:
		c = when(either, effect{cut: true})
	case CutOneWay:
		c = when(func(from, _ ids.Node) bool { return from == node }, effect{cut: true})
	case LoseAnswers:
		c = when(func(_, to ids.Node) bool { return to == node }, effect{cut: true})
		defer relay.reset(either) // what was held up is lost
	case Split:
		c = x.split(m.class)
	case Delay:
		c = when(func(from, _ ids.Node) bool { return from == node }, effect{delay: rand.N(300 * time.Millisecond)})
	case Stall:
		c = when(either, effect{cut: true})
	case Truncate:
		c = when(either, effect{truncate: true})
	case Mute:
		c = when(either, effect{mute: true})
		relay.reset(either)
	case Reset, Flap:
		for end := time.Now().Add(t.For); time.Now().Before(end); time.Sleep(2 * tenth) {
			relay.reset(either)
		}
		return
	}
	lift := relay.impose(c)
	time.Sleep(t.For)
	lift()
}

// when is an effect on the bytes between some processes.
func when(which func(from, to ids.Node) bool, e effect) condition {
	return func(from, to ids.Node) effect {
		if which(from, to) {
			return e
		}
		return effect{}
	}
}

// split cuts half of a class from its other half; all others reach both.
func (x *director) split(class Class) condition {
	side := map[ids.Node]int{}
	for i, m := range x.deployment.machinesOf(class) {
		side[m.address()] = 1 + i%2
	}
	return when(func(from, to ids.Node) bool {
		a, b := side[from], side[to]
		return a > 0 && b > 0 && a != b
	}, effect{cut: true})
}

// change is what is done to the machines of a deployment.
func (x *director) change(m *machine, t Trouble) {
	d := x.deployment
	switch t.Kind {
	case Wipe:
		d.down(m, false)
		d.wipe(m)
		time.Sleep(t.For)
		d.up(m)
	case Replace:
		d.down(m, rand.IntN(2) == 0)
		d.replace(m)
		time.Sleep(t.For)
		d.up(m)
	case Add:
		d.add(t.Class, m.zone)
	case Retire:
		x.retire(m, t)
	}
}

// How long a store is given to be emptied, how often that is ordered until the order is taken,
// and how often it is asked: the platform removes a machine at once.
const (
	retireTimeout = 60 * time.Second
	retireAgain   = 300 * time.Millisecond
	retirePoll    = 15 * time.Millisecond
)

// retire adds a store, has another emptied, and takes it away once that is done. One that is
// not emptied in time stays.
func (x *director) retire(m *machine, t Trouble) {
	d := x.deployment
	d.add(Store, m.zone)
	time.Sleep(t.For)
	name := m.name()
	ordered := time.Time{}
	for end := time.Now().Add(retireTimeout); time.Now().Before(end); time.Sleep(retirePoll) {
		if m.name() != name || m.isGone() {
			return // it was replaced or taken away meanwhile
		}
		if time.Since(ordered) >= retireAgain { // an order may be repeated
			ordered = time.Now()
			x.orderRetirement(name)
		}
		if !x.retired(name) {
			continue
		}
		d.down(m, false)
		m.mu.Lock()
		m.gone = true
		m.mu.Unlock()
		x.history.count("stores retired")
		return
	}
	x.history.count("stores not retired in time")
	if d.config.Shape.Planned {
		x.history.violate("RETIRE", "%s is not emptied within %v, though nothing is in trouble", name, retireTimeout)
	}
}

// orderRetirement orders a retirement at one control process or another.
func (x *director) orderRetirement(name string) {
	call(http.MethodPost, x.retirement(name), nil, []byte(`{"ramp_s":1}`))
}

// retired asks one control process or another whether a retirement is completed.
func (x *director) retired(name string) bool {
	answer := call(http.MethodGet, x.retirement(name), nil, nil)
	return answer.status == http.StatusOK && answer.has(`"completed"`)
}

// retirement is where a retirement is ordered and asked for.
func (x *director) retirement(name string) string {
	address := x.deployment.controlAddresses()
	return "http://" + address[rand.IntN(len(address))] + "/v1/retire/" + name
}
