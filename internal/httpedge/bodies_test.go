package httpedge

import (
	"net/http/httptest"
	"testing"

	"oxbowdeck/internal/edgetest"
	"oxbowdeck/internal/requestbody/stalltest"
)

// TestStalledBodies: clients that send most of a body and then nothing hold no more memory than
// the messages under way may.
func TestStalledBodies(t *testing.T) {
	const (
		clients  = 200
		body     = 250 << 10
		most     = 1 << 20  // of messages under way
		overhead = 12 << 20 // of connections at both ends, and what is not collected
	)
	d := begun(t)
	d.bounds.maxBody = body
	d.bounds.maxBytes = most
	route := `{"config_release":1,"limits":{},"service_set":[{"label":"s"}],"routing_entries":[` +
		`{"label":"x","host_id":"","path_prefix":"/x","route_class":"deferred","service_ref":"s","hold_s":60}]}`
	edgetest.Configure(t, d.core, route, edgetest.LongQuiet)
	server := httptest.NewServer(run(d))
	t.Cleanup(server.CloseClientConnections)
	if held := stalltest.HeapHeld(t, server.Listener.Addr().String(), "POST /x", clients, body); held > most+overhead {
		t.Errorf("%d clients that stall hold %d bytes", clients, held)
	}
}
