package codec

import (
	"bytes"
	"io/fs"
	"math"
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

// TestNothingUnreadableIsWritten guards against bytes that are written and that no reader takes:
// what is encoded without an error is decoded, and what is not could not be.
func TestNothingUnreadableIsWritten(t *testing.T) {
	type row struct {
		_    struct{} `cbor:",toarray"`
		Name string
		Body []byte
		More map[string]any
	}
	nested := func(levels int) any {
		var item any = "x"
		for range levels {
			item = []any{item}
		}
		return item
	}
	const spoiled = "3e\xff1b"
	for name, value := range map[string]any{
		"text":                     row{Name: "Überlauf", Body: []byte(spoiled)},
		"no text":                  row{Name: spoiled},
		"no text after long bytes": row{Body: make([]byte, 70_000), More: map[string]any{"a": spoiled}},
		"no text as a key":         map[string]int{spoiled: 1},
		"no text in a tag":         cbor.Tag{Number: 70_000, Content: spoiled},
		"long text":                strings.Repeat("ü", 40_000),
		"long no text":             strings.Repeat("ü", 40_000) + "\xc3",
		"numbers":                  []any{1.5, float32(2.5), -1 << 40, uint64(math.MaxUint64), nil, true, 255, 65_535},
		"bytes of a text's head":   []byte{0x61, 0xff},
		"items that go on":         cbor.RawMessage{0x9f, 0x7f, 0x61, 'a', 0xff, 0x5f, 0x41, 0xff, 0xff, 0xff},
		"no text that goes on":     cbor.RawMessage{0x7f, 0x61, 0xff, 0xff},
		"nested":                   nested(32),
		"nested too deep":          nested(33),
	} {
		library, err := cbor.Marshal(value)
		if err != nil {
			t.Fatal(name, err)
		}
		var back any
		readable := Unmarshal(library, &back) == nil
		data, err := Marshal(value)
		if (err == nil) != readable || readable && !bytes.Equal(data, library) {
			t.Errorf("%s: can be read: %v; written with %v", name, readable, err)
		}
		var buffer bytes.Buffer
		buffer.WriteString("before")
		err = NewEncoder(&buffer).Encode(value)
		if (err == nil) != readable || !readable && buffer.String() != "before" {
			t.Errorf("%s: can be read: %v; appended with %v, %d bytes", name, readable, err, buffer.Len())
		}
	}
}

// TestNobodyCodesOtherwise: no source but this package reads or writes with the library's bounds.
func TestNobodyCodesOtherwise(t *testing.T) {
	seen := 0
	err := filepath.WalkDir(filepath.Join(".."), func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		if filepath.Base(filepath.Dir(path)) == "codec" {
			return nil
		}
		source, err := os.ReadFile(path)
		seen++
		for _, call := range []string{"cbor.Unmarshal(", "cbor.NewDecoder(", "cbor.UnmarshalFirst(",
			"cbor.Marshal(", "cbor.MarshalToBuffer(", "cbor.NewEncoder(", "cbor.EncOptions"} {
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
