package voice

import (
	"strings"
	"testing"

	"oxbowdeck/internal/accord"
	"oxbowdeck/internal/trace"
	"oxbowdeck/internal/unit"
)

// TestRetryOnlyWhenTheOneCopyWasTurnedAway: a call that went out twice may run
// by the other copy, so a full store's word on one of them promises nothing.
func TestRetryOnlyWhenTheOneCopyWasTurnedAway(t *testing.T) {
	for _, c := range []struct {
		name   string
		tries  int
		nudged bool
		full   bool
		retry  bool
	}{
		{"one copy, full", 1, false, true, true},
		{"one copy, not the leader", 1, false, false, false},
		{"a second on the other path", 1, true, true, false},
		{"forwarded to two leaders", 2, false, true, false},
	} {
		d := &Daemon{calls: map[accord.ID]*call{}}
		cn := &conn{d: d, id: 1}
		id := accord.ID{Origin: "ann", Seq: 7}
		d.calls[id] = &call{req: accord.Request{ID: id}, topic: "a.x", seq: 7, c: cn, tries: c.tries, nudged: c.nudged, end: unit.Steady() + 1000}
		d.denied(trace.Deny{Full: c.full, IDs: []accord.ID{id}})
		if got := strings.Contains(string(cn.fresh), "RETRY"); got != c.retry {
			t.Errorf("%s: answered %q", c.name, cn.fresh)
		}
		if _, open := d.calls[id]; open == c.retry {
			t.Errorf("%s: still open: %v", c.name, open)
		}
	}
}
