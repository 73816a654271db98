package queue

import (
	"bytes"
	"encoding/hex"
	"errors"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
	"oxbowdeck/internal/quota"
	"oxbowdeck/internal/statemachine"
)

// reservation takes tokens out of the account of a tenant.
func reservation(tenant ids.Tenant, number uint64, want int) *quota.Reserve {
	return &quota.Reserve{
		Tenant:   tenant,
		Ballot:   ids.MakeBallot(1, 1),
		Number:   number,
		At:       1000,
		Want:     want,
		Rate:     10,
		Capacity: 30,
	}
}

// reserve applies a reservation and gives the tokens it got.
func (x *table) reserve(t *testing.T, at ids.Millis, r *quota.Reserve) (granted int) {
	t.Helper()
	data, err := cbor.Marshal(Command{Verb: Reserve, Reserve: r})
	if err != nil {
		t.Fatal(err)
	}
	x.slot++
	value := paxos.Value{Stamp: at, Reqs: []paxos.Request{{ID: paxos.ID{Origin: "quota", Seq: 1}, Data: data}}}
	x.Apply(paxos.Decided{Slot: x.slot, Value: value}, func(e Event) {
		if e.Verb == Reserve && *e.Reserve == *r {
			granted = e.Granted
		}
	})
	return granted
}

// TestTenantCommands: a command that concerns a tenant comes back with the tenant, and its
// bytes keep their form; cut bytes, and those of neither form, are an error.
func TestTenantCommands(t *testing.T) {
	for _, c := range []struct {
		name    string
		command Command
		want    string
	}{
		{"a tenant's message", Command{Verb: Accept, Msg: &Message{ID: "m", Tenant: "t"}},
			"a3010102" + "8c616d6060606060f4f4f6000000" + "036174"},
		{"a reservation", Command{Verb: Reserve, Reserve: reservation("t", 2, 3)},
			"a2010404" + "a7016174021a000100010302041903e8050307fb402400000000000008fb403e000000000000"},
	} {
		data, err := cbor.Marshal(c.command)
		if err != nil {
			t.Fatal(err)
		}
		if got := hex.EncodeToString(data); got != c.want {
			t.Errorf("%s is %s, want %s", c.name, got, c.want)
		}
		var back Command
		if err := cbor.Unmarshal(data, &back); err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		again, _ := cbor.Marshal(back)
		if !bytes.Equal(again, data) {
			t.Errorf("%s comes back as %x", c.name, again)
		}
		for n := range data {
			if cbor.Unmarshal(data[:n], &back) == nil {
				t.Errorf("%s cut at %d was taken", c.name, n)
			}
		}
	}
	for _, bad := range []string{"a1026178", "6161", "83010203", "a103f4"} {
		data, _ := hex.DecodeString(bad)
		var command Command
		if cbor.Unmarshal(data, &command) == nil {
			t.Errorf("%s was taken for %+v", bad, command)
		}
	}
	var empty Command
	if empty.UnmarshalCBOR(nil) == nil {
		t.Error("no bytes were taken for a command")
	}
}

// TestVerbOf: the first bytes of either form tell the verb; what is no command has none.
func TestVerbOf(t *testing.T) {
	for _, command := range []Command{
		{Verb: Accept, Msg: &Message{ID: "m", Body: make([]byte, 1<<16)}},
		{Verb: Accept, Msg: &Message{ID: "m", Tenant: "t"}},
		{Verb: Begin, Attempts: make([]Attempt, 30), By: "here", Incarnation: 1},
		{Verb: End, Attempts: []Attempt{{Pos: 1, Outcome: Done}}},
		{Verb: Reserve, Reserve: reservation("t", 2, 3)},
	} {
		data, err := cbor.Marshal(command)
		if err != nil {
			t.Fatal(err)
		}
		if verb, ok := VerbOf(data); !ok || verb != command.Verb {
			t.Errorf("verb %d is read as %d, %v", command.Verb, verb, ok)
		}
	}
	for _, bad := range []string{"", "85", "8518ff", "a1", "a101", "a10203", "a1011818", "6103", "03"} {
		data, _ := hex.DecodeString(bad)
		if verb, ok := VerbOf(data); ok {
			t.Errorf("%s has the verb %d", bad, verb)
		}
	}
}

// BenchmarkVerbOf reads the verb of a large message, which a full leader does for each that it
// refuses; the whole command beside it.
func BenchmarkVerbOf(b *testing.B) {
	data, _ := cbor.Marshal(Command{Verb: Accept, Msg: &Message{ID: "m", Body: make([]byte, 1<<16)}})
	b.Run("verb", func(b *testing.B) {
		for b.Loop() {
			VerbOf(data)
		}
	})
	b.Run("command", func(b *testing.B) {
		for b.Loop() {
			var command Command
			cbor.Unmarshal(data, &command)
		}
	})
}

// TestSequencesOfTenants: two tenants with one X-Sequence-Key have two sequences, and the
// messages of nobody a third; each keeps its own order, also after a load.
func TestSequencesOfTenants(t *testing.T) {
	x := &table{State: New(Bounds{Report: 5000, Sweep: 500})}
	rows := map[string]*Row{}
	for i, m := range []Message{
		{ID: "nobody-1"}, {ID: "t-1", Tenant: "t"}, {ID: "u-1", Tenant: "u"},
		{ID: "nobody-2"}, {ID: "t-2", Tenant: "t"}, {ID: "u-2", Tenant: "u"},
	} {
		m.Key, m.Ordered, m.Hold = "k", true, 90000
		rows[m.ID] = x.accept(ids.Millis(1000+i), m)
	}
	check := func(what string) {
		t.Helper()
		for id, row := range rows {
			if want := id[len(id)-1] == '1'; x.First(x.Row(row.Pos)) != want {
				t.Errorf("%s: %s is the first of its sequence: %v", what, id, !want)
			}
		}
	}
	check("as accepted")
	saved, err := x.Save()
	if err != nil {
		t.Fatal(err)
	}
	if err := x.Load(saved); err != nil {
		t.Fatal(err)
	}
	check("after a load")
	x.begin(1100, rows["t-1"], 0)
	x.end(1200, rows["t-1"], 1, Done)
	if !x.begin(1300, rows["t-2"], 0) || x.begin(1300, rows["u-2"], 0) || x.begin(1300, rows["nobody-2"], 0) {
		t.Error("the end of one tenant's message lets others go on, or not its own next")
	}
	unkeyed := x.accept(1400, Message{ID: "free", Ordered: true, Tenant: "t", Hold: 90000})
	if !x.begin(1400, unkeyed, 0) {
		t.Error("a message without a key waits for others of its tenant")
	}
}

// TestNamesOfTenants: an id is one message for each tenant, and one that is nobody's; it is
// taken once of each, and forgotten with its tenant.
func TestNamesOfTenants(t *testing.T) {
	x := &table{State: New(Bounds{Report: 1000, Sweep: 100})}
	for _, tenant := range []ids.Tenant{"", "t", "u/v"} {
		row := x.accept(1000, Message{ID: "m", Tenant: tenant, Hold: 90000, Body: []byte(tenant)})
		if row == nil || row != x.Find(Name(tenant, "m")) || row.Msg.Tenant != tenant || !x.ok {
			t.Fatalf("the message of tenant %q is %+v", tenant, row)
		}
		if again := x.accept(1001, Message{ID: "m", Tenant: tenant}); again == nil || x.ok {
			t.Errorf("a message of tenant %q was taken twice", tenant)
		}
		if id := IDOf(row.Msg.Name()); id != "m" {
			t.Errorf("the id of tenant %q's message is %q", tenant, id)
		}
	}
	row := x.Find("t/m")
	x.end(1100, row, 0, Done)
	if row = x.Find("t/m"); row.Msg.Tenant != "t" || row.Outcome != Done || x.Find("m").Outcome != Open {
		t.Errorf("after its end: %+v", row)
	}
	x.accept(2500, Message{ID: "later", Hold: 90000})
	if x.Find("t/m") != nil || x.Find("u/v/m") == nil || x.Find("m") == nil {
		t.Error("another tenant's message was forgotten, or not the one that ended")
	}
}

// TestSnapshotOfTenants: whose the messages are, and the accounts, come back; a snapshot
// that is cut, or names what is not there, is not taken and changes nothing.
func TestSnapshotOfTenants(t *testing.T) {
	x := sampleState()
	x.accept(3400, Message{ID: "owned", Tenant: "t", Hold: 90000, Body: []byte("bytes")})
	plain := x.Bytes()
	if got := x.reserve(t, 3400, reservation("t", 1, 20)); got != 20 {
		t.Fatalf("%d tokens of 30 reserved, want 20", got)
	}
	if got := x.reserve(t, 3400, reservation("t", 1, 20)); got != 0 {
		t.Errorf("a repeated reservation got %d tokens", got)
	}
	saved, err := x.Save()
	if err != nil {
		t.Fatal(err)
	}
	y := &table{State: New(x.Bounds), slot: x.slot}
	if err := y.Load(saved); err != nil {
		t.Fatal(err)
	}
	if row := y.Find("t/owned"); row == nil || row.Msg.Tenant != "t" || y.Bytes() != plain {
		t.Errorf("loaded as %+v, %d bytes, want %d", row, y.Bytes(), plain)
	}
	if got := y.reserve(t, 3400, reservation("t", 2, 20)); got != 10 {
		t.Errorf("%d tokens of the 10 that are left", got)
	}
	again, err := y.Save()
	if err != nil || bytes.Equal(again, saved) {
		t.Errorf("an account that changed is saved alike: %v", err)
	}
	rowsEnd := len(saved) - len(tenantPart(t, x))
	for n := range saved {
		if z := New(x.Bounds); n != rowsEnd && z.Load(saved[:n]) == nil {
			t.Errorf("a snapshot cut at %d of %d was taken", n, len(saved))
		}
	}
	w := statemachine.NewSnapshotWriter(0)
	w.Write(tenantHeader{Messages: 1})
	w.Write(tenantRow{Pos: 1, Tenant: "t"})
	strange, _ := w.Bytes()
	if err := y.Load(append(bytes.Clone(saved[:rowsEnd]), strange...)); !errors.Is(err, errNoRow) {
		t.Errorf("a tenant of no message: %v", err)
	}
	if y.Find("t/owned") == nil {
		t.Error("a snapshot that was not taken changed the state")
	}
}

// tenantPart is what follows the rows in a state's snapshot.
func tenantPart(t *testing.T, x *table) []byte {
	t.Helper()
	w := statemachine.NewSnapshotWriter(0)
	w.Write(tenantHeader{Messages: 1, Accounts: 1})
	w.Write(tenantRow{Pos: x.Find("t/owned").Pos, Tenant: "t"})
	x.accounts.Save(w)
	part, err := w.Bytes()
	if err != nil {
		t.Fatal(err)
	}
	return part
}
