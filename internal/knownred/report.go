package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
)

// event is a line of `go test -json` (see `go doc test2json`).
type event struct {
	Action      string
	Package     string
	ImportPath  string // of build-output, in place of Package
	Test        string
	Output      string
	FailedBuild string
}

// report judges the output of one or more passes of `go test -json` by the list of
// tests that are known to fail.
type report struct {
	out        io.Writer
	list       []entry
	sightings  []sighting             // one for each entry of the list
	packages   map[string]*packageRun // that run now
	builds     map[string][]string    // what the compiler said of packages
	sawFailure bool                   // in this pass, listed or not
	passed     int                    // tests
	failed     int                    // tests that are not listed, packages, entries of the list
}

// sighting is what became of the test that an entry of the list names.
type sighting struct {
	packages []string // those that have it
	failed   bool     // in one pass at the least
}

// packageRun is one run of one package's tests.
type packageRun struct {
	output  map[string]*tail // by test; "" for the package itself
	order   []string         // tests in the order they began
	failed  []string         // top-level tests
	orderly bool             // the test binary ran to its end and told so itself
}

func newReport(out io.Writer, list []entry) *report {
	return &report{
		out:       out,
		list:      list,
		sightings: make([]sighting, len(list)),
		packages:  map[string]*packageRun{},
		builds:    map[string][]string{},
	}
}

// read takes in one pass. Lines that are no events are printed as they are.
func (r *report) read(in io.Reader) error {
	lines := bufio.NewReader(in)
	for {
		line, err := lines.ReadBytes('\n')
		if len(line) > 0 {
			var e event
			if json.Unmarshal(line, &e) != nil {
				r.print(string(line))
			} else {
				r.take(e)
			}
		}
		if errors.Is(err, io.EOF) {
			r.endPass()
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// endPass fails the packages of which no end was told.
func (r *report) endPass() {
	for name, run := range r.packages {
		r.printOutput(run, run.order)
		r.fail("%s: its tests began and did not end", name)
		delete(r.packages, name)
	}
}

func (r *report) take(e event) {
	switch e.Action {
	case "build-output":
		r.builds[e.ImportPath] = append(r.builds[e.ImportPath], e.Output)
		return
	case "start":
		r.packages[e.Package] = &packageRun{output: map[string]*tail{}}
	case "fail", "build-fail":
		r.sawFailure = true
	}
	run := r.packages[e.Package]
	switch {
	case run == nil:
		return
	case e.Test == "":
		r.takePackage(run, e)
	default:
		r.takeTest(run, e)
	}
}

// takeTest takes an event of a test or subtest.
func (r *report) takeTest(run *packageRun, e event) {
	topLevel := !strings.Contains(e.Test, "/")
	switch e.Action {
	case "run":
		run.order = append(run.order, e.Test)
		if topLevel {
			r.saw(e.Package, e.Test, false)
		}
	case "output":
		if !isProgress(e.Output) {
			run.add(e.Test, e.Output)
		}
	case "pass":
		if topLevel {
			r.passed++
		}
		run.forget(e.Test)
	case "skip":
		run.forget(e.Test)
	case "fail":
		if topLevel {
			run.failed = append(run.failed, e.Test)
			r.saw(e.Package, e.Test, true)
		}
	}
}

// saw notes that a test exists, and whether it failed, if the list names it.
func (r *report) saw(pkg, test string, failed bool) {
	for i, e := range r.list {
		if !e.names(pkg, test) {
			continue
		}
		s := &r.sightings[i]
		s.failed = s.failed || failed
		if !slices.Contains(s.packages, pkg) {
			s.packages = append(s.packages, pkg)
		}
	}
}

// takePackage takes an event of a package as a whole.
func (r *report) takePackage(run *packageRun, e event) {
	switch e.Action {
	case "output":
		if e.Output == "FAIL\n" {
			run.orderly = true
		}
		run.add("", e.Output)
	case "pass", "skip":
		r.print(run.summary("ok  \t", "?   \t"))
		delete(r.packages, e.Package)
	case "fail":
		r.packageFailed(run, e)
		delete(r.packages, e.Package)
	}
}

// packageFailed prints what failed in a package, and counts what is not listed. The
// tests after one that ended the whole run were not run: then the package fails
// whatever the list says.
func (r *report) packageFailed(run *packageRun, e event) {
	for _, line := range r.builds[e.FailedBuild] {
		r.print(line)
	}
	var unlisted []string
	for _, test := range run.failed {
		if listed := r.listed(e.Package, test); listed != nil {
			r.print(fmt.Sprintf("known red: %s.%s: %s (%s)\n", e.Package, test, listed.seen, listed.issue))
			r.print(indent(run.outputOf(test)))
		} else {
			unlisted = append(unlisted, test)
			r.print(run.outputOf(test))
		}
	}
	whole := e.FailedBuild == "" && run.orderly && len(run.failed) > 0 && !run.racedOutsideTests()
	r.failed += len(unlisted)
	switch {
	case !whole:
		r.printOutput(run, run.unfinished())
		r.print(run.outputOf(""))
		r.fail("%s: its tests did not run to their end", e.Package)
	case len(unlisted) > 0:
		r.print(run.summary("FAIL\t"))
	default:
		r.print("known red only: " + run.summary("FAIL\t"))
	}
}

// listed gives the entry of the list that names a test; nil when there is none.
func (r *report) listed(pkg, test string) *entry {
	for i := range r.list {
		if r.list[i].names(pkg, test) {
			return &r.list[i]
		}
	}
	return nil
}

// end prints the verdict; true when nothing failed but what is listed. In the last
// line known failures are not counted: they are told of in the lines before.
func (r *report) end() bool {
	known := 0
	for i, e := range r.list {
		switch s := r.sightings[i]; {
		case e.isCase():
			r.print(fmt.Sprintf("known red, not run here: %s, `%s`, %s: %s (%s)\n", e.name(), e.command, e.seed, e.seen, e.issue))
		case len(s.packages) == 0:
			r.fail("%s is listed as known red and does not exist", e.name())
		case len(s.packages) > 1:
			where := strings.Join(s.packages, " and in ")
			r.fail("%s is listed as known red and is in %s: name the package", e.name(), where)
		case !s.failed:
			r.fail("%s is listed as known red and did not fail: take it off the list", e.name())
		default:
			known++
			r.print(fmt.Sprintf("known red, not counted below: %s, %s, %s\n", e.name(), e.seen, e.issue))
		}
	}
	if r.passed == 0 && known == 0 {
		r.fail("no test was run")
	}
	r.print(fmt.Sprintf("%d passed, %d failed\n", r.passed, r.failed))
	return r.failed == 0
}

// fail counts and prints a failure that is no test's own.
func (r *report) fail(format string, args ...any) {
	r.failed++
	r.print("FAIL: " + fmt.Sprintf(format, args...) + "\n")
}

func (r *report) printOutput(run *packageRun, tests []string) {
	for _, test := range tests {
		r.print(run.outputOfOne(test))
	}
}

func (r *report) print(text string) { io.WriteString(r.out, text) }
