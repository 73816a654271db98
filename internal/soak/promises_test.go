package soak

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"oxbowdeck/internal/invariant"
)

var (
	codeWord = regexp.MustCompile("`([^`]+)`")
	dayWord  = regexp.MustCompile("day `([^`]+)`")
	testFunc = regexp.MustCompile(`(?m)^func (Test\w+)\(`)
)

// TestPromisesNameWhatThereIs compares the names in the tables of docs/promises.md with the
// sources: functions, invariants, tests, troubles and days.
func TestPromisesNameWhatThereIs(t *testing.T) {
	root := filepath.Join("..", "..")
	page, err := os.ReadFile(filepath.Join(root, "docs", "promises.md"))
	if err != nil {
		t.Fatal(err)
	}
	tests := testNames(t, filepath.Join(root, "internal"))
	rows, checked := 0, map[invariant.Name]bool{}
	for _, line := range strings.Split(string(page), "\n") {
		cells := strings.Split(line, "|")
		if len(cells) != 7 || strings.HasPrefix(line, "| path") || strings.HasPrefix(line, "|---") {
			continue
		}
		rows++
		for _, name := range words(cells[2]) {
			checkFunction(t, filepath.Join(root, "internal"), name)
		}
		for _, name := range words(cells[3]) {
			checked[invariant.Name(name)] = true
			if !slices.Contains(invariant.Names(), invariant.Name(name)) {
				t.Errorf("no invariant %q", name)
			}
		}
		for _, name := range words(cells[4]) {
			if !tests[name] {
				t.Errorf("no test %q", name)
			}
		}
		checkTroubles(t, root, cells[5])
	}
	if rows < 70 {
		t.Errorf("only %d rows were read", rows)
	}
	for _, name := range invariant.Names() {
		if !checked[name] {
			t.Errorf("invariant %s is in no row", name)
		}
	}
}

// words gives what a cell has in code type.
func words(cell string) (list []string) {
	for _, match := range codeWord.FindAllStringSubmatch(cell, -1) {
		list = append(list, match[1])
	}
	return list
}

// checkFunction looks for FILE:FUNCTION.
func checkFunction(t *testing.T, dir, name string) {
	t.Helper()
	file, function, ok := strings.Cut(name, ":")
	source, err := os.ReadFile(filepath.Join(dir, file))
	pattern := regexp.MustCompile(`(?m)^func (\([^)]*\) )?` + regexp.QuoteMeta(function) + `[\[(]`)
	if !ok || err != nil || !pattern.Match(source) {
		t.Errorf("no function %q", name)
	}
}

// checkTroubles looks for the kinds of trouble and the days of a cell.
func checkTroubles(t *testing.T, root, cell string) {
	t.Helper()
	for _, match := range dayWord.FindAllStringSubmatch(cell, -1) {
		if _, err := os.Stat(filepath.Join(root, "docs", "days", match[1]+".toml")); err != nil {
			t.Errorf("no day %q", match[1])
		}
	}
	for _, name := range words(dayWord.ReplaceAllString(cell, "")) {
		if !slices.Contains(allKinds(), Kind(name)) {
			t.Errorf("no trouble %q", name)
		}
	}
}

// allKinds lists the kinds of trouble that plans have.
func allKinds() []Kind {
	kinds := []Kind{Blackout}
	for _, k := range append(slices.Clone(processTroubles), workerTroubles...) {
		kinds = append(kinds, k.kind)
	}
	return kinds
}

// testNames lists the tests of all packages.
func testNames(t *testing.T, dir string) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	err := filepath.WalkDir(dir, func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		for _, match := range testFunc.FindAllSubmatch(source, -1) {
			names[string(match[1])] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return names
}
