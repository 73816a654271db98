package store

import (
	"log/slog"
	"time"

	"oxbowdeck/internal/settings"
)

// Bounds of an orderly end.
const (
	handOverPolls = 40 // how often it is asked whether leaderships are handed over
	handOverPoll  = 15 * time.Millisecond
	attemptPoll   = 20 * time.Millisecond
	farewellTime  = 50 * time.Millisecond  // for the last frames to followers
	hubCloseTime  = 200 * time.Millisecond // for what is queued on links
)

// Stop hands leaderships over, sends the followers on, and ends.
func (d *Daemon) Stop() {
	d.handOverLeaderships()
	d.awaitAttempts()
	done := make(chan struct{})
	d.actor.Do(func() {
		d.followers.closeAll()
		d.replicas.RecordCommits()
		close(done)
	})
	<-done
	time.Sleep(farewellTime)
	d.detector.Close()
	d.hub.Close(hubCloseTime)
	d.actor.Stop()
	d.disk.Close()
}

// handOverLeaderships waits, for a bounded time, until no group is led here.
func (d *Daemon) handOverLeaderships() {
	d.actor.Do(func() {
		d.leaving = true
		d.replicas.Leave()
	})
	for range handOverPolls {
		leads := make(chan bool, 1)
		d.actor.Do(func() { leads <- d.replicas.Leads() })
		if !<-leads {
			return
		}
		time.Sleep(handOverPoll)
	}
}

// awaitAttempts waits, for a part of the time there is for a drain, until the
// attempts under way at workers have ended and their ends are decided.
func (d *Daemon) awaitAttempts() {
	if d.queue == nil {
		return
	}
	until := time.Now().Add(time.Duration(d.settings.DrainMs) * time.Millisecond / 2)
	for {
		attempts, ends := d.attemptsUnderWay()
		if attempts+ends == 0 {
			return
		}
		if time.Now().After(until) {
			slog.Warn("attempts-abandoned", "attempts", attempts, "ends", ends)
			return
		}
		time.Sleep(attemptPoll)
	}
}

// attemptsUnderWay counts the attempts under way, and the ends that are not decided.
func (d *Daemon) attemptsUnderWay() (attempts, ends int) {
	counted := make(chan struct{})
	d.actor.Do(func() {
		attempts, ends = d.queue.UnderWay()
		close(counted)
	})
	<-counted
	return attempts, ends
}

// Reload takes over what may change in a running process: whom to ask.
func (d *Daemon) Reload(set *settings.Settings) {
	d.actor.Do(func() { d.control.Seeds = settings.ControlNodes(set) })
}
