package heartbeat

import (
	"net"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"oxbowdeck/internal/ids"
)

// TestReaderOutlivesAnError: an error of one read, as a kernel without room gives, does not end
// the hearing of heartbeats.
func TestReaderOutlivesAnError(t *testing.T) {
	heard := make(chan ids.Node, 10)
	detector := &Detector{Self: "127.0.0.1:0"}
	if err := detector.Listen(func(n ids.Node, _ ids.Incarnation) { heard <- n }); err != nil {
		t.Fatal(err)
	}
	defer detector.Close()
	detector.conn.SetReadDeadline(time.Now().Add(-time.Second)) // reads fail until it is lifted
	time.Sleep(50 * time.Millisecond)
	detector.conn.SetReadDeadline(time.Time{})
	sender, err := net.DialUDP("udp4", nil, detector.conn.LocalAddr().(*net.UDPAddr))
	if err != nil {
		t.Fatal(err)
	}
	defer sender.Close()
	payload, err := cbor.Marshal(heartbeat{Node: "n", Incarnation: 1})
	if err != nil {
		t.Fatal(err)
	}
	for range 50 {
		sender.Write(payload)
		select {
		case <-heard:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
	t.Fatal("heartbeats are not heard any more")
}
