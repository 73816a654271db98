// Command standin runs the scripted cases of the review: it starts the project's own
// programs as a small deployment on loopback addresses, plays clients, workers, operator
// and platform, and tells whether a rule was broken.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// mostTime bounds a whole case.
const mostTime = 110 * time.Second

// cases are the scripted cases by name. Each tells whether its rule was broken.
var cases = map[string]func(*run) (broken bool, err error){
	"retire":  retireCase,
	"cursors": cursorsCase,
	"defer":   deferCase,
	"full":    fullCase,
	"memory":  memoryCase,
}

// run is one run of a case.
type run struct {
	*record
	trouble bool
	dir     string
}

func main() { os.Exit(play()) }

// play runs the case that the arguments name.
func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return exitNotRun
	}
	out, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer out.close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		out.note("not run: %v", err)
		return exitNotRun
	}
	defer os.RemoveAll(dir)
	r := &run{record: out, trouble: os.Getenv("TROUBLE") != "0", dir: dir}
	r.note("case %s, trouble %v", os.Args[1], r.trouble)
	time.AfterFunc(mostTime, func() {
		r.note("not run: it took too long")
		killAll()
		os.RemoveAll(dir)
		os.Exit(exitNotRun)
	})
	go func() {
		told := make(chan os.Signal, 1)
		signal.Notify(told, syscall.SIGTERM, syscall.SIGINT)
		<-told
		killAll()
		os.RemoveAll(dir)
		os.Exit(exitNotRun)
	}()
	broken, err := cases[os.Args[1]](r)
	killAll()
	switch {
	case err != nil:
		r.note("not run: %v", err)
		return exitNotRun
	case broken:
		r.note("result: the rule was broken")
		return exitBroken
	}
	r.note("result: the rule held")
	return exitHeld
}
