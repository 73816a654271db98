package transport

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// TestGetTakesManyElements: what a frame holds is bounded by its bytes, not by a number of
// elements. A client that takes up a busy topic is sent more messages than a decoder takes by
// default, and an update may have as many shards.
func TestGetTakesManyElements(t *testing.T) {
	type elements struct {
		List []int       `cbor:"1,keyasint"`
		Map  map[int]int `cbor:"2,keyasint"`
	}
	const many = 140_000
	x := elements{List: make([]int, many), Map: map[int]int{}}
	for i := range many {
		x.Map[i] = i
	}
	frame, err := cbor.Marshal(x)
	if err != nil {
		t.Fatal(err)
	}
	got, ok := Get[elements](frame)
	if !ok || len(got.List) != many || len(got.Map) != many {
		t.Fatalf("%v: %d and %d elements", ok, len(got.List), len(got.Map))
	}
}
