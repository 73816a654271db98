package settings

import (
	"net"
	"strings"
	"time"

	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/heartbeat"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/transport"
)

// TransportBounds are the bounds of links between processes, from the settings.
func TransportBounds(s *Settings) transport.Bounds {
	return transport.Bounds{
		Queue:    s.Int("lane_queue_kb", 16<<10) << 10,
		Frame:    s.Int("lane_frame_kb", 64<<10) << 10,
		Dial:     time.Duration(s.Int("lane_dial_ms", 250)) * time.Millisecond,
		Silence:  time.Duration(s.Int("lane_silence_ms", 1500)) * time.Millisecond,
		RetryMin: time.Duration(s.Int("lane_retry_ms", 20)) * time.Millisecond,
		RetryMax: time.Duration(s.Int("lane_retry_max_ms", 250)) * time.Millisecond,
		Relay:    s.Relay,
		Idle:     time.Duration(s.Int("lane_idle_ms", 10_000)) * time.Millisecond,
	}
}

// HostOf gives the host of an address.
func HostOf(addr string) string {
	h, _, err := net.SplitHostPort(addr)
	if err != nil {
		return strings.TrimSpace(addr)
	}
	return h
}

// ControlNodes gives the control-plane processes of the seeds, by internal address.
func ControlNodes(s *Settings) []ids.Node {
	var out []ids.Node
	for _, x := range s.Seeds {
		out = append(out, InnerOf(HostOf(x), s.Ports, PortControl))
	}
	return out
}

// StartHeartbeats makes a node's part in the ring of heartbeats. Heartbeats heard are handed to
// do, the queue of the actor that owns the watch.
func StartHeartbeats(
	s *Settings, self controlapi.Node, do func(func()), report func(ids.Node, ids.Incarnation),
) (*heartbeat.Detector, error) {
	detector := &heartbeat.Detector{
		Self:        self.Addr,
		Incarnation: self.Incarnation,
		Heartbeat:   ids.Millis(s.HeartbeatMs),
		Report:      report,
		Relay:       s.Relay,
	}
	return detector, detector.Listen(func(n ids.Node, incarnation ids.Incarnation) {
		do(func() { detector.Heard(n, incarnation, ids.MonotonicNow()) })
	})
}
