package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// sources are the packages of a module whose tests are run by the real go command.
var sources = map[string]string{
	"green/x_test.go": `package green
import "testing"
func TestGreen(t *testing.T) {}
func TestSkipped(t *testing.T) { t.Skip("not here") }
func TestTwice(t *testing.T) {}
`,
	"red/x_test.go": `package red
import "testing"
func TestRed(t *testing.T) { t.Run("part", func(t *testing.T) { t.Error("the fault is here") }) }
func TestBeside(t *testing.T) {}
func TestTwice(t *testing.T) {}
`,
	"reds/x_test.go": `package reds
import "testing"
func TestOne(t *testing.T) { t.Error("first fault") }
func TestOther(t *testing.T) { t.Error("second fault") }
`,
	"short/x_test.go": `package short
import "testing"
func TestLong(t *testing.T) { if !testing.Short() { t.Error("only when long") } }
`,
	"broken/x_test.go": `package broken
import "testing"
func TestBroken(t *testing.T) { undefined() }
`,
	"panics/x_test.go": `package panics
import "testing"
func TestPanics(t *testing.T) { panic("out of order") }
func TestAfter(t *testing.T) {}
`,
	"exits/x_test.go": `package exits
import ("os"; "testing")
func TestMain(m *testing.M) { m.Run(); os.Exit(3) }
func TestFine(t *testing.T) {}
`,
}

// module writes the sources and works in their folder from then on.
func module(t *testing.T) {
	t.Helper()
	dir := t.TempDir()
	write := func(name, text string) {
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	write("go.mod", "module sample\n\ngo 1.26\n")
	for name, text := range sources {
		write(name, text)
	}
	t.Chdir(dir)
	t.Setenv("GOFLAGS", "")
}

// recorded is a tester that runs the go command once for the same arguments, and gives
// the same output and end again after that.
func recorded() tester {
	type pass struct {
		events []byte
		err    error
	}
	passes := map[string]pass{}
	return func(args []string, read func(io.Reader) error) error {
		key := strings.Join(args, " ")
		p, ok := passes[key]
		if !ok {
			p.err = goTest(args, func(in io.Reader) (err error) {
				p.events, err = io.ReadAll(in)
				return err
			})
			passes[key] = p
		}
		if err := read(bytes.NewReader(p.events)); err != nil {
			return err
		}
		return p.err
	}
}

// TestVerdicts runs real passes under lists of all kinds.
func TestVerdicts(t *testing.T) {
	module(t)
	test := recorded()
	for _, c := range []struct {
		name string
		list string // none: there is no such file
		args string
		ok   bool
		want []string // among the output
	}{
		{"no list", "", "./green", true, []string{"ok  \tsample/green", "\n2 passed, 0 failed\n"}},
		{"listed and failing", "TestRed, `go test ./red`, no seed, a race, with commas, issue 21", "./green ./red", true,
			[]string{"known red: sample/red.TestRed: a race, with commas (issue 21)", "    x_test.go:3: the fault is here",
				"known red only: FAIL\tsample/red", "not counted below: TestRed", "\n4 passed, 0 failed\n"}},
		{"listed by package", "red.TestRed, `go test ./x`, seed 3, cause, issue 21", "./green ./red", true,
			[]string{"\n4 passed, 0 failed\n"}},
		{"listed by whole package", "sample/red.TestRed, `go test ./x`, seed 3, cause, issue 21", "./green ./red", true,
			[]string{"\n4 passed, 0 failed\n"}},
		{"listed in another package", "green.TestRed, `go test ./x`, seed 3, cause, issue 21", "./green ./red", false,
			[]string{"green.TestRed is listed as known red and does not exist", "\n4 passed, 2 failed\n"}},
		{"listed and passing", "TestGreen, `go test ./x`, seed 3, cause, issue 21", "./green", false,
			[]string{"TestGreen is listed as known red and did not fail", "\n2 passed, 1 failed\n"}},
		{"listed and skipped", "TestSkipped, `go test ./x`, seed 3, cause, issue 21", "./green", false,
			[]string{"TestSkipped is listed as known red and did not fail"}},
		{"listed and missing", "TestGone, `go test ./x`, seed 3, cause, issue 21", "./green", false,
			[]string{"TestGone is listed as known red and does not exist", "\n2 passed, 1 failed\n"}},
		{"listed and in two packages", "TestTwice, `go test ./x`, seed 3, cause, issue 21", "./green ./red", false,
			[]string{"name the package"}},
		{"a case that is not run", "review/9 (LOST), `review/9/run.sh`, no seed, 4 of 5 are lost, issue 21", "./green", true,
			[]string{"known red, not run here: review/9 (LOST), `review/9/run.sh`, no seed: 4 of 5 are lost (issue 21)", "\n2 passed, 0 failed\n"}},
		{"a case beside an unlisted failure", "review/9, `review/9/run.sh`, no seed, lost, issue 21", "./green ./red", false,
			[]string{"known red, not run here: review/9", "\n4 passed, 1 failed\n"}},
		{"an unlisted failure", "", "./green ./red", false,
			[]string{"--- FAIL: TestRed", "x_test.go:3: the fault is here",
				"\nFAIL\tsample/red", "\n4 passed, 1 failed\n"}},
		{"an unlisted failure beside a listed one", "TestOne, `go test ./x`, seed 3, cause, issue 21", "./reds", false,
			[]string{"    x_test.go:3: first fault", "\n    x_test.go:4: second fault",
				"\nFAIL\tsample/reds", "\n0 passed, 1 failed\n"}},
		{"a package that does not build", "", "./broken ./green", false,
			[]string{"undefined: undefined", "FAIL\tsample/broken [build failed]", "\n2 passed, 1 failed\n"}},
		{"listed in a package that does not build", "TestBroken, `go test ./x`, seed 3, cause, issue 21", "./broken ./green", false,
			[]string{"undefined: undefined", "\n2 passed, 2 failed\n"}},
		{"a panic", "", "./panics ./green", false,
			[]string{"panic: out of order", "FAIL\tsample/panics", "did not run to their end"}},
		{"a listed panic: the tests after it were not run", "TestPanics, `go test ./x`, seed 3, cause, issue 21", "./panics ./green", false,
			[]string{"panic: out of order", "sample/panics: its tests did not run to their end", "\n2 passed, 1 failed\n"}},
		{"a package that fails without a test", "", "./exits", false,
			[]string{"sample/exits: its tests did not run to their end"}},
		{"a folder that is not there", "", "./nowhere", false, nil},
		{"a flag that is not there", "", "-mod=nosuch ./green", false,
			[]string{"FAIL: go test: exit status", "no test was run"}},
		{"no test at all", "", "-run=^$ ./green", false, []string{"no test was run"}},
		{"two passes", "TestLong, `go test ./x`, seed 3, cause, issue 21", "./short -- -short ./short", true,
			[]string{"\n1 passed, 0 failed\n"}},
		{"two passes and a failure in the first", "", "./short -- -short ./short", false,
			[]string{"\n1 passed, 1 failed\n"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			os.Remove(listFile)
			if c.list != "" {
				if err := os.WriteFile(listFile, []byte(c.list+"\n"), 0o644); err != nil {
					t.Fatal(err)
				}
			}
			var out strings.Builder
			ok, err := run(&out, listFile, passes(strings.Fields(c.args)), test)
			if err != nil || ok != c.ok {
				t.Errorf("verdict %v (%v), want %v", ok, err, c.ok)
			}
			for _, want := range c.want {
				if !strings.Contains(out.String(), want) {
					t.Errorf("%q is not among the output", want)
				}
			}
			if t.Failed() {
				t.Log(out.String())
			}
		})
	}
}

// TestRaceOutsideTests: the race detector blames no test; and a package whose events
// are cut short.
func TestRaceOutsideTests(t *testing.T) {
	events := `{"Action":"start","Package":"p"}
{"Action":"run","Package":"p","Test":"TestA"}
{"Action":"output","Package":"p","Test":"TestA","Output":"--- FAIL: TestA (0.00s)\n"}
{"Action":"fail","Package":"p","Test":"TestA"}
{"Action":"output","Package":"p","Output":"testing: race detected outside of test execution\n"}
{"Action":"output","Package":"p","Output":"FAIL\n"}
{"Action":"output","Package":"p","Output":"FAIL\tp\t0.1s\n"}
{"Action":"fail","Package":"p"}
`
	for _, c := range []struct {
		name, events string
		ok           bool
	}{
		{"raced", events, false},
		{"not raced", strings.Replace(events, racedOutside, "nothing", 1), true},
		{"cut short", events[:strings.Index(events, `{"Action":"output","Package":"p","Output":"testing`)], false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out strings.Builder
			r := newReport(&out, []entry{{test: "TestA", command: "go test", seed: "no seed", seen: "cause", issue: "issue 21"}})
			if err := r.read(strings.NewReader(c.events)); err != nil {
				t.Fatal(err)
			}
			if ok := r.end(); ok != c.ok {
				t.Errorf("verdict %v, want %v:\n%s", ok, c.ok, out.String())
			}
		})
	}
}

// TestLists reads lists that are whole, and refuses those that are not.
func TestLists(t *testing.T) {
	const (
		one   = "TestA, `a, b`, seed 7, c, issue 1\n"
		two   = "p.TestB, `go test ./p`, no seed, c, d, issue 2\n"
		three = "TestC, `c`, no seed, c, issue 3\n"
		four  = "TestD, `d`, no seed, c, issue 4\n"
		other = "review/2 (TWICE), `review/2/run.sh`, no seed (real clock), 5 to 17 messages, issue 29\n"
		day   = "review/2 (TWICE), `fleetbench run day.toml`, seeds 1, 2 and 3, 8, 4 and 6 messages, issue 29\n"
	)
	for _, c := range []struct {
		name, text string
		entries    int // -1: refused
	}{
		{"empty", "", 0},
		{"blank lines", "\n \n" + one + "\n", 1},
		{"three", one + two + three, 3},
		{"four", one + two + three + four, -1},
		{"a comment", "# what is known\n" + one, 1},
		{"cases beside tests", one + two + three + other + day, 5},
		{"a case twice", other + other, -1},
		{"six cases", manyCases(6), 6},
		{"seven cases", manyCases(7), -1},
		{"no issue", "TestA, `c`, no seed, cause\n", -1},
		{"an empty issue", "TestA, `c`, no seed, cause, \n", -1},
		{"an empty cause", "TestA, `c`, no seed, , issue 1\n", -1},
		{"an empty seed", "TestA, `c`, , cause, issue 1\n", -1},
		{"no command", "TestA, no seed, cause, issue 1\n", -1},
		{"a case without a command", "everything, cause, issue 1\n", -1},
		{"an empty command", "TestA, ``, no seed, cause, issue 1\n", -1},
		{"a name alone", "TestA\n", -1},
		{"a subtest", "TestA/part, `c`, no seed, cause, issue 1\n", -1},
		{"twice", one + one, -1},
	} {
		t.Run(c.name, func(t *testing.T) {
			list, err := parseList(c.text)
			if (err != nil) != (c.entries < 0) || err == nil && len(list) != c.entries {
				t.Fatalf("%v, %v", list, err)
			}
		})
	}
	list, err := parseList(two)
	want := entry{pkg: "p", test: "TestB", command: "go test ./p", seed: "no seed", seen: "c, d", issue: "issue 2"}
	if err != nil || list[0] != want {
		t.Fatalf("%+v, %v", list, err)
	}
}

// manyCases is a list of so many cases.
func manyCases(n int) (text string) {
	for i := range n {
		text += fmt.Sprintf("review/%d, `review/%d/run.sh`, no seed, c, issue 1\n", i, i)
	}
	return text
}

// TestFourListed: the passes are not even begun.
func TestFourListed(t *testing.T) {
	path := filepath.Join(t.TempDir(), listFile)
	if err := os.WriteFile(path, []byte("TestA, `c`, s, c, i\nTestB, `c`, s, c, i\nTestC, `c`, s, c, i\nTestD, `c`, s, c, i\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	ok, err := run(&out, path, [][]string{{"./..."}}, nil)
	if ok || err == nil || !strings.Contains(err.Error(), "at most 3") {
		t.Fatal(ok, err)
	}
}

// TestNoGoCommand: a pass that cannot begin is an error.
func TestNoGoCommand(t *testing.T) {
	t.Setenv("PATH", "")
	var out strings.Builder
	ok, err := run(&out, filepath.Join(t.TempDir(), listFile), [][]string{{"./..."}}, goTest)
	if ok || !errors.Is(err, exec.ErrNotFound) {
		t.Fatal(ok, err)
	}
}

// TestOutputBounded: the end of a long output is kept.
func TestOutputBounded(t *testing.T) {
	var kept tail
	line := strings.Repeat("x", 1023) + "\n"
	for range 3 * maxOutput / len(line) {
		kept.add(line)
	}
	kept.add("the last line\n")
	text := kept.String()
	whole := strings.HasSuffix(text, "the last line\n") && strings.HasPrefix(text, "(earlier")
	if len(text) > maxOutput+100 || !whole {
		t.Fatalf("%d bytes kept", len(text))
	}
}
