package process

import (
	"os"
	"path/filepath"
	"testing"
)

// TestHalfWrittenSettings: a file that is written in place is taken over when all of it is
// there, and once; a half of it may well pass as settings with other seeds.
func TestHalfWrittenSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "boot.conf")
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	write("seed_nodes=127.0.0.2:8264\n")
	file := settingsFile{path: path}
	file.read()
	if file.changed() {
		t.Fatal("changed, with nothing written")
	}
	for _, step := range []struct {
		text    string
		changed bool
	}{
		{"", false},
		{"seed_nodes=127.0.0.3:8264", false},
		{"seed_nodes=127.0.0.3:8264,127.0.0.4:8264\n", false},
		{"seed_nodes=127.0.0.3:8264,127.0.0.4:8264\n", true},
	} {
		write(step.text)
		if file.changed() != step.changed {
			t.Fatalf("with %q written: changed is %v", step.text, !step.changed)
		}
	}
	file.read()
	if file.changed() {
		t.Fatal("changed, with nothing written since it was read")
	}
}
