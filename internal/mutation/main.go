// Command mutation shows that the safeguards which docs/safety.md names have tests
// that need them. It copies the module to temporary folders, takes one safeguard
// away at a time by an edit listed in mutants.txt, runs the tests named there, and
// tells which edits no test noticed. It is run by hand, not by CI:
//
//	go run ./internal/mutation [-run REGEXP] [-parallel 2] [-fit]
//
// It fails when an edit no longer fits the source, when a mutant does not build, when
// a named test does not exist, when one that failed does so without the edit, too, when
// a mutant survives that the list does not name as a survivor, and when a named survivor
// is noticed.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"sync"
	"time"
)

const (
	list            = "internal/mutation/mutants.txt"
	mostParallel    = 3
	defaultParallel = 2
	defaultTimeout  = 4 * time.Minute // of one run of tests
)

func main() {
	pattern := flag.String("run", "", "try only the mutants whose names match")
	parallel := flag.Int("parallel", defaultParallel, "how many mutants are tried at a time, 3 at the most")
	fitOnly := flag.Bool("fit", false, "only see whether each edit still fits the source")
	timeout := flag.Duration("timeout", defaultTimeout, "of one run of tests; a test that hangs has noticed")
	flag.Parse()
	options := options{parallel: min(max(1, *parallel), mostParallel), timeout: *timeout, fitOnly: *fitOnly}
	ok, err := tryAll(*pattern, options)
	if err != nil {
		fmt.Fprintln(os.Stderr, "mutation:", err)
	}
	if err != nil || !ok {
		os.Exit(1)
	}
}

type options struct {
	parallel int
	timeout  time.Duration
	fitOnly  bool
}

// choose reads the list and gives the mutants whose names match.
func choose(pattern string) (chosen []mutant, err error) {
	wanted, err := regexp.Compile(pattern)
	if err != nil {
		return nil, err
	}
	file, err := os.Open(list)
	if err != nil {
		return nil, fmt.Errorf("%w: run it from the root of the module", err)
	}
	defer file.Close()
	all, err := parse(file)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", list, err)
	}
	for _, m := range all {
		if wanted.MatchString(m.name) {
			chosen = append(chosen, m)
		}
	}
	return chosen, nil
}

// tryAll tries the mutants whose names match; false if one is not as the list has it.
func tryAll(pattern string, options options) (bool, error) {
	chosen, err := choose(pattern)
	if err != nil {
		return false, err
	}
	if options.fitOnly {
		return fit(chosen)
	}
	temporary, err := os.MkdirTemp("", "mutation-")
	if err != nil {
		return false, err
	}
	defer os.RemoveAll(temporary)
	var copies []*tree
	for i := range options.parallel {
		t := &tree{root: filepath.Join(temporary, fmt.Sprint(i)), timeout: options.timeout}
		if err := t.copyFrom("."); err != nil {
			return false, err
		}
		copies = append(copies, t)
	}
	if err := copies[0].allExist(chosen); err != nil {
		return false, err
	}
	results := run(chosen, copies)
	return report(results), nil
}

// fit sees whether each edit fits the source; it changes nothing.
func fit(mutants []mutant) (ok bool, err error) {
	ok = true
	for _, m := range mutants {
		if _, _, err := m.edit("."); err != nil {
			ok = false
			fmt.Fprintf(os.Stderr, "%s: %v\n", m.name, err)
		}
	}
	fmt.Printf("%d edits\n", len(mutants))
	return ok, nil
}

// run tries mutants on several copies at a time; the results are in their order.
func run(mutants []mutant, copies []*tree) []result {
	results := make([]result, len(mutants))
	next := make(chan int)
	var workers sync.WaitGroup
	for _, t := range copies {
		workers.Go(func() {
			for i := range next {
				results[i] = t.try(mutants[i])
				fmt.Fprintln(os.Stderr, results[i].line())
			}
		})
	}
	for i := range mutants {
		next <- i
	}
	close(next)
	workers.Wait()
	return results
}

// report prints what came of each mutant as a table, and a count.
func report(results []result) bool {
	counts := map[verdict]int{}
	unexpected := 0
	fmt.Println("| edit | result | noticed by, or why it cannot be |")
	fmt.Println("|---|---|---|")
	for _, r := range results {
		counts[r.verdict]++
		if !r.expected() {
			unexpected++
		}
		fmt.Printf("| %s | %s | %s |\n", r.mutant.name, r.verdict, r.why())
	}
	fmt.Printf("\n%d edits: %d noticed, %d survived, %d in error; %d not as the list has it\n",
		len(results), counts[noticed], counts[survived], counts[failed], unexpected)
	return unexpected == 0
}
