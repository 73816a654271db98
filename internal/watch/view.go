package watch

import (
	"log/slog"

	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/invariant"
	"oxbowdeck/internal/shardapi"
	"oxbowdeck/internal/transport"
)

// View is the configuration an edge answers by, together with the last moment at which
// it is known to have been the newest one. A View does not change once it is made, so
// whoever decides something reads one View and decides by it alone.
type View struct {
	Config *controlapi.Config // never nil; release 0 is none

	confirmedAt ids.Millis // no newer configuration was in force then; 0: never confirmed
	validFor    ids.Millis // how long a confirmation counts
}

var emptyConfig controlapi.Config

// Known tells whether there is a configuration at all. What it allows may go on being
// served for as long as it is the newest that reached this process.
func (v *View) Known() bool { return v.Config.Release > 0 }

// Current tells whether the configuration was the newest one a moment ago, by the steady
// clock. It is the one condition under which a request is turned down for what the
// configuration says: a process that has just begun, was cut off or stood still may lack
// the version that allows it. No configuration is never confirmed.
func (v *View) Current(now ids.Millis) bool {
	return v.ConfirmedWithin(now, v.validFor)
}

// ConfirmedWithin tells whether the configuration was the newest one so lately, by the
// steady clock.
func (v *View) ConfirmedWithin(now, limit ids.Millis) bool {
	return v.confirmedAt > 0 && now-v.confirmedAt <= limit
}

// ConfirmedAge is how long ago the configuration was surely the newest one, by the steady
// clock; below 0: it never was.
func (v *View) ConfirmedAge(now ids.Millis) ids.Millis {
	if v.confirmedAt == 0 {
		return -1
	}
	return max(now-v.confirmedAt, 0)
}

// View gives the configuration to answer by; any goroutine may ask.
func (t *Subscription) View() *View {
	if v := t.view.Load(); v != nil {
		return v
	}
	return &View{Config: &emptyConfig}
}

// Configure takes up the configuration of an update. It tells whether that is another
// one than before.
func (t *Subscription) Configure(n *controlapi.Update) bool {
	before := t.View()
	if n.Release == before.Config.Release {
		return false
	}
	if n.Release < before.Config.Release {
		invariant.Violated(invariant.ReleaseNeverFalls, "release", n.Release, "before", before.Config.Release, "seq", n.Seq)
	}
	config, err := controlapi.ReadConfig(n.Config)
	if err != nil {
		slog.Warn("config-unreadable", "release", n.Release, "err", err)
		t.view.Store(&View{Config: before.Config}) // a newer one is in force
		return false
	}
	t.view.Store(&View{Config: config, confirmedAt: before.confirmedAt, validFor: t.confirmationValid()})
	slog.Info("config", "release", config.Release, "spaces", len(config.Spaces))
	return true
}

// confirmationValid is how long a confirmation counts. With the time a store counts its control process as heard
// (news_quiet_ms) and the lease of that one (norm_lease_ms) it stays below contact_ms.
func (t *Subscription) confirmationValid() ids.Millis { return 2 * t.Quiet }

// probeInterval is how long after a probe the next one is due. A confirmation is as old as
// its probe, and the next comes an interval and a heartbeat later: it must still count
// when a source is held up for as long as it may be silent. An answer that is late is
// waited for, else a slow source would never be seen to answer.
func (t *Subscription) probeInterval() ids.Millis {
	if t.probeOpen {
		return t.Quiet
	}
	return t.Quiet / 2
}

// probe asks the update source for a sign that bears this process's own time: what is
// heard from it afterwards was sent after the probe, however long this process stood
// still or the link held it up.
func (t *Subscription) probe(now ids.Millis, l *transport.Link) {
	if t.probeAt > 0 && now-t.probeAt < t.probeInterval() {
		return
	}
	t.probeAt, t.probeOpen = now, true
	l.Send(shardapi.KindPing, shardapi.Ping{At: now})
}

// Pong takes the answer to a probe; false if it answers somebody else's ping.
func (t *Subscription) Pong(l *transport.Link, p shardapi.Ping) bool {
	if l != t.source || !t.probeOpen || p.At != t.probeAt {
		return false
	}
	t.probeOpen, t.answeredAt = false, p.At
	return true
}

// confirm notes that the update source, in touch with the control plane, has no newer
// update than this process. It said so after it had answered the last probe.
func (t *Subscription) confirm(seq ids.Slot) {
	update, v := t.Control.Update, t.View()
	switch {
	case update == nil || !v.Known() || v.Config.Release != update.Release:
		return // there is nothing to confirm, or it could not be read
	case seq == 0 || seq > update.Seq:
		return // the source has no update itself, or a newer one
	case t.answeredAt <= v.confirmedAt:
		return // nothing was sent after a later probe: it adds nothing
	}
	t.view.Store(&View{Config: v.Config, confirmedAt: t.answeredAt, validFor: t.confirmationValid()})
}
