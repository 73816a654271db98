package settings

import (
	"fmt"
	"strings"
	"testing"
)

const good = `node_name=edge-1
role=my-edge
machine_class=edge
served_roles=edge
ip_addr=127.0.0.1
avail_zone=a
region=r
zones.a=r
listen_addrs.front=127.0.0.1:8266
listen_addrs.readiness=127.0.0.1:8268
internal_ports=7120,7135
seed_nodes=127.0.0.1:8264,127.0.0.2:8264
initial_start=true
limits.memory_mb=284
beat_ms=1200
fault_tolerance.machines=1
timing_bounds.ping_s=2
timing_bounds.resend_s=10.5
tuning.wnd=4
some.later.field=x
`

func TestSettings(t *testing.T) {
	s, err := Parse([]byte(good))
	if err != nil {
		t.Fatal(err)
	}
	if s.Name != "edge-1" || s.ResendS != 10.5 || len(s.Seeds) != 2 || !s.First || s.Int("wnd", 8) != 4 || s.Int("bsz_kb", 64) != 64 {
		t.Fatalf("read as %+v", s)
	}
	if s.Inner(PortEdge) != "127.0.0.1:7122" {
		t.Fatalf("internal address %s", s.Inner(PortEdge))
	}
	for name, c := range map[string][2]string{
		"no name":         {"node_name=edge-1", "node_name="},
		"no zone":         {"avail_zone=a", ""},
		"bad address":     {"ip_addr=127.0.0.1", "ip_addr=here"},
		"one port":        {"internal_ports=7120,7135", "internal_ports=7120"},
		"no seeds":        {"seed_nodes=127.0.0.1:8264,127.0.0.2:8264", "seed_nodes="},
		"not a number":    {"timing_bounds.ping_s=2", "timing_bounds.ping_s=soon"},
		"zero ping":       {"timing_bounds.ping_s=2", "timing_bounds.ping_s=0"},
		"not a truth":     {"initial_start=true", "initial_start=perhaps"},
		"zone not text":   {"avail_zone=a", "avail_zone=a\xff"},
		"name not text":   {"node_name=edge-1", "node_name=edge\xff"},
		"line without =":  {"region=r", "region"},
		"unknown tuning":  {"tuning.wnd=4", "tuning.wndd=4"},
		"tuning too high": {"tuning.wnd=4", "tuning.wnd=4000"},
		"tuning is text":  {"tuning.wnd=4", "tuning.wnd=many"},
		"too many losses": {"fault_tolerance.machines=1", "fault_tolerance.machines=9"},
	} {
		_, err := Parse([]byte(strings.Replace(good, c[0], c[1], 1)))
		if err == nil {
			t.Errorf("%s: taken", name)
		} else if strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: more than one line: %q", name, err)
		}
	}
}

// TestBoundsHoldOneMessage: a bound that a single message or batch passes is refused: it would
// never be delivered, and asked for without an end.
func TestBoundsHoldOneMessage(t *testing.T) {
	for setting, least := range map[string]int{
		"client_out_kb": 32,       // a publish of 16 KiB, beside what else waits for a client
		"lane_frame_kb": 16 << 10, // a batch of one message, or a reply of many
	} {
		for value, taken := range map[int]bool{least: true, least - 1: false} {
			_, err := Parse([]byte(fmt.Sprintf("%stuning.%s=%d\n", good, setting, value)))
			if taken != (err == nil) {
				t.Errorf("%s=%d: %v", setting, value, err)
			}
		}
	}
}

// TestErrorsNameTheSetting: as the file has it, not as the schema does.
func TestErrorsNameTheSetting(t *testing.T) {
	for line, want := range map[string]string{
		"node_name=edge-1":            "field node_name:",
		"timing_bounds.ping_s=2":      "field timing_bounds.ping_s:",
		"timing_bounds.resend_s=10.5": "field timing_bounds.resend_s:",
		"internal_ports=7120,7135":    "field internal_ports",
		"beat_ms=1200":                "field beat_ms:",
	} {
		_, err := Parse([]byte(strings.Replace(good, line, "", 1)))
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("without %s: %v, want %q", line, err, want)
		}
	}
}

// TestPartsOfTheRules: a part in force asks for its figures, and one that is not for none.
func TestPartsOfTheRules(t *testing.T) {
	const keys = "contracts=base,tenants,quota\ntiming_bounds.revoke_ms=5000\ntiming_bounds.revocation_closed=true\n" +
		"timing_bounds.quota_window_s=5\ntiming_bounds.quota_excess=0.1\ntiming_bounds.quota_slack=20\n"
	s, err := Parse([]byte(good + keys))
	if err != nil {
		t.Fatal(err)
	}
	if !s.InForce(ContractTenants) || !s.InForce(ContractQuota) || s.InForce("topics") ||
		!s.RevokeAll || s.RevokeMs != 5000 || s.QuotaS != 5 || s.QuotaExcess != 0.1 || s.QuotaSlack != 20 {
		t.Errorf("read as %+v", s)
	}
	for line, field := range map[string]string{
		"timing_bounds.quota_window_s=5\n": "timing_bounds.quota_window_s",
		"timing_bounds.revoke_ms=5000\n":   "timing_bounds.revoke_ms",
	} {
		_, err := Parse([]byte(good + strings.Replace(keys, line, "", 1)))
		if err == nil || !strings.Contains(err.Error(), "field "+field+":") {
			t.Errorf("without %s: %v", field, err)
		}
		if _, err := Parse([]byte(good + strings.Replace(strings.Replace(keys, line, "", 1), "base,tenants,quota", "base", 1))); err != nil {
			t.Errorf("without %s, which is not asked for: %v", field, err)
		}
	}
	if _, err := Parse([]byte(good + strings.Replace(keys, "quota_excess=0.1", "quota_excess=-1", 1))); err == nil {
		t.Error("an excess below zero was taken")
	}
}
