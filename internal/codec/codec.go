// Package codec reads and writes CBOR as all of the project does. What a row, a frame or a
// snapshot may hold is bounded by its bytes, where it is taken in, and not by a number of
// elements. What can't be read again is an error of whoever writes it: the library's encoder
// alone would write text that its decoder refuses.
package codec

import (
	"bytes"
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

// Marshal encodes a value. It is an error if the bytes could not be decoded again.
func Marshal(value any) ([]byte, error) {
	data, err := cbor.Marshal(value)
	if err != nil {
		return nil, err
	}
	if err := checkReadable(data); err != nil {
		return nil, err
	}
	return data, nil
}

// Encoder appends a sequence of items to a buffer.
type Encoder struct {
	buffer  *bytes.Buffer
	encoder *cbor.Encoder
}

// NewEncoder makes an encoder that appends to a buffer.
func NewEncoder(buffer *bytes.Buffer) *Encoder {
	return &Encoder{buffer: buffer, encoder: cbor.NewEncoder(buffer)}
}

// Encode appends an item. One that could not be decoded again is an error, and the buffer
// stays as it was.
func (e *Encoder) Encode(item any) error {
	before := e.buffer.Len()
	err := e.encoder.Encode(item)
	if err == nil {
		err = checkReadable(e.buffer.Bytes()[before:])
	}
	if err != nil {
		e.buffer.Truncate(before)
	}
	return err
}
