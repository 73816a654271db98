package edge

import (
	"strings"
	"testing"

	"oxbowdeck/internal/edgetest"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
	"oxbowdeck/internal/shardapi"
	"oxbowdeck/internal/transport"
)

const oneSpace = `{"config_release":1,"limits":{"subscriptions":1},"routing_entries":[` +
	`{"label":"a","host_id":"","path_prefix":"a.","route_class":"retained","keep_s":60}]}`

// begun is an edge that has just begun.
func begun(t *testing.T) *Daemon {
	t.Helper()
	d := newDaemon(bounds{maxCalls: 100, callsPerClient: 100, clientOut: 1000, clientSilence: 1 << 30})
	d.core = edgetest.NewCore(t)
	return d
}

// configured is an edge that an update source brought a configuration, and the link to
// that source.
func configured(t *testing.T, quiet ids.Millis) (d *Daemon, source *transport.Link) {
	t.Helper()
	d = begun(t)
	source = edgetest.Configure(t, d.core, oneSpace, quiet)
	d.feeds = []*shardFeed{{link: source}}
	return d, source
}

// cutOff is an edge that nobody has confirmed the configuration to for too long.
func cutOff(t *testing.T) *Daemon {
	d, _ := configured(t, edgetest.ShortQuiet)
	edgetest.OutlastShortQuiet()
	return d
}

// stoodStill is an edge that stood still for too long, and then read what had waited in
// its buffers.
func stoodStill(t *testing.T) *Daemon {
	d, source := configured(t, edgetest.ShortQuiet)
	edgetest.StandStill(d.core, source)
	return d
}

// ruledOut is a request that the configuration rules out.
type ruledOut struct {
	name     string
	ask      func(d *Daemon, c *conn)
	rejected string // by the newest configuration
	unsure   string // by one that may not be the newest
}

// take hands an edge a request.
func take(w request) func(*Daemon, *conn) { return func(d *Daemon, c *conn) { d.handle(c, w) } }

func publishOf(seq ids.Seq) request {
	return request{verb: verbPublish, topic: "b.x", seq: seq, body: []byte("body")}
}

var allRuledOut = []ruledOut{
	{"publish", take(publishOf(7)), "PUBLISH b.x 7 NOSPACE", "PUBLISH b.x 7 RETRY"},
	{"publish that may run", func(d *Daemon, c *conn) {
		d.uncertain[paxos.ID{Origin: "ann", Seq: 8}] = 1
		d.handle(c, publishOf(8))
	}, "PUBLISH b.x 8 NOSPACE", "PUBLISH b.x 8 UNKNOWN"},
	{"publish under way", func(d *Daemon, c *conn) {
		d.calls[paxos.ID{Origin: "ann", Seq: 9}] = &call{topic: "b.x"}
		d.handle(c, publishOf(9))
	}, "PUBLISH b.x 9 NOSPACE", "PUBLISH b.x 9 UNKNOWN"},
	{"subscribe", take(request{verb: verbSubscribe, topic: "b.x"}),
		"SUBSCRIBE b.x - NOSPACE", "SUBSCRIBE b.x - RETRY"},
	{"census", take(request{verb: verbCensus, topic: "b.x"}),
		"CENSUS b.x - NOSPACE", "CENSUS b.x - RETRY"},
	{"subscribe past the limit", func(d *Daemon, c *conn) {
		c.subscriptions = map[ids.Topic]*subscription{"other": nil}
		d.handle(c, request{verb: verbSubscribe, topic: "a.x"})
	}, "SUBSCRIBE a.x - TOOLARGE", "SUBSCRIBE a.x - RETRY"},
	{"subscribe at another shard's cursor",
		take(request{verb: verbSubscribe, topic: "a.x", arg: ids.Cursor(5, 5)}),
		"SUBSCRIBE a.x - EXPIRED", "SUBSCRIBE a.x - RETRY"},
	{"subscribe at a place that is gone", func(d *Daemon, c *conn) {
		d.handle(c, request{verb: verbSubscribe, topic: "a.x", arg: ids.Cursor(0, 5)})
		d.joined(shardapi.Joined{Req: d.lastRequest, Topic: "a.x", Expired: true})
	}, "SUBSCRIBE a.x - EXPIRED", "SUBSCRIBE a.x - RETRY"},
}

// TestRejectedByTheNewestConfigurationAlone: what the configuration rules out is
// rejected for good only by an edge that knows it has the newest one; one that has just
// begun, was cut off or stood still says RETRY, and UNKNOWN of a publish of which an
// earlier try may run.
func TestRejectedByTheNewestConfigurationAlone(t *testing.T) {
	states := map[string]func(*testing.T) *Daemon{
		"is current":     func(t *testing.T) *Daemon { d, _ := configured(t, edgetest.LongQuiet); return d },
		"has just begun": begun,
		"was cut off":    cutOff,
		"stood still":    stoodStill,
	}
	for state, start := range states {
		for _, a := range allRuledOut {
			d := start(t)
			c := &conn{daemon: d, id: 1, client: "ann"}
			d.conns[1] = c
			a.ask(d, c)
			want := a.unsure
			if state == "is current" {
				want = a.rejected
			}
			if got := strings.TrimSpace(string(c.pending)); got != "REJECT "+want {
				t.Errorf("an edge that %s, %s: answered %q, not %q", state, a.name, got, want)
			}
		}
	}
	// what the last known configuration allows goes on
	d := cutOff(t)
	c := &conn{daemon: d, id: 1, client: "ann"}
	d.conns[1] = c
	d.handle(c, request{verb: verbPublish, topic: "a.x", seq: 7, body: []byte("body")})
	if len(d.calls) != 1 || len(c.pending) > 0 {
		t.Errorf("an edge that was cut off took %d calls and answered %q", len(d.calls), c.pending)
	}
}
