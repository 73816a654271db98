package codec

import (
	"bytes"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// TestManyElements: what was encoded is decoded, whatever the number of its elements.
func TestManyElements(t *testing.T) {
	want := make([]int, 300_000)
	data, err := cbor.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	var one, two []int
	if err := Unmarshal(data, &one); err != nil || len(one) != len(want) {
		t.Errorf("%d elements, %v", len(one), err)
	}
	if err := NewDecoder(bytes.NewReader(data)).Decode(&two); err != nil || len(two) != len(want) {
		t.Errorf("%d elements of a stream, %v", len(two), err)
	}
	if Unmarshal([]byte{0x9b, 0, 0, 0, 1, 0, 0, 0, 0}, &one) == nil {
		t.Error("a list is taken that claims more elements than there are bytes")
	}
}

// TestNobodyDecodesOtherwise: no source but this package decodes with the library's bounds.
func TestNobodyDecodesOtherwise(t *testing.T) {
	seen := 0
	err := filepath.WalkDir(filepath.Join(".."), func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		if filepath.Base(path) == "codec.go" {
			return nil
		}
		source, err := os.ReadFile(path)
		seen++
		for _, call := range []string{"cbor.Unmarshal(", "cbor.NewDecoder(", "cbor.UnmarshalFirst("} {
			if strings.Contains(string(source), call) {
				t.Errorf("%s calls %s", path, call)
			}
		}
		return err
	})
	if err != nil || seen < 100 {
		t.Fatalf("%v: %d sources seen", err, seen)
	}
}
