package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"regexp"
	"strings"
)

// Bounds of the list: what is known to fail is mended, not collected.
const (
	maxTests = 3
	maxCases = 6
)

// entry is one line of the list: what is known to fail, how it is run, what was seen, and
// the issue that it is to be mended under.
type entry struct {
	pkg     string // a package path or its end; empty when the test's name is enough
	test    string // the name of a test of `go test`, or of a case that CI does not run
	command string
	seed    string
	seen    string
	issue   string
}

// isCase tells whether the entry is no test of `go test`: CI prints it and does not run it.
func (e entry) isCase() bool { return !isTestName(e.test) }

// name is the entry's test as the list has it.
func (e entry) name() string {
	if e.pkg == "" {
		return e.test
	}
	return e.pkg + "." + e.test
}

// names tells whether the entry means a test of a package.
func (e entry) names(pkg, test string) bool {
	return e.test == test && (e.pkg == "" || e.pkg == pkg || strings.HasSuffix(pkg, "/"+e.pkg))
}

// readList reads the list; a file that does not exist is an empty one.
func readList(path string) ([]entry, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return parseList(string(text))
}

// parseList reads entries, one a line; empty lines and those that begin with # are passed over.
func parseList(text string) ([]entry, error) {
	var list []entry
	tests := 0
	for _, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		e, err := parseEntry(line)
		if err != nil {
			return nil, err
		}
		for _, other := range list {
			if other.name() == e.name() && (!e.isCase() || other.command == e.command) {
				return nil, fmt.Errorf("%s is listed twice", e.name())
			}
		}
		list = append(list, e)
		if !e.isCase() {
			tests++
		}
	}
	if tests > maxTests {
		return nil, fmt.Errorf("%d tests are listed, at most %d may be", tests, maxTests)
	}
	if cases := len(list) - tests; cases > maxCases {
		return nil, fmt.Errorf("%d cases are listed, at most %d may be", cases, maxCases)
	}
	return list, nil
}

// lineForm matches "test, `command`, seed, what was seen, issue". What was seen may hold commas.
var lineForm = regexp.MustCompile("^([^,`]+),\\s*`([^`]+)`,([^,]+),(.+),([^,]+)$")

// parseEntry reads one line. Only whole tests can be listed: when a subtest fails,
// the test it belongs to fails as well, and nothing tells whether for another reason.
func parseEntry(line string) (entry, error) {
	fields := lineForm.FindStringSubmatch(line)
	if fields == nil {
		return entry{}, fmt.Errorf("%q: want \"test, `command`, seed, what was seen, issue\"", line)
	}
	for i, field := range fields {
		if fields[i] = strings.TrimSpace(field); fields[i] == "" {
			return entry{}, fmt.Errorf("%q: a part is empty", line)
		}
	}
	e := entry{test: fields[1], command: fields[2], seed: fields[3], seen: fields[4], issue: fields[5]}
	if dot := strings.LastIndex(e.test, "."); dot >= 0 && isTestName(e.test[dot+1:]) {
		e.pkg, e.test = e.test[:dot], e.test[dot+1:]
	}
	if !e.isCase() && strings.Contains(e.test, "/") {
		return entry{}, fmt.Errorf("%q: list the whole test, not a subtest", line)
	}
	return e, nil
}

// isTestName tells whether the go command would run a function of that name.
func isTestName(name string) bool {
	for _, prefix := range []string{"Test", "Fuzz", "Example"} {
		if strings.HasPrefix(name, prefix) {
			return true
		}
	}
	return false
}
