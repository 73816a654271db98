package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
)

// mutant is one edit of the source that takes a safeguard, or a part of it, away,
// and the tests that are to notice.
type mutant struct {
	name     string
	file     string // from the root of the module
	old      string // occurs once in the file
	new      string
	runs     []testRun
	survives string // why no test can notice it; empty: a test must
	says     string // what a test that notices it must print; empty: anything
}

// testRun is some tests of one package.
type testRun struct {
	pkg     string // as go test takes it
	pattern string // for -run
}

// parse reads a list of mutants. An entry is a line "mutant: NAME", lines
// "file: PATH", "test: PACKAGE PATTERN" (one or more), "says: TEXT" and "survives: WHY" (or none),
// and then "replace:", "with:" and "end", each on a line of its own, with the old
// and the new text between them. Empty lines and lines that begin with # are passed
// over outside those texts.
func parse(r io.Reader) ([]mutant, error) {
	var all []mutant
	lines := bufio.NewScanner(r)
	for number := 1; lines.Scan(); number++ {
		line := lines.Text()
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		key, value, ok := strings.Cut(line, ":")
		value = strings.TrimSpace(value)
		if !ok || len(all) == 0 && key != "mutant" {
			return nil, fmt.Errorf("line %d: %q is not expected here", number, line)
		}
		if key == "mutant" {
			all = append(all, mutant{name: value})
			continue
		}
		m := &all[len(all)-1]
		switch key {
		case "file":
			m.file = value
		case "test":
			pkg, pattern, ok := strings.Cut(value, " ")
			if !ok {
				return nil, fmt.Errorf("line %d: a package and a pattern of tests are wanted", number)
			}
			m.runs = append(m.runs, testRun{pkg, pattern})
		case "says":
			m.says = value
		case "survives":
			m.survives = value
		case "replace":
			var used int
			m.old, used = text(lines, "with:")
			number += used
			m.new, used = text(lines, "end")
			number += used
		default:
			return nil, fmt.Errorf("line %d: %q is no key", number, key)
		}
	}
	for _, m := range all {
		if m.name == "" || m.file == "" || m.old == "" || m.old == m.new || len(m.runs) == 0 {
			return nil, fmt.Errorf("%q is not complete", m.name)
		}
	}
	return all, lines.Err()
}

// text gives the lines up to one that closes them, and how many lines it read.
func text(lines *bufio.Scanner, closing string) (string, int) {
	var out []string
	read := 0
	for lines.Scan() {
		read++
		if lines.Text() == closing {
			break
		}
		out = append(out, lines.Text())
	}
	return strings.Join(out, "\n"), read
}

// edit gives a mutant's file before and after its edit. An edit that no longer fits
// the source is an error.
func (m *mutant) edit(root string) (before, after []byte, err error) {
	before, err = os.ReadFile(filepath.Join(root, m.file))
	if err != nil {
		return nil, nil, err
	}
	if n := strings.Count(string(before), m.old); n != 1 {
		return nil, nil, fmt.Errorf("%s: the text to replace occurs %d times, want once:\n%s", m.file, n, m.old)
	}
	return before, []byte(strings.Replace(string(before), m.old, m.new, 1)), nil
}

// apply makes a mutant's edit in a copy of the tree and returns how to undo it.
func (m *mutant) apply(root string) (undo func() error, err error) {
	before, after, err := m.edit(root)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(root, m.file)
	undo = func() error { return os.WriteFile(path, before, 0o644) }
	return undo, os.WriteFile(path, after, 0o644)
}
