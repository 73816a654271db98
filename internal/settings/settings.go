// Package settings reads and checks the settings file the platform writes for a
// process, and derives from it what several daemons need: bounds of links,
// addresses of control nodes, limits of memory and disk.
package settings

import (
	"bufio"
	"bytes"
	_ "embed"
	"errors"
	"fmt"
	"os"
	"reflect"
	"runtime/metrics"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"cuelang.org/go/cue"
	"cuelang.org/go/cue/cuecontext"
	cueerrors "cuelang.org/go/cue/errors"

	"oxbowdeck/internal/errs"
	"oxbowdeck/internal/ids"
)

// EnvSettings names the variable that holds the settings file's path.
const EnvSettings = "OXBOWDECK_BOOT"

//go:embed settings.cue
var schema string

// The kinds of deployment; a settings file that names none is of the first.
const (
	Realtime = "realtime"
	Queue    = "queue"
)

// Settings is the settings file. The tag is the field's name there, or its names.
type Settings struct {
	Name        string         `set:"node_name" json:"node_name"`
	Role        string         `set:"role" json:"role"`
	Class       string         `set:"machine_class" json:"machine_class"`
	Serves      []string       `set:"served_roles" json:"served_roles"`
	IP          string         `set:"ip_addr" json:"ip_addr"`
	Zone        ids.Zone       `set:"avail_zone" json:"avail_zone"`
	Region      string         `set:"region" json:"region"`
	Front       string         `set:"listen_addrs.front" json:"listen_addrs_front"`
	Ready       string         `set:"listen_addrs.readiness" json:"listen_addrs_readiness"`
	Control     string         `set:"listen_addrs.control" json:"listen_addrs_control"`
	Ports       []int          `set:"internal_ports" json:"internal_ports"`
	Seeds       []string       `set:"seed_nodes" json:"seed_nodes"`
	First       bool           `set:"initial_start" json:"initial_start"`
	DataDir     string         `set:"data_dir" json:"data_dir"`
	MemoryMB    int            `set:"limits.memory_mb" json:"limits_memory_mb"`
	FDs         int            `set:"limits.fd_limit" json:"limits_fd_limit"`
	DiskMB      int            `set:"limits.disk_mb" json:"limits_disk_mb"`
	LinkMbps    float64        `set:"limits.link_mbps" json:"limits_link_mbps"`
	Contracts   []string       `set:"contracts" json:"contracts"`
	HeartbeatMs int            `set:"beat_ms" json:"beat_ms"`
	Losses      int            `set:"fault_tolerance.machines" json:"fault_tolerance_machines"`
	ContactMs   int            `set:"timing_bounds.contact_ms" json:"timing_bounds_contact_ms"`
	AckMs       int            `set:"timing_bounds.ack_ms" json:"timing_bounds_ack_ms"`
	ApplyMs     int            `set:"timing_bounds.config_apply_ms" json:"timing_bounds_config_apply_ms"`
	DrainMs     int            `set:"timing_bounds.drain_ms" json:"timing_bounds_drain_ms"`
	GraceS      float64        `set:"timing_bounds.grace_s" json:"timing_bounds_grace_s"`
	PingS       float64        `set:"timing_bounds.ping_s,timing_bounds.keepalive_s" json:"timing_bounds_ping_s"`
	RejoinS     float64        `set:"timing_bounds.rejoin_s,timing_bounds.resume_window_s" json:"timing_bounds_rejoin_s"`
	ResendS     float64        `set:"timing_bounds.resend_s,timing_bounds.redelivery_s" json:"timing_bounds_resend_s"`
	ReportS     float64        `set:"timing_bounds.report_s" json:"timing_bounds_report_s"`
	WindowS     float64        `set:"timing_bounds.ceiling_window_s" json:"timing_bounds_ceiling_window_s"`
	RevokeMs    int            `set:"timing_bounds.revoke_ms" json:"timing_bounds_revoke_ms"`
	RevokeAll   bool           `set:"timing_bounds.revocation_closed" json:"timing_bounds_revocation_closed"`
	QuotaS      float64        `set:"timing_bounds.quota_window_s" json:"timing_bounds_quota_window_s"`
	QuotaExcess float64        `set:"timing_bounds.quota_excess" json:"timing_bounds_quota_excess"`
	QuotaSlack  float64        `set:"timing_bounds.quota_slack" json:"timing_bounds_quota_slack"`
	Kind        string         `set:"deployment" json:"deployment"`
	LogLevel    string         `set:"log.level" json:"log_level"`
	Relay       string         `set:"test_only.relay" json:"test_only_relay"`
	FaultFile   string         `set:"test_only.disk_fault" json:"test_only_disk_fault"`
	Extra       map[string]int `json:"-"` // tuning.* of this project
}

// The parts of the rules that a deployment may have in force or not.
const (
	ContractTenants = "tenants" // clients bear the keys of tenants
	ContractQuota   = "quota"   // what tenants send is limited
)

// ResendTime is how long a client of topics may repeat a number that was accepted.
func (s *Settings) ResendTime() ids.Millis { return ids.Millis(s.ResendS * 1000) }

// silencePeriods is how many ping_s a client may be silent; the margin is for the way.
const silencePeriods = 3.2

// ClientSilence is how long a client of topics may say nothing until its edge drops it.
func (s *Settings) ClientSilence() ids.Millis { return ids.Millis(s.PingS * 1000 * silencePeriods) }

// InForce tells whether a part of the rules is in force.
func (s *Settings) InForce(contract string) bool { return slices.Contains(s.Contracts, contract) }

// ErrTestOnly tells that settings hold what is for tests on one machine alone.
var ErrTestOnly = errors.New("fields test_only.* are for tests on one machine: no deployment may have them")

// CheckDeployable refuses settings that are for tests alone.
func (s *Settings) CheckDeployable() error {
	if s.Relay != "" || s.FaultFile != "" {
		return ErrTestOnly
	}
	return nil
}

// Read reads and checks a settings file. Unknown fields are ignored.
func Read(path string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, errs.Wrap("read settings", path, err)
	}
	s, err := Parse(b)
	return s, errs.Wrap("settings", path, err)
}

// Parse reads lines of a.b=value and checks them against the schema.
func Parse(b []byte) (*Settings, error) {
	s := &Settings{Extra: map[string]int{}, Kind: Realtime}
	fields := map[string]reflect.Value{}
	v := reflect.ValueOf(s).Elem()
	for i := 0; i < v.NumField(); i++ {
		for _, n := range strings.Split(v.Type().Field(i).Tag.Get("set"), ",") {
			fields[n] = v.Field(i)
		}
	}
	sc := bufio.NewScanner(bytes.NewReader(b))
	for n := 1; sc.Scan(); n++ {
		line := strings.TrimSpace(sc.Text())
		if line == "" || line[0] == '#' {
			continue
		}
		if !utf8.ValidString(line) {
			return nil, fmt.Errorf("line %d: not UTF-8", n)
		}
		k, val, ok := strings.Cut(line, "=")
		if !ok {
			return nil, fmt.Errorf("line %d: no '='", n)
		}
		if f, ok := fields[k]; ok {
			if err := set(f, val); err != nil {
				return nil, fmt.Errorf("line %d: field %s: %w", n, k, err)
			}
		} else if strings.HasPrefix(k, "tuning.") {
			x, err := strconv.Atoi(val)
			if err != nil {
				return nil, fmt.Errorf("line %d: field %s: %q is not a whole number", n, k, val)
			}
			s.Extra[strings.TrimPrefix(k, "tuning.")] = x
		}
	}
	if err := sc.Err(); err != nil {
		return nil, err
	}
	ctx := cuecontext.New()
	all := ctx.CompileString(schema)
	paths := []string{"#Settings", "kinds." + s.Kind}
	for _, contract := range []string{ContractTenants, ContractQuota} {
		if s.InForce(contract) {
			paths = append(paths, "parts."+contract)
		}
	}
	for _, path := range paths {
		want := all.LookupPath(cue.ParsePath(path))
		if err := want.Err(); err != nil {
			return nil, err
		}
		if err := want.Unify(ctx.Encode(s)).Validate(cue.Concrete(true)); err != nil {
			return nil, firstError(err, nameInFile)
		}
	}
	if s.CheckDeployable() != nil && !strings.HasPrefix(s.IP, "127.") {
		return nil, ErrTestOnly
	}
	if len(s.Extra) > 0 {
		want := ctx.CompileString(schema).LookupPath(cue.ParsePath("#Tuning"))
		if err := want.Unify(ctx.Encode(s.Extra)).Validate(cue.Concrete(true)); err != nil {
			return nil, fmt.Errorf("tuning: %w", FirstError(err))
		}
	}
	return s, nil
}

// FirstError makes a schema's refusal one line: the field and the reason.
func FirstError(err error) error {
	return firstError(err, func(field string) string { return field })
}

// firstError gives the first refusal under the name that a field has where it was read.
func firstError(err error, nameOf func(string) string) error {
	first := cueerrors.Errors(err)[0]
	format, args := first.Msg()
	var path []string
	for _, part := range first.Path() {
		if !strings.HasPrefix(part, "#") { // the schema's own name is no field
			path = append(path, part)
		}
	}
	reason := strings.ReplaceAll(fmt.Sprintf(format, args...), "\n", " ")
	return fmt.Errorf("field %s: %s", nameOf(strings.Join(path, ".")), reason)
}

// nameInFile gives the name that a field of the schema, or an element of one, has in
// the settings file.
func nameInFile(path string) string {
	parts := strings.Split(path, ".")
	if (parts[0] == "kinds" || parts[0] == "parts") && len(parts) > 2 {
		parts = parts[2:] // asked for by one kind of deployment, or one part of the rules
	}
	all := reflect.TypeFor[Settings]()
	for i := range all.NumField() {
		tag := all.Field(i).Tag
		if tag.Get("json") == parts[0] {
			parts[0], _, _ = strings.Cut(tag.Get("set"), ",")
			break
		}
	}
	return strings.Join(parts, ".")
}

func set(f reflect.Value, val string) error {
	switch f.Kind() {
	case reflect.String:
		f.SetString(val)
	case reflect.Bool:
		b, err := strconv.ParseBool(val)
		if err != nil {
			return fmt.Errorf("%q is neither true nor false", val)
		}
		f.SetBool(b)
	case reflect.Int:
		n, err := strconv.ParseFloat(val, 64)
		if err != nil {
			return fmt.Errorf("%q is not a number", val)
		}
		f.SetInt(int64(n))
	case reflect.Float64:
		n, err := strconv.ParseFloat(val, 64)
		if err != nil {
			return fmt.Errorf("%q is not a number", val)
		}
		f.SetFloat(n)
	case reflect.Slice:
		parts := strings.Split(val, ",")
		out := reflect.MakeSlice(f.Type(), 0, len(parts))
		for _, p := range parts {
			if p = strings.TrimSpace(p); p == "" {
				continue
			}
			e := reflect.New(f.Type().Elem()).Elem()
			if err := set(e, p); err != nil {
				return err
			}
			out = reflect.Append(out, e)
		}
		f.Set(out)
	}
	return nil
}

// Inner gives this process's internal address: control, store and edge each take
// their own port of the range, so two of them can share a machine.
func (s *Settings) Inner(n int) ids.Node {
	return InnerOf(s.IP, s.Ports, n)
}

// InnerOf gives the internal address of a process on another machine.
func InnerOf(ip string, ports []int, n int) ids.Node {
	return ids.Node(ip + ":" + strconv.Itoa(ports[0]+n))
}

// The places of the programs in the range of internal ports.
const (
	PortControl = iota
	PortStore
	PortEdge
)

// Int gives a tuning value: tuning.NAME of the settings file, else def.
func (s *Settings) Int(name string, def int) int {
	if n, ok := s.Extra[name]; ok {
		return n
	}
	return def
}

// Metrics tells whether the process counts what it does, and serves the counts.
func (s *Settings) Metrics() bool { return s.Int("metrics", 0) == 1 }

// DefaultMetrics switches metrics on unless the settings file says something of them.
func (s *Settings) DefaultMetrics() {
	if _, said := s.Extra["metrics"]; !said {
		s.Extra["metrics"] = 1
	}
}

// Heap is the memory that live objects took at the last collection.
func Heap() int64 {
	s := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	metrics.Read(s)
	return int64(s[0].Value.Uint64())
}
