package watch

import (
	"testing"

	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/invariant"
)

// TestFallingReleaseIsSeen: a configuration of a lower release is never taken up unnoticed.
func TestFallingReleaseIsSeen(t *testing.T) {
	update := func(release int64, body string) *controlapi.Update {
		return &controlapi.Update{Release: release, Config: controlapi.Pack([]byte(body))}
	}
	var s Subscription
	s.Configure(update(5, `{"config_release":5,"routing_entries":[]}`))
	invariant.Expect(t, invariant.ReleaseNeverFalls, func() {
		s.Configure(update(4, `{"config_release":4,"routing_entries":[]}`))
	})
}
