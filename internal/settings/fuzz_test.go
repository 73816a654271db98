package settings

import "testing"

// FuzzParse: no settings file makes the reader panic, and one that passes can be used.
func FuzzParse(f *testing.F) {
	f.Add([]byte("node_name=a\nip_addr=127.0.0.1\navail_zone=z\ninternal_ports=7120,7130\n" +
		"seed_nodes=127.0.0.2:8264\nbeat_ms=1000\ntiming_bounds.ping_s=2\ntiming_bounds.resend_s=10\n"))
	f.Add([]byte("a=b\n# c\n\ntuning.shards=4\nlimits.memory_mb=1e400\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		set, err := Parse(text)
		if err != nil {
			return
		}
		if set.Name == "" || len(set.Ports) != 2 || len(set.Seeds) == 0 {
			t.Fatalf("it passes: %q", text)
		}
		set.Inner(PortEdge)
		TransportBounds(set)
		ControlNodes(set)
	})
}
