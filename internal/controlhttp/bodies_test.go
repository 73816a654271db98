package controlhttp

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"oxbowdeck/internal/requestbody"
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
	address := server.Listener.Addr().String()
	held := stalltest.HeapHeld(t, address, "PUT /v1/configuration", clients, body)
	if held > most+overhead {
		t.Errorf("%d clients that stall hold %d bytes", clients, held)
	}
	if got := putOf(t, address, `{"config_release":1}`); got == http.StatusServiceUnavailable {
		t.Errorf("a small configuration beside them is answered %d", got)
	}
}

// TestEightOrdersAtOnce: as many configurations of the largest size as operators may have under
// way are read beside each other.
func TestEightOrdersAtOnce(t *testing.T) {
	const body = 1 << 20
	budgets := newBodies(Bounds{Body: body})
	for number := range configurationsAtOnce {
		source := strings.NewReader(strings.Repeat("x", body))
		if _, err := budgets.configurations.Read(source, body); err != nil {
			t.Fatalf("number %d: %v", number+1, err)
		}
	}
	source := strings.NewReader(strings.Repeat("x", body))
	if _, err := budgets.configurations.Read(source, body); !errors.Is(err, requestbody.ErrBusy) {
		t.Errorf("one more: %v", err)
	}
}

// putOf gives what a configuration is answered.
func putOf(t *testing.T, address, configuration string) int {
	t.Helper()
	url := "http://" + address + "/v1/configuration"
	request, err := http.NewRequest(http.MethodPut, url, strings.NewReader(configuration))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("If-Match", "0")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	return response.StatusCode
}
