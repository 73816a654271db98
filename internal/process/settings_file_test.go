package process

import (
	"os"
	"path/filepath"
	"testing"
	"time"
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

// TestHalfWrittenAtStart: a process that starts while its settings are being written reads them
// again, and is not ended by the half that it found first.
func TestHalfWrittenAtStart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "boot.conf")
	for name, texts := range map[string][]string{
		"written meanwhile": {"", settingsOfReload[:40], settingsOfReload},
		"left as it is":     {"", ""},
	} {
		t.Run(name, func(t *testing.T) {
			write := func(time.Duration) {
				if err := os.WriteFile(path, []byte(texts[0]), 0o600); err != nil {
					t.Fatal(err)
				}
				texts = texts[1:]
			}
			whole := texts[len(texts)-1] != ""
			write(0)
			file := settingsFile{path: path}
			set, err := file.readAtStart(write)
			if whole != (err == nil) {
				t.Fatalf("settings %v, error %v", set, err)
			}
			if whole && set.Name != "store-1" {
				t.Errorf("node %q", set.Name)
			}
		})
	}
}
