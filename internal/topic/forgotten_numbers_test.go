package topic

import (
	"fmt"
	"testing"

	"oxbowdeck/internal/ids"
)

// fill has so many other clients publish once each.
func (p *play) fill(t *testing.T, at ids.Millis, clients int) {
	t.Helper()
	var commands []Command
	for i := range clients {
		commands = append(commands, pub(ids.Client(fmt.Sprintf("other%d.%d", at, i)), 1, 500))
	}
	p.run(t, at, commands...)
}

// TestForgottenNumbersStayRefused guards against a copy of a publish that arrives after the numbers
// of its client were let go of, for want of room, being accepted a second time or out of order.
func TestForgottenNumbersStayRefused(t *testing.T) {
	p := &play{State: New(small)}
	p.run(t, 0, pub("ann", 5, 500), pub("ann", 6, 500))
	p.fill(t, 1, 2*small.Publishers)
	late := 10 * small.Resend
	p.run(t, late)
	if p.Forgotten().Publishers == 0 {
		t.Fatal("a full table was not shortened")
	}
	for _, seq := range []ids.Seq{3, 5, 6} {
		if p.run(t, late+1, pub("ann", seq, 500)); p.verdicts[0] == Fresh {
			t.Errorf("number %d of a client that had 5 and 6 accepted was taken as new", seq)
		}
	}
}
