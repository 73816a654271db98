// Package requestbody reads the bodies of HTTP requests within a budget of memory that all
// requests of a server share. How large one body may be is the caller's to bound.
package requestbody

import (
	"errors"
	"io"
	"sync/atomic"
)

// ErrBusy says that the bodies that are being read have all the memory that they may have.
var ErrBusy = errors.New("too many bodies are being read here")

// firstPiece is what is reserved for a body at first: a client that sends nothing holds no more.
const firstPiece = 4 << 10

// Budget is the memory that bodies may take at one time. A part of it is for the first piece of
// each, so that small bodies pass while large ones that stall have the rest.
type Budget struct {
	first atomic.Int64 // free, for first pieces
	rest  atomic.Int64 // free, for what is larger
}

// NewBudget makes a budget of so many bytes for first pieces, and for the rest of bodies.
func NewBudget(first, rest int64) *Budget {
	b := &Budget{}
	b.first.Store(first)
	b.rest.Store(rest)
	return b
}

// reserve takes bytes from a part of a budget, if it has them.
func reserve(free *atomic.Int64, bytes int64) bool {
	if free.Add(-bytes) >= 0 {
		return true
	}
	free.Add(bytes)
	return false
}

// Body is a body that was read, and its part of the budget.
type Body struct {
	Bytes  []byte
	budget *Budget
	first  int64 // reserved, of the parts of the budget
	rest   int64
}

// Release gives the body's part of the budget back, and forgets the body.
func (b *Body) Release() {
	b.budget.first.Add(b.first)
	b.budget.rest.Add(b.rest)
	b.first = 0
	b.rest = 0
	b.Bytes = nil
}

// Read reads a body to its end. Its part of the budget grows with what has come, up to twice
// that, and is the caller's to release; after an error nothing is reserved. A length below 0
// is not known.
func (b *Budget) Read(source io.Reader, length int64) (*Body, error) {
	body := &Body{budget: b}
	for {
		if len(body.Bytes) == cap(body.Bytes) && !body.grow(length) {
			body.Release()
			return nil, ErrBusy
		}
		n, err := source.Read(body.Bytes[len(body.Bytes):cap(body.Bytes)])
		body.Bytes = body.Bytes[:len(body.Bytes)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			body.Release()
			return nil, err
		}
	}
}

// grow makes room for more of a body, and tells whether the budget had it.
func (b *Body) grow(length int64) bool {
	before := int64(cap(b.Bytes))
	size := max(firstPiece, 2*before)
	if length >= before {
		size = min(size, length+1) // one byte more than it has shows its end
	}
	free, reserved := &b.budget.rest, &b.rest
	if before == 0 {
		free, reserved = &b.budget.first, &b.first
	}
	if !reserve(free, size-before) {
		return false
	}
	*reserved += size - before
	larger := make([]byte, len(b.Bytes), size)
	copy(larger, b.Bytes)
	b.Bytes = larger
	return true
}
