package requestbody

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/iotest"
)

const budgetBytes = 128 << 10

// free is what a budget has left.
func free(b *Budget) int64 { return b.first.Load() + b.rest.Load() }

// TestRead: bodies of any length, known or not, whole or in pieces, come as they are, and no
// more is reserved for one than twice what it has.
func TestRead(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, size := range []int{0, 1, firstPiece - 1, firstPiece, firstPiece + 1, 3*firstPiece + 7, 20_000} {
		text := make([]byte, size)
		for i := range text {
			text[i] = byte(random.Uint32())
		}
		for name, source := range map[string]io.Reader{
			"whole":         bytes.NewReader(text),
			"byte by byte":  iotest.OneByteReader(bytes.NewReader(text)),
			"end with data": iotest.DataErrReader(bytes.NewReader(text)),
		} {
			for _, length := range []int64{int64(size), -1} {
				budget := NewBudget(budgetBytes/2, budgetBytes/2)
				if length < 0 {
					source = bytes.NewReader(text)
				}
				body, err := budget.Read(source, length)
				if err != nil || !bytes.Equal(body.Bytes, text) {
					t.Fatalf("%s, %d bytes, length %d: %v", name, size, length, err)
				}
				if reserved := budgetBytes - free(budget); reserved > max(firstPiece, 2*int64(size)+1) {
					t.Errorf("%s, %d bytes, length %d: %d reserved", name, size, length, reserved)
				}
				if body.Release(); free(budget) != budgetBytes {
					t.Errorf("%s, %d bytes: %d free afterwards", name, size, free(budget))
				}
			}
		}
	}
}

// TestBudgetIsShared: a body that passes what others leave is refused, and what was reserved
// for it, or for one that broke off, is there for others.
func TestBudgetIsShared(t *testing.T) {
	budget := NewBudget(budgetBytes/2, budgetBytes/2)
	first, err := budget.Read(strings.NewReader(strings.Repeat("x", budgetBytes*3/8)), budgetBytes*3/8)
	if err != nil {
		t.Fatal(err)
	}
	left := free(budget)
	if _, err := budget.Read(strings.NewReader(strings.Repeat("y", budgetBytes/4)), -1); !errors.Is(err, ErrBusy) {
		t.Fatalf("past the budget: %v", err)
	}
	breaks := iotest.TimeoutReader(iotest.OneByteReader(strings.NewReader("abc")))
	if _, err := budget.Read(breaks, 3); !errors.Is(err, iotest.ErrTimeout) {
		t.Fatalf("broken off: %v", err)
	}
	if free(budget) != left {
		t.Fatalf("%d free after bodies that were not read, %d before", free(budget), left)
	}
	if _, err := budget.Read(strings.NewReader("small"), 5); err != nil {
		t.Fatalf("a small one beside a large one: %v", err)
	}
	first.Release()
	if _, err := budget.Read(strings.NewReader(strings.Repeat("y", budgetBytes/4)), -1); err != nil {
		t.Fatalf("after the first was released: %v", err)
	}
}
