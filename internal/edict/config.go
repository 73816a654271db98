package edict

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"
	"sync"

	"cuelang.org/go/cue"
	"cuelang.org/go/cue/ast"
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
	var raw json.RawMessage // read for its syntax alone
	if err := dec.Decode(&raw); err != nil {
		return 0, fmt.Errorf("unreadable: %w", err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return 0, fmt.Errorf("unreadable: more follows the configuration")
	}
	if err := fits(body); err != nil {
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
func fits(body []byte) error {
	read := func() (ast.Expr, error) { return cuejson.Extract("configuration", body) }
	expr, err := read()
	if err != nil {
		return ground.FirstError(err)
	}
	if few := sample(expr); few != nil && against(few) == nil {
		return nil
	}
	if expr, err = read(); err != nil { // a build may leave its marks on a tree
		return ground.FirstError(err)
	}
	return against(expr)
}

func against(expr ast.Expr) error {
	cueMu.Lock()
	defer cueMu.Unlock()
	ctx := cuecontext.New()
	want := ctx.CompileString(schema).LookupPath(cue.ParsePath("#Config"))
	if err := want.Unify(ctx.BuildExpr(expr)).Validate(cue.Concrete(true)); err != nil {
		return ground.FirstError(err)
	}
	return nil
}

// sample gives the configuration with one route of each kind, or nil when it has
// no one list of routes. It works on the tree that CUE checks, so what the tree
// holds twice is held twice by the sample as well.
func sample(expr ast.Expr) ast.Expr {
	top, ok := expr.(*ast.StructLit)
	if !ok {
		return nil
	}
	out, lists := &ast.StructLit{}, 0
	for _, e := range top.Elts {
		if f, ok := e.(*ast.Field); ok && named(f) == "routing_entries" {
			routes, ok := f.Value.(*ast.ListLit)
			if lists++; !ok || lists > 1 {
				return nil
			}
			e = &ast.Field{Label: f.Label, Value: oneOfEach(routes)}
		}
		out.Elts = append(out.Elts, e)
	}
	if lists == 0 {
		return nil
	}
	return out
}

func oneOfEach(routes *ast.ListLit) *ast.ListLit {
	seen := map[string]bool{}
	out := &ast.ListLit{}
	for _, x := range routes.Elts {
		kind, ok := kindOf(x)
		if !ok || !seen[kind] {
			out.Elts = append(out.Elts, x)
		}
		if ok {
			seen[kind] = true
		}
	}
	return out
}

func named(f *ast.Field) string {
	name, _, err := ast.LabelName(f.Label)
	if err != nil {
		return ""
	}
	return name
}

// plainName is a label or prefix that needs no look of its own.
var plainName = regexp.MustCompile(`^"[!#-\[\]-~]*"$`)

// kindOf is all that a route says but its label and path_prefix. A route that is
// not made of plain values, or has not one plain name of each, is a kind by itself.
func kindOf(x ast.Expr) (kind string, ok bool) {
	route, ok := x.(*ast.StructLit)
	if !ok {
		return "", false
	}
	var b strings.Builder
	names := map[string]int{}
	for _, e := range route.Elts {
		f, ok := e.(*ast.Field)
		if !ok {
			return "", false
		}
		v, ok := f.Value.(*ast.BasicLit)
		if !ok {
			return "", false
		}
		name := named(f)
		if name == "label" || name == "path_prefix" {
			if names[name]++; !plainName.MatchString(v.Value) {
				return "", false
			}
			continue
		}
		for _, part := range []string{strconv.Quote(name), ":", v.Value, ","} {
			b.WriteString(part)
		}
	}
	return b.String(), names["label"] == 1 && names["path_prefix"] == 1
}
