// Package settings holds the JSON settings of an entry VM. A file is read as a whole: every invalid value is reported
// with the field's path, and nothing starts on faulty settings.
package settings

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopass/mangopass/fleet/zone"
)

// Entry holds the settings of mangopassd entry. The doc tags make the table of settings.
type Entry struct {
	ID     string `json:"id" doc:"name of the VM, unique"`
	IP     string `json:"ip" doc:"address of this VM"`
	Zone   string `json:"zone" doc:"zone of this VM, one of zones"`
	Ports  []int  `json:"ports" doc:"first and last port for calls between VMs; the first takes reports"`
	Store  string `json:"store" doc:"IP:port of the platform's store"`
	Listen Listen `json:"listen"`
	Rules  Rules  `json:"rules"`

	Zones zone.Map `json:"zones" doc:"region of each zone"`
}

// Listen holds the addresses on which an entry VM listens, as IP:port.
type Listen struct {
	Callers string `json:"callers" doc:"IP:port for requests in the platform's form"`
	Ready   string `json:"ready" doc:"IP:port for the readiness probe"`
	API     string `json:"api,omitempty" doc:"IP:port of the OpenAI-style front end; empty: not served"`
	Metrics string `json:"metrics,omitempty" doc:"IP:port of metrics and status; empty: the last of ports"`
}

// Rules holds the operators' bounds.
type Rules struct {
	RevokeMs     int     `json:"revoke_ms" doc:"a withdrawn key stops working within this time, in ms; keys are honoured for 3/4 of it after a proof"`
	GraceS       float64 `json:"grace_s" doc:"longest planned stop, in s"`
	LeaseMs      int     `json:"lease_ms" doc:"pause between the orders of two order givers, in ms"`
	MinLeaseMs   int     `json:"min_lease_ms" doc:"shortest lease of the store, in ms"`
	RetryRatio   float64 `json:"retry_ratio" doc:"repeats for each request, over all VMs"`
	RetryExtra   float64 `json:"retry_extra" doc:"repeats beyond that, over all VMs"`
	RetryWindowS float64 `json:"retry_window_s" doc:"window of both, in s"`
	QuotaOver    float64 `json:"quota_over" doc:"share by which a limit may be exceeded"`
	QuotaSlack   float64 `json:"quota_slack" doc:"tokens or requests beyond that in each window"`
	QuotaWindowS float64 `json:"quota_window_s" doc:"that window, in s"`
}

// Defaults of rules that may be left out.
const (
	defaultGraceS       = 8
	defaultLeaseMs      = 3000
	defaultMinLeaseMs   = 1000
	defaultRevokeMs     = 5000
	defaultRetryWindowS = 10
	defaultQuotaWindowS = 8
)

func defaultRules() Rules {
	return Rules{
		RevokeMs: defaultRevokeMs, GraceS: defaultGraceS, LeaseMs: defaultLeaseMs, MinLeaseMs: defaultMinLeaseMs,
		RetryWindowS: defaultRetryWindowS, QuotaWindowS: defaultQuotaWindowS,
	}
}

// Revoke returns the time within which a withdrawn key must stop working.
func (r Rules) Revoke() time.Duration { return time.Duration(r.RevokeMs) * time.Millisecond }

// Grace returns the longest duration of a planned stop.
func (r Rules) Grace() time.Duration { return time.Duration(r.GraceS * float64(time.Second)) }

// Lease returns the pause between the orders of two leaders.
func (r Rules) Lease() time.Duration { return time.Duration(r.LeaseMs) * time.Millisecond }

// MinLease returns the shortest lease of the store.
func (r Rules) MinLease() time.Duration { return time.Duration(r.MinLeaseMs) * time.Millisecond }

// RetryWindow returns the window of the retry budget.
func (r Rules) RetryWindow() time.Duration {
	return time.Duration(r.RetryWindowS * float64(time.Second))
}

// Load reads and checks a settings file. It returns the file's text too, against which later readings are compared. The
// error lists every fault with the field's path.
func Load(path string) (*Entry, string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, "", errors.Wrap(err, "settings")
	}
	s, err := Parse(data)
	return s, string(data), err
}

// Parse reads and checks settings. Unknown fields are ignored: the platform adds new ones.
func Parse(data []byte) (*Entry, error) {
	s := &Entry{Rules: defaultRules()}
	if err := json.Unmarshal(data, s); err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	if err := s.validate(); err != nil {
		return nil, err
	}
	return s, nil
}

// Field is one setting.
type Field struct {
	Name    string // path in the file, with dots
	Meaning string
	Default string // empty: the field must be set or may stay empty
}

// Fields lists all settings in the order of the file.
func Fields() []Field {
	return fields(reflect.ValueOf(Entry{Rules: defaultRules()}), "")
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

// Between returns the address for calls between entry VMs, Metrics that of metrics and status.
func (s *Entry) Between() string { return fmt.Sprintf("%s:%d", s.IP, s.Ports[0]) }

// Metrics returns the address of metrics and status.
func (s *Entry) Metrics() string {
	if s.Listen.Metrics != "" {
		return s.Listen.Metrics
	}
	return fmt.Sprintf("%s:%d", s.IP, s.Ports[1])
}

// join lists the texts of two errors, one a line.
func join(a, b error) error {
	if a == nil {
		return b
	}
	return errors.Newf("%s\n%s", a, b)
}

func (s *Entry) validate() error {
	var faults error
	fault := func(field, format string, args ...any) {
		faults = join(faults, errors.Newf("settings: %s: %s", field, fmt.Sprintf(format, args...)))
	}
	if s.ID == "" {
		fault("id", "is missing")
	}
	if _, err := netip.ParseAddr(s.IP); err != nil {
		fault("ip", "%q is no IP address", s.IP)
	}
	if _, ok := s.Zones[zone.ID(s.Zone)]; !ok {
		fault("zone", "%q is not listed in zones", s.Zone)
	}
	if len(s.Ports) != 2 || s.Ports[0] <= 0 || s.Ports[1] <= s.Ports[0] || s.Ports[1] > 65535 {
		fault("ports", "want the first and the last of at least two ports")
	}
	for _, a := range []struct{ field, value string }{
		{"store", s.Store}, {"listen.callers", s.Listen.Callers}, {"listen.ready", s.Listen.Ready},
	} {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			fault(a.field, "%q is not IP:port", a.value)
		}
	}
	for _, a := range []struct{ field, value string }{{"listen.api", s.Listen.API}, {"listen.metrics", s.Listen.Metrics}} {
		if _, err := netip.ParseAddrPort(a.value); a.value != "" && err != nil {
			fault(a.field, "%q is not IP:port", a.value)
		}
	}
	if s.Rules.RevokeMs <= 0 || s.Rules.GraceS <= 0 || s.Rules.LeaseMs <= 0 || s.Rules.QuotaWindowS <= 0 {
		fault("rules", "revoke_ms, grace_s, lease_ms and quota_window_s must be positive")
	}
	return faults
}
