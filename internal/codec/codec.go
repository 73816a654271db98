// Package codec reads CBOR as all of the project does: what a row, a frame or a snapshot may hold
// is bounded by its bytes, where it is taken in, and not by a number of elements. A library's
// default number would let a state be written that can't be read again.
package codec

import (
	"io"
	"math"

	"github.com/fxamacker/cbor/v2"
)

// mode is the decoder's. An element takes a byte at least, so the bytes bound their number.
var mode = newMode()

func newMode() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: math.MaxInt32, MaxMapPairs: math.MaxInt32}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}

// Unmarshal decodes one item, which must be all there is.
func Unmarshal(data []byte, into any) error { return mode.Unmarshal(data, into) }

// NewDecoder reads a sequence of items.
func NewDecoder(r io.Reader) *cbor.Decoder { return mode.NewDecoder(r) }
