package edge

import (
	"net"
	"strings"
	"testing"

	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/edgecore"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/shardapi"
)

// TestDecidedTimes: what is vouched for is the newest time that was heard before, and few samples
// are kept.
func TestDecidedTimes(t *testing.T) {
	const silence = 1600
	var times decidedTimes
	if got := times.before(1 << 40); got != 0 {
		t.Fatalf("nothing was heard, and %d is vouched for", got)
	}
	for now := ids.Millis(0); now < 10*silence; now += 10 {
		times.add(now, 5000+now, silence)
	}
	now := ids.Millis(10*silence - 10)
	if n := len(times.samples); n > timeSamples+2 {
		t.Fatalf("%d samples are kept", n)
	}
	for _, back := range []ids.Millis{0, silence / 2, silence} {
		at := now - back
		if got := times.before(at); got > 5000+at || got < 5000+at-2*silence/timeSamples {
			t.Errorf("%d ms ago: %d is vouched for, decided time was %d", back, got, 5000+at)
		}
	}
	times.add(now+silence, 7, silence)
	if got := times.before(now + silence); got == 7 {
		t.Error("decided time went back")
	}
}

// TestOldBytesAreNotTakenAsNew guards against a publish that stood in a frozen edge being forwarded
// as if its client had just written it.
func TestOldBytesAreNotTakenAsNew(t *testing.T) {
	const silence = ids.Millis(6400)
	d := newDaemon(bounds{clientOut: 1000, clientSilence: silence, maxCalls: 10, callsPerClient: 10})
	d.core = &edgecore.Core{Control: &controlapi.Client{Update: &controlapi.Update{Shards: make([]controlapi.Shard, 1)}}}
	d.feeds = []*shardFeed{{}}
	now := ids.MonotonicNow() + 2*silence
	for at := now - 2*silence; at <= now; at += silence / timeSamples {
		d.hearTimes(at, shardapi.Times{Groups: []shardapi.GroupTime{{Group: 0, Time: 100000 + at}, {Group: 9, Time: 1}}})
	}
	c := &conn{daemon: d, id: 1, client: "ann", attachedAt: now - 2*silence}
	if got, most := d.asOf(now, c, "a.x"), 100000+now-silence; got > most || got < most-silence {
		t.Errorf("a client that may have been silent is vouched for as of %d, want up to %d", got, most)
	}
	c.attachedAt = now - 10
	if got := d.asOf(now, c, "a.x"); got > 100000+now-10 || got < 100000+now-silence/4 {
		t.Errorf("a client that came 10 ms ago is vouched for as of %d at %d", got, 100000+now)
	}
	d.conns[1] = c
	near, far := net.Pipe()
	defer far.Close()
	c.netConn = near
	c.wake = make(chan struct{}, 1)
	c.heardAt = ids.MonotonicNow() - silence - 1
	d.handle(c, request{verb: verbPublish, topic: "a.x", seq: 5, body: []byte("body")})
	if len(d.calls) != 0 || d.conns[1] != nil || strings.Contains(string(c.pending), "PUBLISH") {
		t.Errorf("a publish after too long a silence: %d calls, connection kept: %v", len(d.calls), d.conns[1] != nil)
	}
}
