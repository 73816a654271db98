// Package main holds the stand-ins and drivers of the review's scripts: it starts the
// project's programs as the deploy file says, plays clients, workers, the operator and
// the platform, writes down what was sent, answered and run, and judges one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit codes of a script.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitCouldnt = 2
)

// scenario plays a case; trouble is false for the same without the disruption. It returns
// what broke the rule, empty if it held.
type scenario func(r *record, trouble bool) (broken []string, err error)

var scenarios = map[string]scenario{}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standins CASE FOLDER")
		os.Exit(exitCouldnt)
	}
	r, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCouldnt)
	}
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupts
		endAll()
		os.Exit(exitCouldnt)
	}()
	broken, err := scenarios[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	endAll()
	code := exitHeld
	switch {
	case err != nil:
		r.note("the case could not run: %v", err)
		code = exitCouldnt
	case len(broken) > 0:
		for _, b := range broken {
			r.note("BROKEN %s", b)
		}
		code = exitBroken
	default:
		r.note("the rule held")
	}
	r.close()
	os.Exit(code)
}
