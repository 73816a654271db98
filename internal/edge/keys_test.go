package edge

import (
	"net"
	"strings"
	"testing"
	"time"

	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/edgetest"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
	"oxbowdeck/internal/shardapi"
)

// keyedConfig has a closed space, an open one, and a tenant with the keys that stand in
// place of KEYS.
const keyedConfig = `{"config_release":RELEASE,"limits":{},"routing_entries":[` +
	`{"label":"a","host_id":"","path_prefix":"a.","route_class":"retained","keep_s":60},` +
	`{"label":"o","host_id":"","path_prefix":"o.","route_class":"live","no_auth":true}],` +
	`"tenant_accounts":[{"label":"t","access_keys":[KEYS]},{"label":"u","access_keys":["other"]}]}`

// keyedUpdate is the update that brings a version of keyedConfig.
func keyedUpdate(d *Daemon, release, keys string) {
	edgetest.Replace(d.core, keyedConfig, release, keys)
}

// keyedEdge is an edge with keys in force, whose configuration is current for so long.
func keyedEdge(t *testing.T, quiet ids.Millis) *Daemon {
	d, _ := configured(t, quiet)
	d.bounds.keys.InForce = true
	keyedUpdate(d, "2", `"k1","k2"`)
	return d
}

// join gives an edge a connection that has attached with a key; none if it is empty.
func join(t *testing.T, d *Daemon, name, key string) *conn {
	t.Helper()
	d.lastConn++
	near, far := net.Pipe()
	t.Cleanup(func() { near.Close(); far.Close() })
	c := &conn{daemon: d, id: d.lastConn, netConn: near, wake: make(chan struct{}, 1)}
	d.conns[c.id] = c
	d.handle(c, request{verb: verbAttach, arg: name, key: key})
	if got := answer(c); got != "SUCCESS ATTACH" {
		t.Fatalf("attach with key %q: %q", key, got)
	}
	return c
}

// answer takes what a connection was sent since the last call.
func answer(c *conn) string {
	text := strings.TrimSpace(string(c.pending))
	c.pending = nil
	return text
}

// subscribeNow subscribes a connection, and has the followed replica answer.
func subscribeNow(t *testing.T, d *Daemon, c *conn, name ids.Topic) {
	t.Helper()
	d.handle(c, request{verb: verbSubscribe, topic: name})
	d.joined(shardapi.Joined{Req: d.lastRequest, Topic: name, End: 5})
	if got := answer(c); !strings.HasPrefix(got, "SUCCESS SUBSCRIBE") {
		t.Fatalf("subscribe to %s: %q", name, got)
	}
}

// TestAttachWithKeys: an unknown key is refused for good only by an edge that knows it
// has the newest configuration; a connection keeps its name and key.
func TestAttachWithKeys(t *testing.T) {
	for _, c := range []struct {
		name         string
		first, again request
		stale        bool
		want         string
	}{
		{name: "known key", again: request{arg: "ann", key: "k2"}, want: "SUCCESS ATTACH"},
		{name: "no key", again: request{arg: "ann"}, want: "SUCCESS ATTACH"},
		{name: "unknown key", again: request{arg: "ann", key: "k3"}, want: "REJECT ATTACH - - NOAUTH"},
		{name: "unknown key, configuration old", again: request{arg: "ann", key: "k3"}, stale: true,
			want: "REJECT ATTACH - - RETRY"},
		{name: "the same again", first: request{arg: "ann", key: "k1"}, again: request{arg: "ann", key: "k1"},
			want: "SUCCESS ATTACH"},
		{name: "another key", first: request{arg: "ann", key: "k1"}, again: request{arg: "ann", key: "k2"},
			want: "REJECT ATTACH - - MALFORMED"},
		{name: "a key later", first: request{arg: "ann"}, again: request{arg: "ann", key: "k2"},
			want: "REJECT ATTACH - - MALFORMED"},
		{name: "another name", first: request{arg: "ann", key: "k1"}, again: request{arg: "bob", key: "k1"},
			want: "REJECT ATTACH - - MALFORMED"},
	} {
		quiet := edgetest.LongQuiet
		if c.stale {
			quiet = edgetest.ShortQuiet
		}
		d := keyedEdge(t, quiet)
		if c.stale {
			edgetest.OutlastShortQuiet()
		}
		x := &conn{daemon: d, id: 1}
		d.conns[1] = x
		for _, w := range []request{c.first, c.again} {
			if w.arg != "" {
				answer(x)
				w.verb = verbAttach
				d.handle(x, w)
			}
		}
		if got := answer(x); got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
	d, _ := configured(t, edgetest.LongQuiet) // keys are not in force
	x := &conn{daemon: d, id: 1}
	d.conns[1] = x
	d.handle(x, request{verb: verbAttach, arg: "ann", key: "k1"})
	if got := answer(x); got != "REJECT ATTACH - - MALFORMED" {
		t.Errorf("a key where none are in force: %q", got)
	}
}

// TestSpacesAskForKeys: a client without a key uses open spaces alone, one with a key
// that is there uses all.
func TestSpacesAskForKeys(t *testing.T) {
	d := keyedEdge(t, edgetest.LongQuiet)
	keyed, keyless := join(t, d, "ann", "k1"), join(t, d, "bob", "")
	for _, w := range []request{
		{verb: verbSubscribe, topic: "a.x"},
		{verb: verbCensus, topic: "a.x"},
		{verb: verbPublish, topic: "a.x", seq: 7, body: []byte("body")},
	} {
		d.handle(keyless, w)
		if got, want := answer(keyless), strings.TrimSpace(string(reject(nil, w.verb, w.topic, w.seq, causeNoAuth))); got != want {
			t.Errorf("without a key: %q, want %q", got, want)
		}
		d.handle(keyed, w)
		if got := answer(keyed); got != "" {
			t.Errorf("%s with a key: %q", w.verb, got)
		}
	}
	subscribeNow(t, d, keyless, "o.x")
	subscribeNow(t, d, keyed, "o.x")
}

// TestWithdrawnKey: a version that takes a key away ends the subscriptions under it, also
// those that wait for an answer, and in open spaces; nothing is delivered to them or taken
// from them, and other keys go on.
func TestWithdrawnKey(t *testing.T) {
	d := keyedEdge(t, edgetest.LongQuiet)
	gone, other, open := join(t, d, "ann", "k1"), join(t, d, "bob", "k2"), join(t, d, "cat", "")
	subscribeNow(t, d, gone, "a.x")
	subscribeNow(t, d, other, "a.x")
	subscribeNow(t, d, gone, "o.x")
	subscribeNow(t, d, open, "o.x")
	d.handle(gone, request{verb: verbSubscribe, topic: "a.y"})
	waiting := d.lastRequest

	keyedUpdate(d, "3", `"k2"`)
	d.endRemoved()
	got := answer(gone)
	for _, topic := range []string{"a.x", "a.y", "o.x"} {
		if !strings.Contains(got, "REJECT SUBSCRIBE "+topic+" - NOAUTH") {
			t.Errorf("not told of the end of %s: %q", topic, got)
		}
	}
	if len(gone.subscriptions) != 0 || len(other.subscriptions) != 1 || len(open.subscriptions) != 1 {
		t.Errorf("subscriptions: %d, %d, %d", len(gone.subscriptions), len(other.subscriptions), len(open.subscriptions))
	}
	d.joined(shardapi.Joined{Req: waiting, Topic: "a.y", End: 6})
	d.deliverAll(d.topics["a.x"], 9, "bob", 1, []byte("body"))
	if got := answer(gone); got != "" {
		t.Errorf("delivered under a key that is gone: %q", got)
	}
	if got := answer(other); !strings.HasPrefix(got, "DELIVER a.x") {
		t.Errorf("not delivered under a key that is there: %q", got)
	}
	for _, topic := range []ids.Topic{"a.x", "o.x"} {
		d.handle(gone, request{verb: verbSubscribe, topic: topic})
		if got, want := answer(gone), "REJECT SUBSCRIBE "+string(topic)+" - NOAUTH"; got != want {
			t.Errorf("after the end: %q, want %q", got, want)
		}
	}
}

// TestRemovedSpaceIsTold: where keys are in force the end of a subscription is told; it
// is not where clients don't know such an answer.
func TestRemovedSpaceIsTold(t *testing.T) {
	for _, inForce := range []bool{true, false} {
		d := keyedEdge(t, edgetest.LongQuiet)
		c := join(t, d, "ann", "k1")
		subscribeNow(t, d, c, "a.x")
		d.bounds.keys.InForce = inForce
		update := *d.core.Control.Update
		update.Release++
		update.Config = controlapi.Pack([]byte(`{"config_release":4,"limits":{},"routing_entries":[],` +
			`"tenant_accounts":[{"label":"t","access_keys":["k1"]}]}`))
		d.core.Updates.Configure(&update)
		d.endRemoved()
		want := ""
		if inForce {
			want = "REJECT SUBSCRIBE a.x - NOSPACE"
		}
		if got := answer(c); got != want || len(c.subscriptions) != 0 {
			t.Errorf("in force %v: %q, %d subscriptions left", inForce, got, len(c.subscriptions))
		}
	}
}

// TestKeysLapse: where a withdrawn key must end everywhere, an edge that can't confirm its
// configuration ends the connections of clients with keys, before it delivers or takes
// anything more; clients without a key stay.
func TestKeysLapse(t *testing.T) {
	for _, how := range []string{"a request", "a delivery", "time"} {
		d := keyedEdge(t, edgetest.LongQuiet) // current until both have joined, however busy the machine is
		keyed, keyless := join(t, d, "ann", "k1"), join(t, d, "bob", "")
		subscribeNow(t, d, keyed, "a.x")
		subscribeNow(t, d, keyless, "o.x")
		d.core.Updates.Quiet, d.bounds.keys.Lapse = edgetest.ShortQuiet, 4*edgetest.ShortQuiet
		keyedUpdate(d, "3", `"k1","k2"`)
		time.Sleep((4*edgetest.ShortQuiet + 10).Duration())
		switch how {
		case "a request":
			d.handle(keyed, request{verb: verbPublish, topic: "a.x", seq: 7, body: []byte("body")})
		case "a delivery":
			d.flow(d.feeds[0].link, shardapi.Flow{Items: []shardapi.Item{{Topic: "a.x", Pos: 9, Client: "cat", Seq: 1}}})
		case "time":
			d.endLapsed(ids.MonotonicNow())
		}
		if d.conns[keyed.id] != nil || d.conns[keyless.id] == nil {
			t.Errorf("%s: the client with a key stays: %v; the one without: %v", how,
				d.conns[keyed.id] != nil, d.conns[keyless.id] != nil)
		}
		if got := answer(keyed); got != "" || publishing(d) > 0 {
			t.Errorf("%s: %q was sent, %d publishes were taken, under a key that can't be confirmed", how, got, publishing(d))
		}
	}
}

// publishing counts the publishes that an edge has taken on.
func publishing(d *Daemon) (n int) {
	for _, x := range d.calls {
		if x.seq > 0 {
			n++
		}
	}
	return n
}

// TestOverQuota: a call that its tenant's limit turned away ends at once, with RETRY if
// no other copy of it can run, else UNKNOWN. Calls bear the tenant that they count for.
func TestOverQuota(t *testing.T) {
	d := keyedEdge(t, edgetest.LongQuiet)
	d.bounds.keys.Quotas = true
	d.bounds.resendWindow = 1
	d.bounds.giveUpMargin = edgetest.LongQuiet
	keyed, keyless := join(t, d, "ann", "k1"), join(t, d, "bob", "")
	keyed.since, keyless.since = -edgetest.LongQuiet, -edgetest.LongQuiet
	for seq, want := range map[ids.Seq]string{1: "RETRY", 2: "UNKNOWN", 3: "UNKNOWN"} {
		d.handle(keyed, request{verb: verbPublish, topic: "a.x", seq: seq, body: []byte("body")})
		id := publishID(keyed, seq)
		call := d.calls[id]
		if call == nil || call.tenant != "t" {
			t.Fatalf("the call of a key: %+v", call)
		}
		call.forwards = 1
		switch seq {
		case 2:
			call.retransmitted = true
		case 3:
			keyed.since = ids.MonotonicNow() + edgetest.LongQuiet // an earlier connection may have sent it
		}
		d.overQuota(shardapi.QuotaDenied{IDs: []paxos.ID{id}})
		if got := answer(keyed); !strings.HasSuffix(got, " "+want) || d.calls[id] != nil || len(keyed.calls) != 0 {
			t.Errorf("number %d: %q, want %s", seq, got, want)
		}
		keyed.since = -edgetest.LongQuiet
	}
	d.handle(keyless, request{verb: verbPublish, topic: "o.x", seq: 1, body: []byte("body")})
	if call := d.calls[publishID(keyless, 1)]; call == nil || call.tenant != "" {
		t.Errorf("the call of a client without a key: %+v", call)
	}
}
