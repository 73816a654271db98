package control

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

	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/settings"
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
	if at, why := form(raw); why != "" {
		return 0, fmt.Errorf("field %s: %s", at, why)
	}
	if err := fits(body); err != nil {
		return 0, err
	}
	c, err := controlapi.ParseConfig(body) // by the reader of all processes: what is taken can be read
	if err != nil {
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
	if err := checkTenants(c); err != nil {
		return 0, err
	}
	return c.Release, nil
}

// checkTenants finds tenants of one name, and keys that stand twice. An error names the
// place alone: a key is not for logs.
func checkTenants(c *controlapi.Config) error {
	labels := map[ids.Tenant]int{}
	holders := map[controlapi.KeyDigest]string{}
	for i := range c.Tenants {
		tenant := &c.Tenants[i]
		if j, ok := labels[tenant.Label]; ok {
			return fmt.Errorf("field tenant_accounts.%d.label: same as entry %d", i, j)
		}
		labels[tenant.Label] = i
		for j, key := range tenant.Keys() {
			at := fmt.Sprintf("tenant_accounts.%d.access_keys.%d", i, j)
			if other, ok := holders[key]; ok {
				return fmt.Errorf("field %s: the same key as %s", at, other)
			}
			holders[key] = at
		}
	}
	return nil
}

// maxNesting is how deep a configuration may be nested; the schema's own check
// takes seconds for thousands of levels.
const maxNesting = 32

// form tells what is wrong with a JSON text whose syntax is right: it is nested
// too deep, or an object names a field twice. Names that differ in case alone are
// one: the schema tells them apart, the processes' reader does not.
func form(b []byte) (at, why string) {
	type level struct {
		object, named bool // named: the next string is a value
		index         int
		name          string
		names         map[string]bool
	}
	stack, deep := make([]level, maxNesting), 0
	path := func() string {
		var parts []string
		for _, l := range stack[:deep] {
			if !l.object {
				l.name = strconv.Itoa(l.index)
			}
			parts = append(parts, l.name)
		}
		return strings.Join(parts, ".")
	}
	for i := 0; i < len(b); i++ {
		var top *level
		if deep > 0 {
			top = &stack[deep-1]
		}
		switch b[i] {
		case '{', '[':
			if deep == maxNesting {
				return path(), "nested too deep"
			}
			names := stack[deep].names
			clear(names)
			stack[deep] = level{object: b[i] == '{', names: names}
			deep++
		case '}', ']':
			deep--
		case ',':
			top.index++
			top.named = false
		case '"':
			from := i
			for i++; b[i] != '"'; i++ {
				if b[i] == '\\' {
					i++
				}
			}
			if top == nil || !top.object || top.named {
				continue
			}
			top.named, top.name = true, fold(b[from:i+1])
			if top.names == nil {
				top.names = map[string]bool{}
			}
			if top.names[top.name] {
				return path(), "named twice"
			}
			top.names[top.name] = true
		}
	}
	return "", ""
}

// fold reads a field's name as a reader does that does not look at case.
func fold(quoted []byte) string {
	name := string(quoted[1 : len(quoted)-1])
	if plainField(name) {
		return name
	}
	json.Unmarshal(quoted, &name) // its syntax is right
	return strings.ToLower(strings.ToUpper(name))
}

func plainField(name string) bool {
	for _, c := range []byte(name) {
		if c >= 0x80 || c == '\\' || 'A' <= c && c <= 'Z' {
			return false
		}
	}
	return true
}

// fits checks a configuration against the schema. Thousands of routes differ in
// little but their names, and the schema asks the same of every route, so one of
// each kind stands for all of its kind; when that one is refused, all of them are
// checked, to name the entry.
func fits(body []byte) error {
	read := func() (ast.Expr, error) { return cuejson.Extract("configuration", body) }
	expr, err := read()
	if err != nil {
		return settings.FirstError(err)
	}
	if few := sample(expr); few != nil && against(few) == nil {
		return nil
	}
	if expr, err = read(); err != nil { // a build may leave its marks on a tree
		return settings.FirstError(err)
	}
	return against(expr)
}

func against(expr ast.Expr) error {
	cueMu.Lock()
	defer cueMu.Unlock()
	ctx := cuecontext.New()
	want := ctx.CompileString(schema).LookupPath(cue.ParsePath("#Config"))
	if err := want.Unify(ctx.BuildExpr(expr)).Validate(cue.Concrete(true)); err != nil {
		return withoutKey(settings.FirstError(err))
	}
	return nil
}

// withoutKey leaves the value out of a refusal that is about a key.
func withoutKey(err error) error {
	field, _, found := strings.Cut(err.Error(), ": ")
	if found && strings.Contains(field, ".access_keys.") {
		return fmt.Errorf("%s: not text of 1 to 256 printable bytes", field)
	}
	return err
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
