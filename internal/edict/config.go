package edict

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
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
	var raw any
	if err := dec.Decode(&raw); err != nil {
		return 0, fmt.Errorf("unreadable: %w", err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return 0, fmt.Errorf("unreadable: more follows the configuration")
	}
	cueMu.Lock()
	ctx := cuecontext.New()
	want := ctx.CompileString(schema).LookupPath(cue.ParsePath("#Config"))
	expr, err := cuejson.Extract("configuration", body)
	if err == nil {
		err = want.Unify(ctx.BuildExpr(expr)).Validate(cue.Concrete(true))
	}
	cueMu.Unlock()
	if err != nil {
		return 0, ground.FirstError(err)
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
