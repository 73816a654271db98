package controlapi

import (
	"bytes"
	"cmp"
	"compress/flate"
	"encoding/json"
	"io"
	"slices"

	"oxbowdeck/internal/errs"
	"oxbowdeck/internal/ids"
)

// The types below are the one table between the words that operators write and the
// names used everywhere else: each field bears the operator's word as its tag, and
// configuration, space, service and limits give it its name here.

type configurationFile struct {
	Release  int64         `json:"config_release"`
	Routes   []routeFile   `json:"routing_entries"`
	Services []serviceFile `json:"service_set"`
	Tenants  []tenantFile  `json:"tenant_accounts"`
	Limits   limitsFile    `json:"limits"`
}

type limitsFile struct {
	Header        int `json:"header_max_bytes"`
	Body          int `json:"body_max_bytes"`
	HeaderMs      int `json:"header_timer_ms"`
	Subscriptions int `json:"subscriptions"`
	IdleMs        int `json:"idle_timer_ms"`
}

type routeFile struct {
	Label    string  `json:"label"`
	Prefix   string  `json:"path_prefix"`
	Class    string  `json:"route_class"`
	GuardMs  int     `json:"guard_timer_ms"`
	AimMs    float64 `json:"target_ms"`
	Level    int     `json:"prio_level"`
	KeepS    float64 `json:"keep_s"`
	Ordered  string  `json:"ordered"`
	Host     string  `json:"host_id"`
	Service  string  `json:"service_ref"`
	Attempts int     `json:"max_attempts"`
	StartMs  float64 `json:"start_target_ms"`
	Open     bool    `json:"no_auth"`

	// Of a deferred route: when a message is given up, and whether messages of one
	// key go one after the other (true or false). Some deployments use both words for
	// spaces of topics too, instead of keep_s and ordered.
	HoldS      float64 `json:"hold_s"`
	InSequence any     `json:"in_sequence"`
}

type serviceFile struct {
	Label     string  `json:"label"`
	ConnLimit int     `json:"conn_limit"`
	PerS      float64 `json:"rate_per_s"`
	Dedup     bool    `json:"dedup_capable"`
	Fixed     *string `json:"fixed_endpoint"`
}

type tenantFile struct {
	Label string   `json:"label"`
	Keys  []string `json:"access_keys"`
	PerS  float64  `json:"rate_per_s"`
	Burst float64  `json:"burst_size"`
}

func (f *configurationFile) configuration() *Config {
	c := &Config{Release: f.Release, Limits: Limits(f.Limits)}
	for i := range f.Routes {
		c.Spaces = append(c.Spaces, f.Routes[i].space())
	}
	for _, service := range f.Services {
		c.Services = append(c.Services, Service(service))
	}
	for i := range f.Tenants {
		c.Tenants = append(c.Tenants, f.Tenants[i].tenant())
	}
	return c
}

func (f *tenantFile) tenant() Tenant {
	t := Tenant{Label: ids.Tenant(f.Label), PerS: f.PerS, Burst: f.Burst}
	for _, key := range f.Keys {
		t.keys = append(t.keys, DigestKey(key))
	}
	return t
}

func (r *routeFile) space() Space {
	s := Space{
		Label:    r.Label,
		Prefix:   r.Prefix,
		Class:    r.Class,
		GuardMs:  r.GuardMs,
		AimMs:    r.AimMs,
		Level:    r.Level,
		Open:     r.Open,
		KeepS:    r.KeepS,
		Ordered:  r.Ordered,
		Host:     r.Host,
		Service:  r.Service,
		Attempts: r.Attempts,
		HoldS:    r.HoldS,
		StartMs:  r.StartMs,
	}
	if r.Class == Deferred {
		s.Sequence = r.InSequence == true
		return s
	}
	if s.KeepS == 0 {
		s.KeepS = r.HoldS
	}
	if order, ok := r.InSequence.(string); ok && s.Ordered == "" {
		s.Ordered = order
	}
	return s
}

// ReadConfig reads a packed configuration that the control plane has checked.
func ReadConfig(packed []byte) (*Config, error) {
	b, err := Unpack(packed)
	if err != nil {
		return nil, err
	}
	return ParseConfig(b)
}

// ReadTenants reads the tenants of a packed configuration, and nothing else of it, which
// for thousands of routes takes a part of the time.
func ReadTenants(packed []byte) ([]Tenant, error) {
	b, err := Unpack(packed)
	if err != nil {
		return nil, err
	}
	var file struct {
		Tenants []tenantFile `json:"tenant_accounts"`
	}
	if len(b) > 0 {
		if err := json.Unmarshal(b, &file); err != nil {
			return nil, errs.Wrap("read tenants", "control", err)
		}
	}
	tenants := make([]Tenant, len(file.Tenants))
	for i := range file.Tenants {
		tenants[i] = file.Tenants[i].tenant()
	}
	return tenants, nil
}

// ParseConfig reads a configuration as the operator wrote it; nothing of it is
// the one before the first.
func ParseConfig(b []byte) (*Config, error) {
	var file configurationFile
	if len(b) > 0 {
		if err := json.Unmarshal(b, &file); err != nil {
			return nil, errs.Wrap("read configuration", "control", err)
		}
	}
	c := file.configuration()
	c.index()
	return c, nil
}

// index fills the tables that spaces, routes and services are looked up in. Of two
// spaces of one prefix the first is found.
func (c *Config) index() {
	c.byPrefix = make(map[string]*Space, len(c.Spaces))
	c.byHost = map[string]map[string]*Space{}
	c.services = make(map[string]*Service, len(c.Services))
	for i := range c.Services {
		c.services[c.Services[i].Label] = &c.Services[i]
	}
	c.indexTenants()
	lengths := map[int]bool{}
	for i := range c.Spaces {
		space := &c.Spaces[i]
		if c.byPrefix[space.Prefix] == nil {
			c.byPrefix[space.Prefix] = space
		}
		if c.byHost[space.Host] == nil {
			c.byHost[space.Host] = map[string]*Space{}
		}
		c.byHost[space.Host][space.Prefix] = space
		lengths[len(space.Prefix)] = true
		if i == 0 || space.Level < c.lowestLevel {
			c.lowestLevel = space.Level
		}
	}
	for n := range lengths {
		c.lengths = append(c.lengths, n)
	}
	slices.SortFunc(c.lengths, func(a, b int) int { return cmp.Compare(b, a) })
}

// indexTenants fills the tables that tenants are looked up in.
func (c *Config) indexTenants() {
	c.keys = map[KeyDigest]*Tenant{}
	c.tenants = make(map[ids.Tenant]*Tenant, len(c.Tenants))
	for i := range c.Tenants {
		tenant := &c.Tenants[i]
		c.tenants[tenant.Label] = tenant
		for _, key := range tenant.keys {
			c.keys[key] = tenant
		}
	}
}

// Pack deflates a configuration for the way and the disk.
func Pack(b []byte) []byte {
	var out bytes.Buffer
	w, _ := flate.NewWriter(&out, flate.DefaultCompression)
	w.Write(b) // to memory: cannot fail
	w.Close()
	return out.Bytes()
}

// Unpack reads what Pack wrote.
func Unpack(b []byte) ([]byte, error) {
	if len(b) == 0 {
		return nil, nil
	}
	out, err := io.ReadAll(flate.NewReader(bytes.NewReader(b)))
	return out, errs.Wrap("unpack configuration", "control", err)
}
