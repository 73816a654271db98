package store

import (
	"math/rand/v2"

	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
	"oxbowdeck/internal/settings"
	"oxbowdeck/internal/topic"
)

// bytesPerKB converts sizes in the settings.
const bytesPerKB = 1 << 10

// resendPeriods is how many resend periods of a client accepted numbers are
// remembered for, at the least.
const resendPeriods = 3

// clientsPerMark is how many clients have their highest number remembered for each pair of client
// and topic that may be.
const clientsPerMark = 2

// lateTime is how long after an acceptance its client may still write copies: half as long again
// as it may repeat a number, since a decision counts from when its batch was opened.
func lateTime(set *settings.Settings) ids.Millis { return set.ResendTime() * 3 / 2 }

// rememberTime is how long accepted numbers are remembered: longer than late copies may be written
// and the silence of a client that an edge bears, so that what is written now is never too old.
func rememberTime(set *settings.Settings) ids.Millis {
	return max(resendPeriods*set.ResendTime(), lateTime(set)+2*set.ClientSilence())
}

// reportSlack is added to the time for which the settings say that the outcome of
// a message is told.
const reportSlack = ids.Millis(5000)

// groupConfig gives a shard group's bounds. docs/design.md tells which defaults
// were chosen by measurement, and which were not varied yet.
func groupConfig(set *settings.Settings, group ids.Group, self paxos.Member) paxos.Config {
	return paxos.Config{
		Group:             group,
		Self:              self,
		Window:            set.Int("wnd", 8),
		WindowBytes:       set.Int("wnd_kb", 512) * bytesPerKB,
		BatchBytes:        set.Int("bsz_kb", 64) * bytesPerKB,
		BatchTimeout:      ids.Millis(set.Int("batch_ms", 12)),
		HeartbeatInterval: ids.Millis(set.Int("beat_ms", 80)),
		ElectionTimeout:   ids.Millis(set.Int("patience_ms", 300)),
		ElectionBackoff:   ids.Millis(set.Int("stagger_ms", 80)),
		OpenBytes:         set.Int("open_kb", 2048) * bytesPerKB,
		FeedBytes:         set.Int("feed_kb", 128) * bytesPerKB,
		DisconnectTimeout: ids.Millis(set.Int("impatience_ms", 30)),
		RetransmitTimeout: ids.Millis(set.Int("nudge_ms", 30)),
		SlowBatch:         ids.Millis(set.Int("slow_ms", 150)),
		QuorumTimeout:     ids.Millis(set.Int("quorum_ms", 3000)),
		DurableCopies:     set.Losses + 1,
		Salt:              rand.N(paxos.MostSalt),
	}
}

// Bounds gives what a shard's state may hold.
func Bounds(set *settings.Settings) topic.Bounds {
	marks := set.Int("marks", 100000)
	return topic.Bounds{
		Slack:      ids.Millis(set.Int("keep_slack_ms", 15000)),
		Resend:     rememberTime(set),
		Late:       lateTime(set),
		Publishers: marks,
		Clients:    marks * clientsPerMark,
		Topics:     set.Int("topics", 50000),
		Quiet:      set.Int("quiet_topics", 1000000),
		Live:       ids.Millis(set.Int("live_keep_ms", 8000)),
		SweepMs:    1000,
	}
}

// Report is how long a shard tells how messages ended; every replica of a group
// runs with the same.
func Report(set *settings.Settings) ids.Millis {
	return ids.Millis(set.ReportS*1000) + reportSlack
}
