package requestlog

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"oxbowdeck/internal/ids"
)

// TestRingKeepsTheNewest: the ring is bounded, and gives what it has in order.
func TestRingKeepsTheNewest(t *testing.T) {
	var k ring
	for i := range ringLength + 10 {
		k.add(Record{Number: uint32(i)})
	}
	list := k.list()
	if len(list) != ringLength || list[0].Number != 10 || list[ringLength-1].Number != ringLength+9 {
		t.Fatalf("%d records, from %d to %d", len(list), list[0].Number, list[len(list)-1].Number)
	}
}

// example is a record with a value in each field, by which it is seen that none gets lost.
func example() Record {
	r := Record{
		At: 1764670000123, Stage: StageEdge, ID: "ann/17", Node: "127.0.8.151:7122", Topic: "room.1", Group: 3,
		Epoch: 9, Release: 4, Position: 77, Number: 2, Peer: "127.0.8.101:7121", Outcome: "UNKNOWN", Reason: "late",
	}
	r.Steps.Set(StepForward, 0)
	r.Steps.Set(StepOutcome, 1300)
	return r
}

// TestTextKeepsEverything: a record is read as it was written, and a torn last line is left out.
func TestTextKeepsEverything(t *testing.T) {
	text, err := example().MarshalJSON()
	if err != nil {
		t.Fatal(err)
	}
	whole := string(text) + "\n" + string(text[:len(text)/2])
	records, err := Read(strings.NewReader(whole))
	if err != nil || len(records) != 1 || records[0] != example() {
		t.Fatalf("%v: %+v", err, records)
	}
}

// TestStepsTellNoneFromZero: a step that took no time is told apart from one not taken.
func TestStepsTellNoneFromZero(t *testing.T) {
	var steps Steps
	steps.Set(StepSync, 0)
	if took, taken := steps.Get(StepSync); !taken || took != 0 {
		t.Errorf("sync: %d, %v", took, taken)
	}
	if _, taken := steps.Get(StepBatch); taken {
		t.Error("a step that was not taken has a time")
	}
	steps.Set(StepBatch, -5) // clocks of a leadership before
	if took, _ := steps.Get(StepBatch); took != 0 {
		t.Errorf("a step took %d", took)
	}
}

// TestAboutFindsAMessageByEitherName: the name that its edge gave it, and its id.
func TestAboutFindsAMessageByEitherName(t *testing.T) {
	records := []Record{
		{At: 3, ID: "m-1", Stage: StageDecided}, {At: 2, ID: "acme/m-1", Stage: StageEdge},
		{At: 1, ID: "m-11"}, {At: 4, ID: "ann/1"},
	}
	if about := About("m-1", records); len(about) != 2 || about[0].Stage != StageEdge {
		t.Errorf("by its id: %+v", about)
	}
	if about := About("0.m-1", records); len(about) != 1 || about[0].Stage != StageDecided {
		t.Errorf("by its name: %+v", about)
	}
	var text bytes.Buffer
	Explain(&text, []Record{example()})
	want := "edge      127.0.8.151:7122      group=3 epoch=9 release=4 number=2 peer=127.0.8.101:7121 " +
		"forward=0ms outcome=1300ms outcome=UNKNOWN reason=\"late\"\n"
	if !strings.HasSuffix(text.String(), want) {
		t.Errorf("got %q", text.String())
	}
}

// TestWriteFileReplaces: what was written before is replaced as a whole.
func TestWriteFileReplaces(t *testing.T) {
	path := filepath.Join(t.TempDir(), "records")
	os.WriteFile(path, []byte(strings.Repeat("x", 1<<20)), 0o644)
	id := filepath.Dir(path) // of this run alone: the records are the process's
	Add(Record{Stage: StageEdge, ID: id, Node: ids.Node("n")})
	WriteFile(path)
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	records, err := Read(file)
	if err != nil || len(About(id, records)) != 1 {
		t.Fatalf("%v: %d records", err, len(records))
	}
}
