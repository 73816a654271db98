// Command standin-2 runs the cases of the second independent review: it starts the
// project's own programs as processes on loopback addresses, plays clients, workers, the
// platform and the operator towards them, and checks one rule from outside.
//
// Usage: standin-2 CASE FOLDER TROUBLE, from the root of the project. It exits with 1 if the
// rule was broken, with 0 if it held, and with 2 if the case couldn't run. TROUBLE is 0 to leave
// the disruption out; anything else plays it.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// mostSeconds is how long a case may take.
const mostSeconds = 112

// cases is each case by its name; a case tells whether its rule held.
var cases = map[string]func(*session) (bool, error){
	"spoiled-seal": spoiledSeal,
	"long-absence": longAbsence,
	"one-leaves":   oneLeaves,
}

// session is one play of a case.
type session struct {
	trouble bool
	began   time.Time
	fleet   *fleet

	mu     sync.Mutex
	record *os.File
}

// note writes a line to the record, with the seconds since the beginning.
func (s *session) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to the output.
func (s *session) say(format string, args ...any) {
	s.note(format, args...)
	fmt.Printf(format+"\n", args...)
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE FOLDER TROUBLE")
		os.Exit(failed)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Args[3] != "0"))
}

// play runs a case, with the disruption or without, and ends all that it started.
func play(run func(*session) (bool, error), folder string, trouble bool) int {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer record.Close()
	s := &session{trouble: trouble, began: time.Now(), record: record}
	s.fleet = &fleet{session: s}
	defer s.fleet.end()
	type result struct {
		ok  bool
		err error
	}
	done := make(chan result, 1)
	go func() {
		ok, err := run(s)
		done <- result{ok, err}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	select {
	case got := <-done:
		switch {
		case got.err != nil:
			s.say("could not run: %v", got.err)
			return failed
		case got.ok:
			s.say("HELD")
			return held
		}
		s.say("BROKEN")
		return broken
	case <-stop:
		s.say("stopped from outside")
	case <-time.After(mostSeconds * time.Second):
		s.say("took too long")
	}
	return failed
}
