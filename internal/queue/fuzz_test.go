package queue

import (
	"testing"

	"oxbowdeck/internal/paxos"
)

// FuzzLoad: bytes that are no snapshot are refused, and whatever is loaded can go on.
func FuzzLoad(f *testing.F) {
	bounds := Bounds{Report: 1000, Sweep: 10}
	whole, err := New(bounds).Save()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(whole)
	f.Add(whole[:len(whole)/2])
	f.Fuzz(func(t *testing.T, snapshot []byte) {
		s := New(bounds)
		if s.Load(snapshot) != nil {
			return
		}
		s.Apply(paxos.Decided{Slot: s.Slot() + 1, Value: paxos.Value{Stamp: s.Clock() + 5000}}, func(Event) {})
		s.Each(func(row *Row) { s.First(row) })
		if _, err := s.Save(); err != nil {
			t.Fatal(err)
		}
	})
}
