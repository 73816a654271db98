package localcluster

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// frozenEdgeTest is a deployment whose shards hold few clients' numbers, and for a short time.
type frozenEdgeTest struct {
	t      *testing.T
	run    *localRun
	fronts []string
}

// TestFrozenEdgeBringsAnOldPublish guards against a publish that stood still in a frozen edge, for
// longer than its client's numbers are kept, being delivered again after later ones.
func TestFrozenEdgeBringsAnOldPublish(t *testing.T) {
	t.Parallel()
	run := startLocal(t, t.TempDir(), "--port", "22300", "--net", strconv.Itoa(network(2)),
		"--setting", "tuning.marks=20",
		"--setting", "timing_bounds.resend_s=0.5",
		"--setting", "timing_bounds.ping_s=1")
	x := &frozenEdgeTest{t: t, run: run, fronts: run.awaitReady()}
	watcher := attach(t, x.fronts[2], "watcher")
	cursor := watcher.subscribe("room.1")
	first := attach(t, x.fronts[0], "ann")
	first.publish("room.1", "4", body20)

	frozen := run.children()["edge-zone-1-1"]
	syscall.Kill(frozen, syscall.SIGSTOP)
	t.Cleanup(func() { syscall.Kill(frozen, syscall.SIGCONT) })
	first.say("PUBLISH room.1 5 20", body20)
	second := attach(t, x.fronts[1], "ann")
	second.publish("room.1", "5", body20)
	second.publish("room.1", "6", body20)
	x.awaitForgotten(cursor)
	syscall.Kill(frozen, syscall.SIGCONT)

	time.Sleep(2 * time.Second) // the old bytes are read and decided
	second.publish("room.1", "7", body20)
	if got := x.deliveredUntil(watcher, "7"); !slices.Equal(got, []string{"4", "5", "6", "7"}) {
		t.Errorf("the subscriber was handed %v of a client that published 4 to 7, each once", got)
	}
}

// awaitForgotten makes new clients' numbers until all stores have forgotten older ones in the shard
// of a cursor.
func (x *frozenEdgeTest) awaitForgotten(cursor string) {
	x.t.Helper()
	group, _, _ := strings.Cut(strings.TrimPrefix(cursor, "c"), "-")
	other := attach(x.t, x.fronts[1], "other")
	published := 0
	eventually(x.t, "the shard's table to be full and shortened", func() bool {
		for range 10 {
			published++
			other.publish(fmt.Sprint("room.other", published), strconv.Itoa(published), body20)
		}
		stores := 0
		for zone := 1; zone <= 3; zone++ {
			if x.forgot(fmt.Sprint("store-zone-", zone), group) {
				stores++
			}
		}
		return stores == 3
	})
}

// forgot tells whether a store's log says that it forgot numbers in a group.
func (x *frozenEdgeTest) forgot(store, group string) bool {
	for _, line := range strings.Split(x.run.output(), "\n") {
		if strings.HasPrefix(line, store) && strings.Contains(line, "msg=tables-full group="+group+" ") {
			return true
		}
	}
	return false
}

// deliveredUntil reads ann's messages up to a number, and gives all their numbers.
func (x *frozenEdgeTest) deliveredUntil(c *lineClient, last string) (numbers []string) {
	x.t.Helper()
	for {
		fields := c.want("DELIVER room.1 ")
		c.want(body20)
		numbers = append(numbers, fields[4])
		if fields[4] == last {
			return numbers
		}
	}
}
