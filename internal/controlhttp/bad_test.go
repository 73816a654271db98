package controlhttp

import (
	"encoding/json"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"oxbowdeck/internal/control"
	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
)

// node is a control process alone: the state the group agrees on, one command an instance.
type node struct {
	control.State
	calls uint64
}

func (n *node) do(c control.Command) (res control.Result) {
	n.calls++
	b, _ := cbor.Marshal(c)
	n.Apply(paxos.Decided{Slot: n.Slot + 1, Value: paxos.Value{Reqs: []paxos.Request{{ID: paxos.ID{Origin: "n", Seq: n.calls}, Data: b}}}},
		func(_ paxos.ID, r control.Result) { res = r })
	return res
}

func (n *node) Current(time.Duration) (int64, []byte, error) {
	b, err := controlapi.Unpack(n.Config)
	return n.Release, b, err
}

func (n *node) Put(match, release int64, body []byte, _ time.Duration) (control.Result, error) {
	return n.do(control.Command{Verb: control.Put, Match: match, Release: release, Body: controlapi.Pack(body)}), nil
}

func (n *node) Retire(name string, _ time.Duration) (control.Result, error) {
	return n.do(control.Command{Verb: control.Retire, Node: controlapi.Node{Name: name}, Losses: 0}), nil
}

func (n *node) Emptied(name string, _ time.Duration) (known, asked, done bool, err error) {
	known, asked, done = n.State.Emptied(name)
	return
}

func (n *node) StatusOf(ids.Tenant) (control.Status, error) { return control.Status{}, nil }

func (n *node) Heartbeat(w controlapi.Worker, _ ids.Millis, done func(bool)) {
	n.do(control.Command{Verb: control.Register, Worker: &w})
	done(true)
}

func (n *node) Left(id string, _ ids.Millis, done func(bool)) {
	n.do(control.Command{Verb: control.Unregister, Worker: &controlapi.Worker{ID: id, Left: true}})
	done(true)
}

const (
	inForce = `{"config_release":7,"routing_entries":[{"label":"r","host_id":"","path_prefix":"a.","route_class":"retained","guard_timer_ms":1500,"keep_s":35,"ordered":"topic"}],"service_set":[],"limits":{}}`
	living  = `{"service_ref":"s","transport_addr":"10.0.0.9:80","avail_zone":"z","config_release":3,"capacity_slots":4,"op_state":"in_service","warmup_left_ms":0,"call_seq":1}`
)

// cut is a body that ends before it is whole.
type cut struct{ io.Reader }

func (c cut) Read(b []byte) (int, error) {
	n, err := c.Reader.Read(b)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// TestBadCalls: what can't be read, or is not as it must be, has one answer, and changes nothing.
func TestBadCalls(t *testing.T) {
	n := &node{}
	h := handler(n, Bounds{Body: 64 << 10, Wait: time.Second}, nil)
	for i, name := range []string{"s0", "s1"} {
		n.do(control.Command{Verb: control.Enroll, Node: controlapi.Node{Name: name, Role: controlapi.Store, Zone: "z",
			Addr: ids.Node([]string{"10.0.0.1:1", "10.0.0.2:1"}[i]), Disk: uint64(i + 1), Incarnation: 1}})
	}
	call := func(method, path, match, body string, broken bool) *httptest.ResponseRecorder {
		var from io.Reader = strings.NewReader(body)
		if broken {
			from = cut{from}
		}
		r := httptest.NewRequest(method, path, from)
		if match != "" {
			r.Header.Set("If-Match", match)
		}
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		return w
	}
	const config, worker, store = "/v1/configuration", "/v1/instances/w1", "/v1/retire/s0"
	for _, x := range []struct{ method, path, match, body string }{
		{"PUT", config, "0", inForce}, {"PUT", config, "0", inForce}, // sent again
		{"PUT", worker, "", living}, {"PUT", worker, "", living},
	} {
		if w := call(x.method, x.path, x.match, x.body, false); w.Code != 200 {
			t.Fatalf("%s %s: %d %s", x.method, x.path, w.Code, w.Body)
		}
	}
	state := func() string {
		b, _ := json.Marshal(struct{ R, N, W any }{n.Release, n.Nodes, n.Workers})
		return string(b)
	}
	before := state()
	next := strings.Replace(inForce, ":7", ":9", 1)
	with := func(s, old, new string) string {
		out := strings.Replace(s, old, new, 1)
		if out == s {
			t.Fatalf("%s is not in %s", old, s)
		}
		return out
	}
	deep := strings.Repeat(`[`, 9999)
	type bad struct {
		name, method, path, match, body string
		code                            int
	}
	list := []bad{
		{"empty", "PUT", config, "7", "", 400},
		{"no object", "PUT", config, "7", "[]", 400},
		{"cut short", "PUT", config, "7", next[:len(next)-9], 400},
		{"more follows", "PUT", config, "7", next + "{}", 400},
		{"garbage follows", "PUT", config, "7", next + "\x00", 400},
		{"named twice", "PUT", config, "7", with(next, `"limits":{}`, `"limits":{},"limits":{}`), 400},
		{"same place", "PUT", config, "7", with(next, `}],`, `},`+next[strings.Index(next, `{"label"`):strings.Index(next, `],`)+2]), 400},
		{"no time-out", "PUT", config, "7", with(next, `1500`, `0`), 400},
		{"not above", "PUT", config, "7", with(next, `:9`, `:7`) + " ", 400},
		{"below", "PUT", config, "7", with(next, `:9`, `:6`), 400},
		{"below 0", "PUT", config, "7", with(next, `:9`, `:-9`), 400},
		{"deep", "PUT", config, "7", with(next, `"limits":{}`, `"limits":{},"x":`+deep+strings.Repeat("]", 9999)), 400},
		{"huge number", "PUT", config, "7", with(next, `"limits":{}`, `"limits":{"subscriptions":1`+strings.Repeat("0", 400)+`}`), 400},
		{"too large", "PUT", config, "7", next + strings.Repeat(" ", 64<<10), 413},
		{"not on the newest", "PUT", config, "6", next, 412},
		{"invalid, and not on the newest", "PUT", config, "6", with(next, `1500`, `0`), 400},
		{"no If-Match", "PUT", config, "", next, 400},
		{"If-Match is text", "PUT", config, "seven", next, 400},
		{"If-Match of many", "PUT", config, "7, 8", next, 400},
		{"If-Match below 0", "PUT", config, "-7", next, 400},
		{"If-Match huge", "PUT", config, strings.Repeat("9", 40), next, 400},
		{"wrong method", "POST", config, "7", next, 405},
		{"wrong path", "PUT", config + "s", "7", next, 404},
		{"longer path", "PUT", config + "/7", "7", next, 404},
		{"unknown machine", "POST", "/v1/retire/s9", "", `{"ramp_s":10}`, 404},
		{"odd name", "POST", "/v1/retire/s%000", "", `{"ramp_s":10}`, 404},
		{"name that is not text", "POST", "/v1/retire/s%ff", "", `{"ramp_s":10}`, 404},
		{"never asked for", "GET", store, "", "", 404},
		{"ramp below 0", "POST", store, "", `{"ramp_s":-1}`, 400},
		{"ramp is text", "POST", store, "", `{"ramp_s":"10"}`, 400},
		{"ramp huge", "POST", store, "", `{"ramp_s":1e999}`, 400},
		{"order follows", "POST", store, "", `{"ramp_s":10}{"ramp_s":10}`, 400},
		{"order is null", "POST", store, "", `null`, 400},
		{"order cut short", "POST", store, "", `{"ramp_s":`, 400},
		{"order too large", "POST", store, "", `{"ramp_s":10}` + strings.Repeat(" ", mostOrder), 413},
		{"order by a wrong method", "PUT", store, "", `{"ramp_s":10}`, 405},
		{"no machine named", "POST", "/v1/retire/", "", `{"ramp_s":10}`, 404},
		{"empty call", "PUT", worker, "", "", 400},
		{"call is a list", "PUT", worker, "", "[" + living + "]", 400},
		{"call cut short", "PUT", worker, "", living[:40], 400},
		{"call is followed", "PUT", worker, "", living + "x", 400},
		{"call too large", "PUT", worker, "", living + strings.Repeat(" ", mostOrder), 413},
		{"call never closed", "PUT", worker, "", `{"x":` + deep, 400},
		{"long id", "PUT", "/v1/instances/" + strings.Repeat("w", 129), "", living, 400},
		{"id with a space", "PUT", "/v1/instances/w%201", "", living, 400},
		{"id with a line", "PUT", "/v1/instances/w%0a", "", living, 400},
		{"id not ASCII", "PUT", "/v1/instances/w%ff", "", living, 400},
		{"no id", "PUT", "/v1/instances/", "", living, 404},
		{"id of two parts", "PUT", "/v1/instances/w/1", "", living, 404},
		{"call by a wrong method", "POST", worker, "", living, 405},
		{"end of an odd id", "DELETE", "/v1/instances/w%7f", "", "", 400},
	}
	for field, v := range map[string]string{`"service_ref":"s"`: `"service_ref":""`, `"s"`: `null`, `"10.0.0.9:80"`: `"10.0.0.9"`, `9:80`: `9:0`,
		`10.0.0.9`: `host`, `:4,`: `:-4,`, `slots":4`: `slots":1e30`, `in_service`: `ready`, `"call_seq":1`: `"call_seq":-1`, `seq":1`: `seq":18446744073709551616`} {
		list = append(list, bad{"field " + v, "PUT", worker, "", with(with(living, `"call_seq":1`, `"call_seq":1,"x":2`), field, v), 400})
	}
	for _, x := range list {
		w := call(x.method, x.path, x.match, x.body, false)
		if w.Code != x.code {
			t.Errorf("%s: %d, want %d: %s", x.name, w.Code, x.code, w.Body)
		}
		if state() != before {
			t.Fatalf("%s: changed the state: %s", x.name, state())
		}
	}
	for _, x := range []bad{{"", "PUT", config, "7", next, 400}, {"", "PUT", worker, "", with(living, `"call_seq":1`, `"call_seq":2`), 400},
		{"", "POST", store, "", `{"ramp_s":10}`, 400}} {
		if w := call(x.method, x.path, x.match, x.body, true); w.Code != x.code || state() != before {
			t.Errorf("%s, broken off: %d %s", x.path, w.Code, w.Body)
		}
	}
	for _, x := range []bad{{"", "PUT", config, "7", next, 200}, {"", "POST", store, "", "", 200}, {"", "POST", store, "", `{"ramp_s":10}`, 200},
		{"", "POST", "/v1/retire/s1", "", `{"ramp_s":10}`, 409}, {"", "DELETE", worker, "", "", 200}} {
		if w := call(x.method, x.path, x.match, x.body, false); w.Code != x.code {
			t.Errorf("%s %s: %d %s", x.method, x.path, w.Code, w.Body)
		}
	}
}
