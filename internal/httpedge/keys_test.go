package httpedge

import (
	"bytes"
	"log"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"oxbowdeck/internal/edgecore"
	"oxbowdeck/internal/edgetest"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
	"oxbowdeck/internal/queue"
	"oxbowdeck/internal/shardapi"
)

// keyedConfig has a closed route, an open one, and a tenant with the keys that stand in
// place of KEYS.
const keyedConfig = `{"config_release":RELEASE,"service_set":[{"label":"s"}],"routing_entries":[` +
	`{"label":"x","host_id":"","path_prefix":"/x","route_class":"deferred","service_ref":"s","hold_s":60},` +
	`{"label":"o","host_id":"","path_prefix":"/open","route_class":"deferred","service_ref":"s","hold_s":60,` +
	`"no_auth":true}],` +
	`"tenant_accounts":[{"label":"t","access_keys":[KEYS]},{"label":"u","access_keys":["other-secret"]}]}`

// configureKeys brings an edge a version of keyedConfig.
func configureKeys(d *Daemon, release, keys string) {
	edgetest.Replace(d.core, keyedConfig, release, keys)
}

// keyedEdge is an edge with keys in force, whose configuration is current for so long.
func keyedEdge(t *testing.T, quiet ids.Millis) *Daemon {
	d, _ := configured(t, quiet)
	d.bounds.keys.InForce = true
	configureKeys(d, "2", `"first-secret","second-secret"`)
	return run(d)
}

// exchange serves a request; the store decides what it hands in, and knows the messages of
// these names. It gives the answer, and the messages that were handed in.
func exchange(d *Daemon, r *http.Request, known ...string) (*httptest.ResponseRecorder, []queue.Message) {
	var taken []queue.Message
	store := func() {
		for id, c := range d.calls {
			var command queue.Command
			cbor.Unmarshal(c.request.Data, &command)
			taken = append(taken, *command.Msg)
			d.decided(ids.MonotonicNow(), id)
		}
		for req, a := range d.inquiries {
			found := false
			for _, name := range known { // as a store looks them up
				found = found || name == a.question.ID || name == queue.IDOf(a.question.ID)
			}
			d.answerInquiry(shardapi.Stated{Req: req, Known: found, Body: []byte("body")})
		}
	}
	w, done := httptest.NewRecorder(), make(chan bool)
	go func() {
		d.ServeHTTP(w, r)
		close(done)
	}()
	for {
		select {
		case <-done:
			return w, taken
		case <-time.After(time.Millisecond):
			served := make(chan bool)
			d.core.Actor.Do(func() { store(); close(served) })
			<-served
		}
	}
}

// withKeys is a request that bears keys.
func withKeys(method, path string, keys ...string) *http.Request {
	r := httptest.NewRequest(method, path, strings.NewReader("body"))
	r.Header.Set("X-Attempt-Id", "m")
	for _, key := range keys {
		r.Header.Add(keyHeader, key)
	}
	return r
}

// captureLog gives what is logged until the test ends.
func captureLog(t *testing.T) *bytes.Buffer {
	var text bytes.Buffer
	before := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&text, &slog.HandlerOptions{Level: slog.LevelDebug})))
	t.Cleanup(func() {
		slog.SetDefault(before)
		log.SetOutput(os.Stderr)
		log.SetFlags(log.LstdFlags)
	})
	return &text
}

// TestMessagesBearKeys: a message for a closed route is taken with a key that the
// configuration has, and belongs to the key's tenant. Without one it gets 401, or 503 where
// that is not sure. An open route does not look at keys. No key is logged or answered.
func TestMessagesBearKeys(t *testing.T) {
	logged := captureLog(t)
	tooLong := strings.Repeat("k", maxKeyBytes+1)
	for _, c := range []struct {
		name   string
		path   string
		keys   []string
		stale  bool
		want   int
		tenant ids.Tenant
	}{
		{name: "a key", path: "/x", keys: []string{"first-secret"}, want: 202, tenant: "t"},
		{name: "another of its keys", path: "/x", keys: []string{"second-secret"}, want: 202, tenant: "t"},
		{name: "another tenant's key", path: "/x", keys: []string{"other-secret"}, want: 202, tenant: "u"},
		{name: "a key, not current", path: "/x", keys: []string{"first-secret"}, stale: true, want: 202, tenant: "t"},
		{name: "no key", path: "/x", want: 401},
		{name: "no key, not current", path: "/x", stale: true, want: 503},
		{name: "an empty key", path: "/x", keys: []string{""}, want: 401},
		{name: "an unknown key", path: "/x", keys: []string{"strange-secret"}, want: 401},
		{name: "an unknown key, not current", path: "/x", keys: []string{"strange-secret"}, stale: true, want: 503},
		{name: "the longest key there may be", path: "/x", keys: []string{tooLong[1:]}, want: 401},
		{name: "a longer key", path: "/x", keys: []string{tooLong}, want: 400},
		{name: "a longer key, not current", path: "/x", keys: []string{tooLong}, stale: true, want: 400},
		{name: "two keys", path: "/x", keys: []string{"first-secret", "other-secret"}, want: 400},
		{name: "the same key twice", path: "/x", keys: []string{"first-secret", "first-secret"}, want: 400},
		{name: "two keys in a line", path: "/x", keys: []string{"first-secret, other-secret"}, want: 401},
		{name: "open", path: "/open", want: 202},
		{name: "open, with a key", path: "/open", keys: []string{"first-secret"}, want: 202},
		{name: "open, with an unknown key", path: "/open", keys: []string{"strange-secret"}, want: 202},
		{name: "open, with a longer key", path: "/open", keys: []string{tooLong}, want: 202},
		{name: "open, with two keys", path: "/open", keys: []string{"first-secret", "other-secret"}, want: 202},
	} {
		quiet := edgetest.LongQuiet
		if c.stale {
			quiet = edgetest.ShortQuiet
		}
		d := keyedEdge(t, quiet)
		if c.stale {
			edgetest.OutlastShortQuiet()
		}
		w, taken := exchange(d, withKeys("POST", c.path, c.keys...))
		if w.Code != c.want || (w.Code == 503) != (w.Header().Get("Retry-After") != "") {
			t.Errorf("%s: answered %d, Retry-After %q, want %d", c.name, w.Code, w.Header().Get("Retry-After"), c.want)
		}
		switch {
		case (w.Code == 202) != (len(taken) == 1):
			t.Errorf("%s: answered %d with %d messages taken", c.name, w.Code, len(taken))
		case len(taken) == 1 && (taken[0].Tenant != c.tenant || taken[0].ID != "m"):
			t.Errorf("%s: taken as %s of tenant %q, want %q", c.name, taken[0].ID, taken[0].Tenant, c.tenant)
		}
		if name := w.Header().Get("X-Message-Id"); c.want == 202 && name != "0.m" {
			t.Errorf("%s: the message is called %q", c.name, name)
		}
		if strings.Contains(w.Body.String(), "secret") {
			t.Errorf("%s: the answer has a key: %s", c.name, w.Body)
		}
	}
	if strings.Contains(logged.String(), "secret") || strings.Contains(logged.String(), tooLong) {
		t.Errorf("a key was logged: %s", logged)
	}
}

// TestKeysNotInForce: where no part of the rules asks for keys, none is looked at.
func TestKeysNotInForce(t *testing.T) {
	for _, keys := range [][]string{nil, {"first-secret"}, {"strange-secret"}, {"a", "b"}} {
		d := keyedEdge(t, edgetest.LongQuiet)
		d.bounds.keys.InForce = false
		w, taken := exchange(d, withKeys("POST", "/x", keys...))
		if w.Code != 202 || len(taken) != 1 || taken[0].Tenant != "" {
			t.Errorf("%d keys: answered %d, taken %+v", len(keys), w.Code, taken)
		}
		if w, _ := exchange(d, withKeys("GET", "/v1/message/m", keys...), "m"); w.Code != 200 {
			t.Errorf("%d keys: how a message stands: %d", len(keys), w.Code)
		}
	}
}

// TestWithdrawnKey: a version that takes a key away binds at once, for messages and for
// questions; other keys of the tenant go on.
func TestWithdrawnKey(t *testing.T) {
	d := keyedEdge(t, edgetest.LongQuiet)
	configureKeys(d, "3", `"second-secret"`)
	for key, want := range map[string][2]int{"first-secret": {401, 401}, "second-secret": {202, 200}} {
		if w, _ := exchange(d, withKeys("POST", "/x", key)); w.Code != want[0] {
			t.Errorf("a message with %s: %d, want %d", key, w.Code, want[0])
		}
		if w, _ := exchange(d, withKeys("GET", "/v1/message/m", key), "t/m"); w.Code != want[1] {
			t.Errorf("a question with %s: %d, want %d", key, w.Code, want[1])
		}
	}
}

// TestWhoIsTold: how a tenant's message stands, and its bytes, are told to the tenant's keys
// alone; to another tenant it is as if it were not there. What is nobody's is told to all.
func TestWhoIsTold(t *testing.T) {
	for _, c := range []struct {
		name  string
		keys  []string
		stale bool
		owned int // the answer on a message of tenant t
		open  int // on one that is nobody's
		none  int // on one that is not there
	}{
		{"its tenant", []string{"second-secret"}, false, 200, 200, 404},
		{"another tenant", []string{"other-secret"}, false, 404, 200, 404},
		{"another tenant, not current", []string{"other-secret"}, true, 503, 200, 503},
		{"no key", nil, false, 401, 200, 401},
		{"no key, not current", nil, true, 503, 200, 503},
		{"an unknown key", []string{"strange-secret"}, false, 401, 200, 401},
		{"an unknown key, not current", []string{"strange-secret"}, true, 503, 200, 503},
		{"two keys", []string{"second-secret", "other-secret"}, false, 400, 400, 400},
		{"a key too long", []string{strings.Repeat("k", maxKeyBytes+1)}, false, 400, 400, 400},
	} {
		for _, path := range []string{"/v1/message/", "/v1/message-body/"} {
			for _, known := range []struct {
				names []string
				want  int
			}{{[]string{"t/m"}, c.owned}, {[]string{"m"}, c.open}, {nil, c.none}} {
				quiet := edgetest.LongQuiet
				if c.stale {
					quiet = edgetest.ShortQuiet
				}
				d := keyedEdge(t, quiet)
				if c.stale {
					edgetest.OutlastShortQuiet()
				}
				w, _ := exchange(d, withKeys("GET", path+"0.m", c.keys...), known.names...)
				if w.Code != known.want || (w.Code == 503) != (w.Header().Get("Retry-After") != "") {
					t.Errorf("%s, %s of %v: %d, want %d", c.name, path, known.names, w.Code, known.want)
				}
			}
		}
	}
	d := keyedEdge(t, edgetest.LongQuiet) // a name can't bring another tenant in
	for _, name := range []string{"t%2Fm", "t/m", strings.Repeat("a", 60) + "%2Fm", "0.t%2Fm"} {
		w, _ := exchange(d, withKeys("GET", "/v1/message/"+name, "other-secret"), "t/m", strings.Repeat("a", 60)+"/m")
		if w.Code != http.StatusBadRequest {
			t.Errorf("asked for %q: %d", name, w.Code)
		}
	}
}

// TestKeysLapse: where a withdrawn key must end everywhere, an edge that can't confirm its
// configuration serves no keys, and is not ready; open routes go on.
func TestKeysLapse(t *testing.T) {
	d := keyedEdge(t, edgetest.ShortQuiet)
	serves := func() bool {
		answer := make(chan bool)
		d.core.Actor.Do(func() {
			d.leaders[0] = &leader{node: "s"}
			answer <- d.serves()
		})
		return <-answer
	}
	d.bounds.keys.Lapse = edgetest.LongQuiet
	if !serves() {
		t.Error("an edge that can confirm its configuration is not ready")
	}
	d.bounds.keys.Lapse = 4 * edgetest.ShortQuiet
	time.Sleep((4*edgetest.ShortQuiet + 10).Duration())
	if serves() {
		t.Error("an edge that can't confirm its configuration is ready")
	}
	for _, c := range []struct {
		request *http.Request
		want    int
	}{
		{withKeys("POST", "/x", "first-secret"), 503},
		{withKeys("POST", "/x"), 503},
		{withKeys("POST", "/open", "first-secret"), 202},
		{withKeys("GET", "/v1/message/0.m", "first-secret"), 503},
		{withKeys("GET", "/v1/message/0.m"), 503},
	} {
		w, _ := exchange(d, c.request, "t/m")
		if w.Code != c.want || (w.Code == 503) != (w.Header().Get("Retry-After") != "") {
			t.Errorf("%s %s: %d, Retry-After %q, want %d", c.request.Method, c.request.URL, w.Code,
				w.Header().Get("Retry-After"), c.want)
		}
	}
	if w, _ := exchange(d, withKeys("GET", "/v1/message/0.m"), "m"); w.Code != 200 {
		t.Errorf("a message that is nobody's: %d", w.Code)
	}
}

// TestOverQuota: a message that its tenant's limit turned away is answered 429 at once if no
// other copy of it can run; else its outcome may yet come, and nothing is promised.
func TestOverQuota(t *testing.T) {
	now := ids.MonotonicNow()
	for _, c := range []struct {
		name            string
		forwards        int
		forwardedBefore bool
		from            ids.Node
		answered        bool
	}{
		{"the only copy", 1, false, "s", true},
		{"two copies", 2, false, "s", false},
		{"a copy before", 1, true, "s", false},
		{"of another store", 1, false, "other", false},
	} {
		d := newDaemon(bounds{})
		d.core = &edgecore.Core{}
		x := &call{
			request: paxos.Request{ID: paxos.ID{Origin: "t/m"}}, group: 2, sentTo: "s",
			forwards: c.forwards, forwardedBefore: c.forwardedBefore, deadline: now + 100,
			waiters: []chan outcome{make(chan outcome, 1), make(chan outcome, 1)},
		}
		d.calls[x.request.ID] = x
		d.leaders[2] = &leader{node: "s"}
		denied := shardapi.QuotaDenied{Group: 2, IDs: []paxos.ID{x.request.ID, {Origin: "t/other"}}}
		d.overQuota(now, c.from, denied)
		if answered := len(x.waiters[0]) == 1; answered != c.answered {
			t.Errorf("%s: answered %v", c.name, answered)
			continue
		}
		want := verdictOverQuota
		if !c.answered {
			want = verdictUnknown
			d.giveUp(now + 100)
		}
		for _, waiter := range x.waiters {
			if got := <-waiter; got.verdict != want {
				t.Errorf("%s: verdict %d, want %d", c.name, got.verdict, want)
			}
		}
	}
}

// TestTenantsGoToStores: with quotas in force messages go with whose limits they count
// against; two tenants' messages of one id are two.
func TestTenantsGoToStores(t *testing.T) {
	d := keyedEdge(t, edgetest.LongQuiet)
	d.bounds.keys.Quotas = true
	for key, tenant := range map[string]ids.Tenant{"first-secret": "t", "other-secret": "u"} {
		served := make(chan *httptest.ResponseRecorder, 1)
		go func() {
			w := httptest.NewRecorder()
			d.ServeHTTP(w, withKeys("POST", "/x", key))
			served <- w
		}()
		id := paxos.ID{Origin: queue.Name(tenant, "m")}
		found := make(chan *call, 1)
		for found != nil {
			d.core.Actor.Do(func() { found <- d.calls[id] })
			if c := <-found; c != nil {
				if c.tenant != tenant {
					t.Errorf("counts against %q, want %q", c.tenant, tenant)
				}
				found = nil
			}
		}
		d.core.Actor.Do(func() {
			c := d.calls[id]
			c.forwards, c.sentTo = 1, "s"
			d.overQuota(ids.MonotonicNow(), "s", shardapi.QuotaDenied{Group: c.group, IDs: []paxos.ID{id}})
		})
		w := <-served
		if w.Code != http.StatusTooManyRequests || len(w.Header().Values("Retry-After")) != 1 {
			t.Errorf("over the limit: %d, Retry-After %q", w.Code, w.Header().Values("Retry-After"))
		}
	}
}

// TestQuotaRetryAfter: a client whose tenant is at its limit is asked to stay away, but not
// one whose message could not be counted in time.
func TestQuotaRetryAfter(t *testing.T) {
	for waited, want := range map[time.Duration]string{0: "1", quotaWait - 1: "1", quotaWait: "0", time.Second: "0"} {
		if got := quotaRetryAfter(waited); got != want {
			t.Errorf("after %s: %s, want %s", waited, got, want)
		}
	}
}
