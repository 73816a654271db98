package main

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"time"
)

// verdict is what came of a mutant.
type verdict string

const (
	noticed  verdict = "noticed"
	survived verdict = "survived"
	failed   verdict = "error" // it tells nothing: the edit does not fit, or does not build
)

// result is a mutant that was tried.
type result struct {
	mutant  mutant
	verdict verdict
	tests   []string // that failed
	err     error
	took    time.Duration
}

// expected tells whether the list foretold it.
func (r *result) expected() bool {
	if r.mutant.survives != "" {
		return r.verdict == survived
	}
	return r.verdict == noticed
}

func (r *result) why() string {
	switch {
	case r.err != nil:
		return strings.ReplaceAll(r.err.Error(), "\n", " ")
	case r.verdict == survived:
		return r.mutant.survives
	}
	return strings.Join(r.tests, ", ")
}

func (r *result) line() string {
	return fmt.Sprintf("%-8s %5.1f s  %s: %s", r.verdict, r.took.Seconds(), r.mutant.name, r.why())
}

// tree is a copy of the module, which one worker edits.
type tree struct {
	root    string
	timeout time.Duration
}

// copyFrom copies the files that builds and tests read.
func (t *tree) copyFrom(from string) error {
	return filepath.WalkDir(from, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() {
			if slices.Contains([]string{".git", "journal", "target"}, path) {
				return filepath.SkipDir
			}
			return os.MkdirAll(filepath.Join(t.root, path), 0o755)
		}
		if !entry.Type().IsRegular() {
			return nil
		}
		content, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		return os.WriteFile(filepath.Join(t.root, path), content, 0o644)
	})
}

// allExist sees that each test named by the mutants is there: without that a test that
// was renamed would notice nothing.
func (t *tree) allExist(mutants []mutant) error {
	listed := map[string]string{}
	for _, m := range mutants {
		for _, r := range m.runs {
			if _, known := listed[r.pkg]; !known {
				names, err := t.goTest(testRun{r.pkg, "-"}, "-list", ".")
				if err != nil {
					return fmt.Errorf("go test -list . %s: %w: %s", r.pkg, err, brief(names))
				}
				listed[r.pkg] = string(names)
			}
			if !exists(r.pattern, listed[r.pkg]) {
				return fmt.Errorf("%s: %s has no test %s", m.name, r.pkg, r.pattern)
			}
		}
	}
	return nil
}

// exists tells whether a pattern, up to the names of subtests, fits one of the names
// that go test lists.
func exists(pattern, names string) bool {
	top, _, _ := strings.Cut(pattern, "/")
	fits, err := regexp.Compile(top)
	return err == nil && slices.ContainsFunc(strings.Fields(names), fits.MatchString)
}

func (t *tree) goTest(r testRun, more ...string) ([]byte, error) {
	arguments := []string{"test", "-count=1", "-vet=off", "-timeout", t.timeout.String(), "-run", r.pattern}
	command := exec.Command("go", append(append(arguments, more...), r.pkg)...)
	command.Dir = t.root
	return command.CombinedOutput()
}

// failedTest is a line that names a test that failed; a panic or a timeout is told
// by a line of its own.
var failedTest = regexp.MustCompile(`(?m)^--- FAIL: (\S+)|^(panic: test timed out)|^(panic: )`)

// try makes a mutant's edit, runs its tests until some fail, and takes the edit back.
// Tests that failed must pass without the edit, else they tell nothing.
func (t *tree) try(m mutant) (r result) {
	r = result{mutant: m, verdict: failed}
	began := time.Now()
	defer func() { r.took = time.Since(began) }()
	undo, err := m.apply(t.root)
	if err != nil {
		r.err = err
		return r
	}
	verdict, run, names, err := t.mutated(m)
	if r.err = errors.Join(err, undo()); r.err != nil {
		return r
	}
	r.tests = names
	if verdict == noticed {
		if out, err := t.goTest(testRun{run.pkg, run.pattern}); err != nil {
			r.err = fmt.Errorf("%s fails without the edit, too: %s", run.pattern, brief(out))
			return r
		}
	}
	r.verdict = verdict
	return r
}

// mutated builds and tests a tree with a mutant's edit. It gives the run that noticed,
// and the tests that failed in it.
func (t *tree) mutated(m mutant) (v verdict, run testRun, names []string, err error) {
	for _, run := range m.runs {
		out, err := t.goTest(run)
		if err == nil {
			continue
		}
		names := failures(out)
		if len(names) == 0 { // it does not build
			return failed, run, nil, fmt.Errorf("go test %s: %w: %s", run.pkg, err, brief(out))
		}
		if !bytes.Contains(out, []byte(m.says)) {
			continue // for another reason than the one that is wanted
		}
		return noticed, run, names, nil
	}
	return survived, run, nil, nil
}

// mostOutput is how much of a command's output an error tells.
const mostOutput = 400

func brief(out []byte) string { return string(out[:min(len(out), mostOutput)]) }

// failures gives the names of the tests that failed, or what ended all of them.
func failures(out []byte) (names []string) {
	for _, found := range failedTest.FindAllSubmatch(out, -1) {
		name := string(found[1])
		switch {
		case len(found[2]) > 0:
			name = "a test that hung"
		case len(found[3]) > 0:
			name = "a panic"
		}
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}
