package edge

import (
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/shardapi"
)

// A publish tells its shard how old it may be. Replicas say how far decided time has come; what
// an edge had heard before a client wrote is the age that it vouches for.

// timeSamples is how many samples of a shard's decided time are kept for each silence that a
// client may have.
const timeSamples = 16

// timeSample is decided time as it was heard.
type timeSample struct {
	heardAt ids.Millis // by this edge's steady clock
	decided ids.Millis
}

// decidedTimes is a shard's decided time as it was heard lately, the oldest first.
type decidedTimes struct {
	samples []timeSample
}

// add takes a sample, unless the one before is as recent. What is older than the newest sample
// beyond a client's silence is let go of.
func (t *decidedTimes) add(now, decided, silence ids.Millis) {
	if n := len(t.samples); n > 0 {
		last := t.samples[n-1]
		if now-last.heardAt < silence/timeSamples || decided < last.decided {
			return
		}
	}
	t.samples = append(t.samples, timeSample{heardAt: now, decided: decided})
	for len(t.samples) > 1 && now-t.samples[1].heardAt >= silence {
		t.samples = t.samples[1:]
	}
}

// before gives the decided time that had been heard at a time; 0 if none had.
func (t *decidedTimes) before(at ids.Millis) ids.Millis {
	for i := len(t.samples) - 1; i >= 0; i-- {
		if t.samples[i].heardAt <= at {
			return t.samples[i].decided
		}
	}
	return 0
}

// hearTimes takes a replica's word on decided time.
func (d *Daemon) hearTimes(now ids.Millis, x shardapi.Times) {
	for _, group := range x.Groups {
		if int(group.Group) < len(d.feeds) {
			d.feeds[group.Group].times.add(now, group.Time, d.bounds.clientSilence)
		}
	}
}

// oldest is what a publish tells of its age when nothing is known of it: 0 would say that this edge
// is of a version that tells nothing.
const oldest = ids.Millis(1)

// asOf gives decided time of a topic's shard that had passed before a client wrote what it is heard
// saying now: it writes after it was told that it is attached, and a longer silence ends it.
func (d *Daemon) asOf(now ids.Millis, c *conn, topic ids.Topic) ids.Millis {
	feed := d.feedOf(topic)
	if feed == nil {
		return oldest
	}
	return max(oldest, feed.times.before(max(c.attachedAt, now-d.bounds.clientSilence)))
}
