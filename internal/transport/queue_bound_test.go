package transport

import "testing"

// TestFullQueueBreaksTheLink: what waits for a peer that takes nothing stays within its bound, and
// the link ends instead of growing.
func TestFullQueueBreaksTheLink(t *testing.T) {
	h := New(Hello{Node: "a"}, Bounds{Queue: 100}, nil, func(*Link) {})
	l := &Link{hub: h, to: "b", ready: make(chan struct{}, 1)}
	sent := 0
	for l.SendRaw(1, make([]byte, 10)) {
		if sent++; sent > 20 {
			t.Fatal("it takes more than its bound")
		}
	}
	if sent < 5 || l.SendRaw(1, nil) {
		t.Errorf("%d frames were taken, and the link stands after the one that was not", sent)
	}
}
