package settings

import (
	"errors"
	"strings"
	"testing"
)

// TestTestOnlySettings: what is for tests on one machine is taken at a loopback address alone, and
// is never deployable.
func TestTestOnlySettings(t *testing.T) {
	const lines = "node_name=a\nip_addr=127.0.0.1\navail_zone=z\ninternal_ports=7120,7130\n" +
		"seed_nodes=127.0.0.2:8264\nbeat_ms=1000\ntiming_bounds.ping_s=2\ntiming_bounds.resend_s=10\n"
	plain, err := Parse([]byte(lines))
	if err != nil || plain.CheckDeployable() != nil {
		t.Fatalf("%v, %v", err, plain.CheckDeployable())
	}
	for _, extra := range []string{"test_only.relay=127.0.0.9:7000\n", "test_only.disk_fault=/tmp/x\n"} {
		set, err := Parse([]byte(lines + extra))
		if err != nil || !errors.Is(set.CheckDeployable(), ErrTestOnly) {
			t.Errorf("%q: %v", extra, err)
		}
		elsewhere := strings.Replace(lines, "ip_addr=127.0.0.1", "ip_addr=10.0.0.1", 1)
		if _, err := Parse([]byte(elsewhere + extra)); !errors.Is(err, ErrTestOnly) {
			t.Errorf("%q is taken at another address: %v", extra, err)
		}
	}
	if _, err := Parse([]byte(lines + "test_only.relay=10.0.0.9:7000\n")); err == nil {
		t.Error("a relay elsewhere is taken")
	}
}
