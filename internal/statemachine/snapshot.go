package statemachine

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"

	"oxbowdeck/internal/codec"
)

// headerRoom is added to the size that a snapshot is expected to have.
const headerRoom = 1 << 10

// SnapshotWriter encodes a state as a sequence of small items, so that no item makes
// the encoder hold the whole state twice. The first error ends the writing.
type SnapshotWriter struct {
	buffer  *bytes.Buffer
	encoder *codec.Encoder
	err     error
}

// NewSnapshotWriter makes room for about so many bytes.
func NewSnapshotWriter(size int) *SnapshotWriter {
	buffer := bytes.NewBuffer(make([]byte, 0, size+headerRoom))
	return &SnapshotWriter{buffer: buffer, encoder: codec.NewEncoder(buffer)}
}

// Write appends an item.
func (w *SnapshotWriter) Write(item any) {
	if w.err == nil {
		w.err = w.encoder.Encode(item)
	}
}

// Bytes gives the snapshot, or the first error.
func (w *SnapshotWriter) Bytes() ([]byte, error) {
	if w.err != nil {
		return nil, w.err
	}
	return w.buffer.Bytes(), nil
}

// SnapshotReader decodes the items of a snapshot.
type SnapshotReader struct {
	decoder *cbor.Decoder
}

// OpenSnapshot reads a snapshot from its beginning, and decodes its header.
func OpenSnapshot(snapshot []byte, header any) (*SnapshotReader, error) {
	r := &SnapshotReader{decoder: codec.NewDecoder(bytes.NewReader(snapshot))}
	return r, r.Read("header", header)
}

// Read decodes the next item; what names it in errors.
func (r *SnapshotReader) Read(what string, item any) error {
	if err := r.decoder.Decode(item); err != nil {
		return fmt.Errorf("snapshot: %s: %w", what, err)
	}
	return nil
}

// ReadLater decodes an item that later versions appended; found is false where the snapshot ends
// before it.
func (r *SnapshotReader) ReadLater(what string, item any) (found bool, err error) {
	err = r.Read(what, item)
	if errors.Is(err, io.EOF) {
		return false, nil
	}
	return err == nil, err
}

// ReadRows decodes so many rows and takes up each.
func ReadRows[R any](r *SnapshotReader, what string, count int, take func(R) error) error {
	for i := range count {
		var row R
		err := r.decoder.Decode(&row)
		if err == nil {
			err = take(row)
		}
		if err != nil {
			return fmt.Errorf("snapshot: %s %d of %d: %w", what, i, count, err)
		}
	}
	return nil
}
