package controlhttp

import (
	"net/http/httptest"
	"testing"
	"time"

	"oxbowdeck/internal/requestbody/stalltest"
)

// TestStalledBodies: clients that send most of a configuration and then nothing hold no more
// memory than the configurations that may be under way at once.
func TestStalledBodies(t *testing.T) {
	const (
		clients  = 60
		body     = 1 << 20
		most     = 8 * body
		overhead = 8 << 20 // of connections at both ends, and what is not collected
	)
	server := httptest.NewServer(handler(&node{}, Bounds{Body: body, Wait: time.Second}, nil))
	t.Cleanup(server.CloseClientConnections)
	held := stalltest.HeapHeld(t, server.Listener.Addr().String(), "PUT /v1/configuration", clients, body)
	if held > most+overhead {
		t.Errorf("%d clients that stall hold %d bytes", clients, held)
	}
}
