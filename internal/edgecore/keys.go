package edgecore

import (
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/settings"
	"oxbowdeck/internal/watch"
)

// KeyRules is how an edge treats the keys of tenants, from the settings.
type KeyRules struct {
	InForce bool // clients bear keys
	Quotas  bool // what tenants send is limited
	// Lapse is how long the configuration may be unconfirmed while keys are served by
	// it; 0: for ever.
	Lapse ids.Millis
}

const (
	// lapseMargin is left between the end of keys that can't be confirmed and the
	// time by which they must have ended.
	lapseMargin = ids.Millis(500)
	// minLapse is above what a confirmation counts for, so that keys don't lapse between
	// two probes.
	minLapse = ids.Millis(1000)
	// controlLease is how old a confirmation may be in itself: the time that a store
	// counts its control process as heard, and the lease of that one.
	controlLease = ids.Millis(2000)
)

// KeyRulesOf reads the rules for keys from the settings.
func KeyRulesOf(set *settings.Settings) KeyRules {
	rules := KeyRules{
		InForce: set.InForce(settings.ContractTenants),
		Quotas:  set.InForce(settings.ContractQuota),
	}
	if rules.InForce && set.RevokeAll {
		rules.Lapse = max(ids.Millis(set.RevokeMs)-controlLease-lapseMargin, minLapse)
	}
	return rules
}

// Lapsed tells whether it is too long ago that a configuration was surely the newest one
// for keys to be served by it.
func (r KeyRules) Lapsed(now ids.Millis, view *watch.View) bool {
	return r.Lapse > 0 && !view.ConfirmedWithin(now, r.Lapse)
}
