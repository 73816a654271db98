package edict

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"regexp"
	"sync"

	"cuelang.org/go/cue"
	"cuelang.org/go/cue/cuecontext"
	cuejson "cuelang.org/go/encoding/json"

	"oxbowdeck/internal/ground"
)

//go:embed config.cue
var schema string

var cueMu sync.Mutex // a CUE context is not for several goroutines at once

// Check reads an operator's configuration and tells why it is invalid. It
// returns the release it carries.
func Check(body []byte) (int64, error) {
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.UseNumber()
	var raw any
	if err := dec.Decode(&raw); err != nil {
		return 0, fmt.Errorf("unreadable: %w", err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return 0, fmt.Errorf("unreadable: more follows the configuration")
	}
	if err := fits(raw, body); err != nil {
		return 0, err
	}
	var c struct {
		Release int64 `json:"config_release"`
		Spaces  []struct {
			Host    string `json:"host_id"`
			Prefix  string `json:"path_prefix"`
			Service string `json:"service_ref"`
		} `json:"routing_entries"`
		Services []struct {
			Label string `json:"label"`
		} `json:"service_set"`
	}
	if err := json.Unmarshal(body, &c); err != nil {
		return 0, fmt.Errorf("unreadable: %w", err)
	}
	services := map[string]bool{"": true}
	for _, s := range c.Services {
		services[s.Label] = true
	}
	at := map[[2]string]int{}
	for i, s := range c.Spaces {
		if j, ok := at[[2]string{s.Host, s.Prefix}]; ok {
			return 0, fmt.Errorf("field routing_entries.%d.path_prefix: same host and prefix as entry %d", i, j)
		}
		at[[2]string{s.Host, s.Prefix}] = i
		if !services[s.Service] {
			return 0, fmt.Errorf("field routing_entries.%d.service_ref: unknown service %q", i, s.Service)
		}
	}
	return c.Release, nil
}

// fits checks a configuration against the schema. Thousands of routes differ in
// little but their names, and the schema asks the same of every route, so one of
// each kind stands for all of its kind; when that one is refused, all of them are
// checked, to name the entry.
func fits(raw any, body []byte) error {
	few, err := json.Marshal(sample(raw))
	if err == nil && len(few) < len(body) && against(few) == nil {
		return nil
	}
	return against(body)
}

func against(body []byte) error {
	cueMu.Lock()
	defer cueMu.Unlock()
	ctx := cuecontext.New()
	want := ctx.CompileString(schema).LookupPath(cue.ParsePath("#Config"))
	expr, err := cuejson.Extract("configuration", body)
	if err == nil {
		err = want.Unify(ctx.BuildExpr(expr)).Validate(cue.Concrete(true))
	}
	if err != nil {
		return ground.FirstError(err)
	}
	return nil
}

// plainName is what a label or prefix may be made of to need no look of its own.
var plainName = regexp.MustCompile("^[!-~]*$")

// sample gives the configuration with one route of each kind: routes are alike
// when they differ in label and path_prefix alone, and both are plain.
func sample(raw any) any {
	top, ok := raw.(map[string]any)
	if !ok {
		return raw
	}
	routes, ok := top["routing_entries"].([]any)
	if !ok {
		return raw
	}
	seen := map[string]bool{}
	few := make([]any, 0, 8)
	for _, x := range routes {
		r, ok := x.(map[string]any)
		label, ok1 := r["label"].(string)
		prefix, ok2 := r["path_prefix"].(string)
		if !ok || !ok1 || !ok2 || !plainName.MatchString(label) || !plainName.MatchString(prefix) {
			few = append(few, x)
			continue
		}
		kind := make(map[string]any, len(r))
		for k, v := range r {
			if k != "label" && k != "path_prefix" {
				kind[k] = v
			}
		}
		key, err := json.Marshal(kind)
		if err != nil || !seen[string(key)] {
			seen[string(key)] = true
			few = append(few, x)
		}
	}
	out := make(map[string]any, len(top))
	for k, v := range top {
		out[k] = v
	}
	out["routing_entries"] = few
	return out
}
