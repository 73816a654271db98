// Package main runs `go test` for CI and judges it by the list of tests that are known
// to fail (KNOWN-RED.txt in the folder it runs in, where it exists): exactly those may
// fail. A listed test that does not fail, or does not exist, fails the run as well.
//
// The list also holds cases that are no test of `go test`: these are printed.
//
// Its arguments are those of `go test`; "--" begins those of a further pass. A listed
// test fails as expected when it does in one of the passes.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"slices"
	"strings"
)

// listFile names the list.
const listFile = "KNOWN-RED.txt"

func main() {
	ok, err := run(os.Stdout, listFile, passes(os.Args[1:]), goTest)
	if err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
	}
	if err != nil || !ok {
		os.Exit(1)
	}
}

// passes splits the arguments at each "--".
func passes(args []string) (all [][]string) {
	for {
		i := slices.Index(args, "--")
		if i < 0 {
			return append(all, args)
		}
		all = append(all, args[:i])
		args = args[i+1:]
	}
}

// run makes the passes one after the other; true when nothing failed but what is listed.
func run(out io.Writer, path string, passes [][]string, test tester) (bool, error) {
	list, err := readList(path)
	if err != nil {
		return false, fmt.Errorf("%s: %w", path, err)
	}
	r := newReport(out, list)
	for _, args := range passes {
		if err := r.pass(args, test); err != nil {
			return false, err
		}
	}
	return r.end(), nil
}

// pass makes one pass. A `go test` that fails without a failure among its events could
// not begin or was ended.
func (r *report) pass(args []string, test tester) error {
	r.sawFailure = false
	r.print(fmt.Sprintf("go test %s\n", strings.Join(args, " ")))
	err := test(args, r.read)
	var exit *exec.ExitError
	switch {
	case err == nil:
		return nil
	case !errors.As(err, &exit):
		return err
	case !r.sawFailure:
		r.fail("go test: %v, and no test or package failed", err)
	}
	return nil
}

// tester runs `go test -json` and gives its output to a reader.
type tester func(args []string, read func(io.Reader) error) error

// goTest is the tester that runs the go command.
func goTest(args []string, read func(io.Reader) error) error {
	cmd := exec.Command("go", append([]string{"test", "-json"}, args...)...)
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	if err := read(out); err != nil {
		return errors.Join(err, cmd.Wait())
	}
	return cmd.Wait()
}
