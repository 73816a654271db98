package topic

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"oxbowdeck/internal/ids"
)

// fill has so many other clients publish once each.
func (p *play) fill(t *testing.T, at ids.Millis, clients int) {
	t.Helper()
	var commands []Command
	for i := range clients {
		command := pub(ids.Client(fmt.Sprintf("other%d.%d", at, i)), 1, 500)
		command.AsOf = at
		commands = append(commands, command)
	}
	p.run(t, at, commands...)
}

// TestForgottenNumbersStayRefused guards against a copy of a publish that arrives after the numbers
// of its client were let go of, for want of room, being accepted a second time or out of order.
func TestForgottenNumbersStayRefused(t *testing.T) {
	p := &play{State: New(small)}
	p.run(t, 0, pub("ann", 5, 500), pub("ann", 6, 500))
	p.fill(t, 1, 2*small.Publishers)
	late := 10 * small.Resend
	p.run(t, late)
	if p.Forgotten().Publishers == 0 {
		t.Fatal("a full table was not shortened")
	}
	for _, asOf := range []ids.Millis{0, 1, late} { // whenever it was written
		for _, seq := range []ids.Seq{3, 5, 6} {
			command := pub("ann", seq, 500)
			command.AsOf = asOf
			if p.run(t, late+1, command); p.verdicts[0].Accepted() {
				t.Errorf("number %d of a client that had 5 and 6 accepted was taken as new", seq)
			}
		}
	}
	if p.run(t, late+2, pub("ann", 7, 500)); p.verdicts[0] != Fresh {
		t.Errorf("a higher number of a client that was forgotten has verdict %d", p.verdicts[0])
	}
}

// TestFenceSparesWhatIsNew: once clients' highest numbers are let go of as well, what may be as old
// as those is turned away, and nothing that was written since. Both go with a snapshot.
func TestFenceSparesWhatIsNew(t *testing.T) {
	bounds := small
	bounds.Late, bounds.Clients = 300, 10
	p := &play{State: New(bounds)}
	p.run(t, 0, pub("ann", 6, 500))
	p.run(t, 1, pub("eve", 6, 500))
	p.fill(t, 2, 20)
	p.run(t, 10*bounds.Resend)
	p.fill(t, 10*bounds.Resend, 20)
	p.run(t, 20*bounds.Resend)
	if _, known := p.forgottenClients.marks["ann"]; known || p.Clients() == 0 {
		t.Fatalf("ann is remembered: %v, as are %d clients", known, p.Clients())
	}
	saved, err := p.Save()
	if err != nil {
		t.Fatal(err)
	}
	for name, state := range map[string]*State{"as it was": p.State, "from a snapshot": New(bounds)} {
		if err := state.Load(saved); err != nil {
			t.Fatal(err)
		}
		again, _ := state.Save()
		if string(again) != string(saved) {
			t.Errorf("%s: saved otherwise", name)
		}
		q := &play{State: state, slot: p.slot}
		remembered := ids.Client(fmt.Sprintf("other%d.19", 10*bounds.Resend))
		old, written := 10*bounds.Resend+bounds.Late, 20*bounds.Resend
		for _, c := range []struct {
			client ids.Client
			seq    ids.Seq
			asOf   ids.Millis
			want   Verdict
		}{
			{"ann", 6, 1, TooOld},
			{"ann", 5, old, TooOld},
			{"ann", 7, old, TooOld},
			{"ann", 7, written, Fresh},
			{"ann", 6, old, Refused},
			{"zoe", 1, 0, Refused}, // an edge of an earlier version
			{"zoe", 1, written, Fresh},
			{remembered, 1, written, Refused},
			{remembered, 2, old, Fresh},
		} {
			command := pub(c.client, c.seq, 500)
			command.AsOf = c.asOf
			if q.run(t, written+1, command); q.verdicts[0] != c.want {
				t.Errorf("%s: %s %d as of %d: verdict %d, want %d", name, c.client, c.seq, c.asOf, q.verdicts[0], c.want)
			}
		}
	}
}

// TestSmallTableAcceptsNoMore compares a shard with a small table and one that forgets nobody, over
// clients whose copies come at any time: what the large one refuses the small one never accepts, and
// what was written lately it accepts as well. Where all clients are remembered, so it is if copies
// were written just now.
func TestSmallTableAcceptsNoMore(t *testing.T) {
	for seed := range uint64(20) {
		everyClient := seed%2 == 0
		random := rand.New(rand.NewPCG(seed, 42))
		bounds := small
		bounds.Late, bounds.SweepMs = 300, 20
		if !everyClient {
			bounds.Clients = 10
		}
		large := bounds
		large.Publishers = 1 << 30
		few, all := &play{State: New(bounds)}, &play{State: New(large)}
		var written []Command
		last := map[ids.Client]ids.Seq{}
		for now := ids.Millis(0); now < 60*bounds.Resend; now += ids.Millis(random.IntN(200)) {
			client := ids.Client(fmt.Sprint("c", random.IntN(40)))
			last[client] += ids.Seq(1 + random.IntN(3))
			command := pub(client, last[client], 500)
			command.AsOf = max(1, now-ids.Millis(random.IntN(100)))
			written = append(written, command)
			isNew := random.IntN(3) == 0
			if !isNew {
				asOf := command.AsOf
				command = written[random.IntN(len(written))]
				if everyClient && random.IntN(2) == 0 {
					command.AsOf = asOf
				}
			}
			few.run(t, now, command)
			all.run(t, now, command)
			if few.verdicts[0].Accepted() && !all.verdicts[0].Accepted() {
				t.Fatalf("seed %d at %d: %s %d as of %d is accepted, and not where nobody is forgotten",
					seed, now, command.Client, command.Seq, command.AsOf)
			}
			if few.verdicts[0] == Fresh && all.verdicts[0] == Again {
				t.Fatalf("seed %d at %d: %s %d as of %d is accepted twice", seed, now, command.Client, command.Seq, command.AsOf)
			}
			if isNew && few.verdicts[0] != Fresh {
				t.Fatalf("seed %d at %d: new %s %d as of %d has verdict %d",
					seed, now, command.Client, command.Seq, command.AsOf, few.verdicts[0])
			}
		}
		if forgotten := few.Forgotten(); forgotten.Publishers == 0 || !everyClient && forgotten.Clients == 0 {
			t.Fatalf("seed %d forgot %+v", seed, forgotten)
		}
	}
}

// TestMarkIsTheHighest: a client that is forgotten on one topic after another is refused what is
// below the highest of all.
func TestMarkIsTheHighest(t *testing.T) {
	f := newForgottenClients()
	f.add("ann", &publisher{High: 9, At: 100})
	f.add("ann", &publisher{High: 4, At: 200})
	if got := f.marks["ann"]; got.High != 9 || got.At != 200 {
		t.Errorf("of 9 at 100 and 4 at 200 there is left %d at %d", got.High, got.At)
	}
}
