// Package settings reads the JSON settings of an entry VM. Every invalid value in a file is reported with the path of
// its field, and no part of an invalid file is used.
package settings

import (
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopass/mangopass/fleet/zone"
	"github.com/mangopass/mangopass/platform/jsonfields"
)

// Entry holds the settings of mangopassd entry. Table prints the texts of the doc tags.
type Entry struct {
	ID     string `json:"id" doc:"name of the VM, unique"`
	IP     string `json:"ip" doc:"address of this VM"`
	Zone   string `json:"zone" doc:"zone of this VM, one of zones"`
	Ports  []int  `json:"ports" doc:"first and last port for calls between VMs; the first takes reports"`
	Store  string `json:"store" doc:"IP:port of the platform's store"`
	Listen Listen `json:"listen"`
	Rules  Rules  `json:"rules"`
	Limits Limits `json:"limits"`

	Zones     zone.Map `json:"zones" doc:"region of each zone"`
	Advertise string   `json:"advertise,omitempty" doc:"IP:port at which other VMs reach this one, if that is not the first of ports at ip"`
}

// Listen holds the addresses on which an entry VM listens, as IP:port.
type Listen struct {
	Callers string `json:"callers" doc:"IP:port for requests in the platform's form"`
	Ready   string `json:"ready" doc:"IP:port for the readiness probe"`
	API     string `json:"api,omitempty" doc:"IP:port of the OpenAI-style front end; empty: not served"`
	Metrics string `json:"metrics,omitempty" doc:"IP:port of metrics and status; empty: the last of ports"`
}

// Rules holds the time limits, the retry budget and the quota tolerance that the operators set.
type Rules struct {
	RevokeMs     float64 `json:"revoke_ms" doc:"a withdrawn key stops working within this time, in ms; keys are honoured for 3/4 of it after a proof"`
	GraceS       float64 `json:"grace_s" doc:"longest planned stop, in s"`
	LeaseMs      float64 `json:"lease_ms" doc:"pause between the orders of two leaders of a shard, in ms"`
	MinLeaseMs   float64 `json:"min_lease_ms" doc:"shortest lease of the store, in ms"`
	RetryRatio   float64 `json:"retry_ratio" doc:"repeats for each request, over all VMs"`
	RetryExtra   float64 `json:"retry_extra" doc:"repeats beyond that, over all VMs"`
	RetryWindowS float64 `json:"retry_window_s" doc:"window of both, in s"`
	QuotaOver    float64 `json:"quota_over" doc:"share by which a limit may be exceeded"`
	QuotaSlack   float64 `json:"quota_slack" doc:"tokens or requests beyond that in each window"`
	QuotaWindowS float64 `json:"quota_window_s" doc:"that window, in s"`
	MaxPauseS    float64 `json:"max_pause_s" doc:"longest pause that a runner can ask of this VM, in s"`
}

// Limits holds the limits of the VM's machine.
type Limits struct {
	MemoryMB float64 `json:"memory_mb" doc:"memory of the machine, in MB; from it follow the memory limit of the runtime and what callers may make the VM hold; a change needs a restart"`
	MaxFDs   int     `json:"max_fds" doc:"descriptors that the process may have open; 4/10 of those beyond 200 are for callers' connections; a change needs a restart"`
}

// Defaults and least values of the machine's limits. The defaults leave room for more than the clients of one VM need in calm.
const (
	defaultMemoryMB = 1024
	defaultMaxFDs   = 8192
	minMemoryMB     = 64
	minMaxFDs       = 256
)

func defaultLimits() Limits { return Limits{MemoryMB: defaultMemoryMB, MaxFDs: defaultMaxFDs} }

// Defaults of the rules that may be omitted.
const (
	defaultGraceS       = 8
	defaultLeaseMs      = 3000
	defaultMinLeaseMs   = 1000
	defaultRevokeMs     = 5000
	defaultRetryWindowS = 10
	defaultQuotaWindowS = 8
	defaultMaxPauseS    = 30
)

func defaultRules() Rules {
	return Rules{
		RevokeMs: defaultRevokeMs, GraceS: defaultGraceS, LeaseMs: defaultLeaseMs, MinLeaseMs: defaultMinLeaseMs,
		RetryWindowS: defaultRetryWindowS, QuotaWindowS: defaultQuotaWindowS, MaxPauseS: defaultMaxPauseS,
	}
}

// Revoke returns the time within which a withdrawn key must stop working.
func (r Rules) Revoke() time.Duration { return milliseconds(r.RevokeMs) }

// Grace returns the longest duration of a planned stop.
func (r Rules) Grace() time.Duration { return time.Duration(r.GraceS * float64(time.Second)) }

// Lease returns the time that must pass between the last order of one leader of a shard and the first of the next.
func (r Rules) Lease() time.Duration { return milliseconds(r.LeaseMs) }

// MinLease returns the shortest lease of the store.
func (r Rules) MinLease() time.Duration { return milliseconds(r.MinLeaseMs) }

// RetryWindow returns the window of the retry budget.
func (r Rules) RetryWindow() time.Duration {
	return time.Duration(r.RetryWindowS * float64(time.Second))
}

// MaxPause returns the longest pause that a runner can ask of this VM.
func (r Rules) MaxPause() time.Duration { return time.Duration(r.MaxPauseS * float64(time.Second)) }

// maxMilliseconds keeps the times of the rules within the range of a duration.
const maxMilliseconds = 1e12

func milliseconds(n float64) time.Duration {
	return time.Duration(min(n, maxMilliseconds) * float64(time.Millisecond))
}

// Load reads and validates a settings file. It also returns the file's text, so that a caller can detect later changes.
// The error lists every invalid field by its path.
func Load(path string) (*Entry, string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, "", errors.Wrap(err, "settings")
	}
	s, err := Parse(data)
	return s, string(data), err
}

// Parse decodes and validates settings. Unknown fields are ignored because the platform adds new ones.
func Parse(data []byte) (*Entry, error) {
	s := &Entry{Rules: defaultRules(), Limits: defaultLimits()}
	problems, err := jsonfields.DecodeParts(data, s)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	var unreadable error
	for _, p := range problems {
		unreadable = joinLines(unreadable, errors.Wrap(p, "settings"))
	}
	if err := s.validate(); unreadable != nil || err != nil {
		return nil, joinLines(unreadable, err)
	}
	return s, nil
}

// Unknown returns the paths of the fields in a settings file that nobody reads.
func Unknown(text []byte) ([]string, error) { return jsonfields.Unknown(text, Entry{}) }

// Field describes one setting.
type Field struct {
	Name    string // path in the file, separated by dots
	Meaning string
	Default string // empty: the field has none and is required or optional
}

// Fields lists all settings in the order of the file.
func Fields() []Field {
	return fields(reflect.ValueOf(Entry{Rules: defaultRules(), Limits: defaultLimits()}), "")
}

func fields(v reflect.Value, prefix string) []Field {
	var out []Field
	for i := range v.NumField() {
		f := v.Type().Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if f.Type.Kind() == reflect.Struct {
			out = append(out, fields(v.Field(i), prefix+name+".")...)
			continue
		}
		field := Field{Name: prefix + name, Meaning: f.Tag.Get("doc")}
		if !v.Field(i).IsZero() {
			field.Default = fmt.Sprint(v.Field(i).Interface())
		}
		out = append(out, field)
	}
	return out
}

// Table returns all settings as a table in Markdown.
func Table() string {
	var b strings.Builder
	b.WriteString("| field | meaning | default |\n|---|---|---|\n")
	for _, f := range Fields() {
		fmt.Fprintf(&b, "| `%s` | %s | %s |\n", f.Name, f.Meaning, f.Default)
	}
	return b.String()
}

// PeerAddress returns the address on which this VM takes calls from other entry VMs.
func (s *Entry) PeerAddress() string { return fmt.Sprintf("%s:%d", s.IP, s.Ports[0]) }

// AdvertisedAddress returns the address at which other entry VMs reach this one.
func (s *Entry) AdvertisedAddress() string {
	if s.Advertise != "" {
		return s.Advertise
	}
	return s.PeerAddress()
}

// MetricsAddress returns the address that serves metrics and status.
func (s *Entry) MetricsAddress() string {
	if s.Listen.Metrics != "" {
		return s.Listen.Metrics
	}
	return fmt.Sprintf("%s:%d", s.IP, s.Ports[1])
}

// joinLines returns an error with the texts of both errors, one per line. Either may be nil.
func joinLines(a, b error) error {
	if a == nil {
		return b
	}
	if b == nil {
		return a
	}
	return errors.Newf("%s\n%s", a, b)
}

// validate returns an error that lists all invalid fields, one per line.
func (s *Entry) validate() error {
	var invalid error
	report := func(field, format string, args ...any) {
		invalid = joinLines(invalid, errors.Newf("settings: %s: %s", field, fmt.Sprintf(format, args...)))
	}
	if s.ID == "" {
		report("id", "is missing")
	}
	if _, err := netip.ParseAddr(s.IP); err != nil {
		report("ip", "%q is not an IP address", s.IP)
	}
	if _, ok := s.Zones[zone.ID(s.Zone)]; !ok {
		report("zone", "%q is not listed in zones", s.Zone)
	}
	if len(s.Ports) != 2 || s.Ports[0] <= 0 || s.Ports[1] <= s.Ports[0] || s.Ports[1] > 65535 {
		report("ports", "must be the first and the last of at least two ports")
	}
	for _, a := range []struct{ field, value string }{
		{"store", s.Store}, {"listen.callers", s.Listen.Callers}, {"listen.ready", s.Listen.Ready},
	} {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			report(a.field, "%q is not IP:port", a.value)
		}
	}
	for _, a := range []struct{ field, value string }{
		{"listen.api", s.Listen.API}, {"listen.metrics", s.Listen.Metrics}, {"advertise", s.Advertise},
	} {
		if _, err := netip.ParseAddrPort(a.value); a.value != "" && err != nil {
			report(a.field, "%q is not IP:port", a.value)
		}
	}
	if s.Rules.RevokeMs <= 0 || s.Rules.GraceS <= 0 || s.Rules.LeaseMs <= 0 || s.Rules.QuotaWindowS <= 0 {
		report("rules", "revoke_ms, grace_s, lease_ms and quota_window_s must be positive")
	}
	if s.Limits.MemoryMB < minMemoryMB {
		report("limits.memory_mb", "must be at least %d", minMemoryMB)
	}
	if s.Limits.MaxFDs < minMaxFDs {
		report("limits.max_fds", "must be at least %d", minMaxFDs)
	}
	if s.Rules.MaxPauseS <= 0 {
		report("rules.max_pause_s", "must be positive")
	}
	return invalid
}
