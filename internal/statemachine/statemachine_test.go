package statemachine

import (
	"errors"
	"io"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/invariant"
	"oxbowdeck/internal/paxos"
)

type testRow struct {
	_    struct{} `cbor:",toarray"`
	Name string
}

type testHeader struct {
	_ struct{} `cbor:",toarray"`
	Progress
	Rows int
}

func writeRows(t *testing.T, names ...string) []byte {
	t.Helper()
	w := NewSnapshotWriter(0)
	w.Write(testHeader{Progress: Progress{Clock: 5, Swept: 4, Slot: 3}, Rows: len(names)})
	for _, name := range names {
		w.Write(testRow{Name: name})
	}
	snapshot, err := w.Bytes()
	if err != nil {
		t.Fatal(err)
	}
	return snapshot
}

// TestSnapshotComesBack: rows come back in their order under their header, and a cut
// anywhere is an error.
func TestSnapshotComesBack(t *testing.T) {
	snapshot := writeRows(t, "a", "b")
	read := func(b []byte) ([]string, testHeader, error) {
		var header testHeader
		var names []string
		r, err := OpenSnapshot(b, &header)
		if err == nil {
			err = ReadRows(r, "row", header.Rows, func(row testRow) error {
				names = append(names, row.Name)
				return nil
			})
		}
		return names, header, err
	}
	names, header, err := read(snapshot)
	if err != nil || len(names) != 2 || names[0] != "a" || names[1] != "b" {
		t.Fatalf("rows %v, %v", names, err)
	}
	if header.Progress != (Progress{Clock: 5, Swept: 4, Slot: 3}) {
		t.Fatalf("header %+v", header)
	}
	for n := range snapshot {
		if _, _, err := read(snapshot[:n]); err == nil {
			t.Fatalf("a snapshot cut at %d of %d was taken", n, len(snapshot))
		}
	}
}

// TestSnapshotErrors: an item that can't be encoded ends the writing, a row that is
// not taken ends the reading, and the end of a snapshot can be told from damage.
func TestSnapshotErrors(t *testing.T) {
	w := NewSnapshotWriter(0)
	w.Write(func() {})
	w.Write(testRow{})
	if _, err := w.Bytes(); err == nil {
		t.Fatal("a function was encoded")
	}
	var header testHeader
	r, err := OpenSnapshot(writeRows(t, "a", "b"), &header)
	if err != nil {
		t.Fatal(err)
	}
	refusal := errors.New("not taken")
	taken := 0
	err = ReadRows(r, "row", header.Rows, func(testRow) error {
		taken++
		return refusal
	})
	if !errors.Is(err, refusal) || taken != 1 {
		t.Fatalf("%d rows taken: %v", taken, err)
	}
	var row testRow
	if err := r.Read("row", &row); err != nil || row.Name != "b" {
		t.Fatalf("%q: %v", row.Name, err)
	}
	if err := r.Read("row", &row); !errors.Is(err, io.EOF) {
		t.Fatalf("after the end: %v", err)
	}
}

// TestProgress: decided time never goes back, and a sweep is due at its interval.
func TestProgress(t *testing.T) {
	var p Progress
	advance := func(slot ids.Slot, stamp ids.Millis) {
		p.Advance(paxos.Decided{Slot: slot, Value: paxos.Value{Stamp: stamp}})
	}
	advance(1, 100)
	advance(2, 50)
	if p.Clock != 100 || p.Slot != 2 {
		t.Fatalf("%+v", p)
	}
	if !p.SweepDue(100) || p.SweepDue(100) {
		t.Fatal("a sweep is due once")
	}
	advance(3, 199)
	if p.SweepDue(100) {
		t.Fatal("a sweep came early")
	}
	advance(4, 200)
	if !p.SweepDue(100) {
		t.Fatal("a sweep did not come")
	}
}

// TestEachCommand: commands come in the agreed order, with a place each, and one that
// can't be decoded leaves its place empty and is reported.
func TestEachCommand(t *testing.T) {
	encode := func(name string) []byte {
		b, err := cbor.Marshal(testRow{Name: name})
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	decided := paxos.Decided{Slot: 7, Value: paxos.Value{Reqs: []paxos.Request{
		{ID: paxos.ID{Origin: "c"}, Data: encode("third")},
		{ID: paxos.ID{Origin: "b"}, Data: []byte{0xff}},
		{ID: paxos.ID{Origin: "a"}, Data: encode("first")},
	}}}
	var names []string
	var places []ids.Position
	invariant.Expect(t, invariant.CommandsRun, func() {
		EachCommand(decided, func(id paxos.ID, pos ids.Position, command *testRow) {
			names = append(names, id.Origin+" "+command.Name)
			places = append(places, pos)
		})
	})
	if len(names) != 2 || names[0] != "a first" || names[1] != "c third" {
		t.Fatalf("commands %v", names)
	}
	if places[0] != ids.MakePosition(7, 0) || places[1] != ids.MakePosition(7, 2) {
		t.Fatalf("places %v", places)
	}
}
