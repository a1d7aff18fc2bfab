// Package settings holds the JSON settings of the two roles. A file is read as a whole: unknown fields and every invalid
// value are reported with the field's path, and nothing starts on faulty settings.
package settings

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// Duration is a time.Duration written as a string with a unit, such as "250ms" or "3s".
type Duration time.Duration

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.New(`want a string with a unit, such as "3s"`)
	}
	v, err := time.ParseDuration(text)
	if err != nil {
		return errors.Newf(`%q is not a duration with a unit, such as "3s"`, text)
	}
	*d = Duration(v)
	return nil
}

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// Std returns the value as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Node holds the settings that both roles share.
type Node struct {
	ID         string `json:"id"`          // unique among all VMs
	DataCentre string `json:"data_centre"` // one of data_centres
	Control    string `json:"control"`     // IP:port of the net/rpc listener
	Platform   string `json:"platform"`    // IP:port of the platform service

	DataCentres  []DataCentre `json:"data_centres"`
	DrainTimeout Duration     `json:"drain_timeout"` // bound of a planned stop; default 30s
}

// DataCentre is a site of the deployment.
type DataCentre struct {
	ID     string `json:"id"`
	Region string `json:"region"`
}

// Entry holds the settings of mangopassd entry.
type Entry struct {
	Node
	Listen           string     `json:"listen"`             // IP:port for callers and operators
	Forwarders       int        `json:"forwarders"`         // requests that can be in flight at once; default 256
	Intake           int        `json:"intake"`             // requests that can wait for admission; default 1024
	BodyLimitBytes   int64      `json:"body_limit_bytes"`   // largest request body; default 8 MiB
	ConfigStaleAfter Duration   `json:"config_stale_after"` // default 3s
	WhenCutOff       string     `json:"when_cut_off"`       // refuse (default) or serve
	Operators        []Operator `json:"operators"`
}

// Operator is a person or program that may change the configuration.
type Operator struct {
	Name        string `json:"name"`
	TokenSHA256 string `json:"token_sha256"` // hex digest of the bearer token
}

// Agent holds the settings of mangopassd agent.
type Agent struct {
	Node
	Stream  string   `json:"stream"`  // IP:port of the listener that takes requests from entry VMs
	Workers int      `json:"workers"` // requests that can wait or run at once; default 256
	Engine  *Engine  `json:"engine,omitempty"`
	Service *Service `json:"service,omitempty"`
}

// Engine describes the model engine beside an agent.
type Engine struct {
	Address      string   `json:"address"` // IP:port
	MemoryBytes  int64    `json:"memory_bytes"`
	Slots        int      `json:"slots"`         // requests that it runs at once
	ObeysFences  bool     `json:"obeys_fences"`  // refuses orders with an old fencing number
	ReportLag    Duration `json:"report_lag"`    // age that its load report can have; default 1s
	OrderTimeout Duration `json:"order_timeout"` // longest life of a load or unload order; default 60s
	IdleUnload   Duration `json:"idle_unload"`   // idle time after which a replica may be unloaded; default 10m
	LoadEstimate Duration `json:"load_estimate"` // expected time of a load from the weight store; default 2s
}

// Service describes the plain service beside an agent.
type Service struct {
	ID      string `json:"id"`
	Address string `json:"address"` // IP:port
	Slots   int    `json:"slots"`   // calls that it takes at once
}

// Defaults of fields that may be left out.
const (
	DefaultDrainTimeout     = 30 * time.Second
	DefaultForwarders       = 256
	DefaultIntake           = 1024
	DefaultBodyLimitBytes   = 8 << 20
	DefaultConfigStaleAfter = 3 * time.Second
	DefaultWorkers          = 256
	DefaultReportLag        = time.Second
	DefaultOrderTimeout     = time.Minute
	DefaultIdleUnload       = 10 * time.Minute
	DefaultLoadEstimate     = 2 * time.Second

	// WhenCutOffRefuse and WhenCutOffServe are the values of when_cut_off.
	WhenCutOffRefuse = "refuse"
	WhenCutOffServe  = "serve"
)

// Fault is one invalid field.
type Fault struct {
	Path    string // such as engine.memory_bytes or operators[1].name
	Problem string
}

// Faults is all that is wrong with a file.
type Faults []Fault

// Error lists the faults, one a line.
func (f Faults) Error() string {
	var b bytes.Buffer
	for i, fault := range f {
		if i > 0 {
			b.WriteByte('\n')
		}
		fmt.Fprintf(&b, "%s: %s", fault.Path, fault.Problem)
	}
	return b.String()
}

func (f *Faults) check(ok bool, path, format string, args ...any) {
	if !ok {
		*f = append(*f, Fault{Path: path, Problem: fmt.Sprintf(format, args...)})
	}
}

func (f *Faults) address(path, value string) {
	_, err := netip.ParseAddrPort(value)
	f.check(err == nil, path, "want IP:port, got %q", value)
}

// LoadEntry reads, completes and validates the settings of an entry VM.
func LoadEntry(file string) (*Entry, error) {
	s := &Entry{}
	if err := load(file, s); err != nil {
		return nil, err
	}
	s.setDefaults()
	return s, faultsOrNil(s.Validate())
}

// LoadAgent reads, completes and validates the settings of an agent.
func LoadAgent(file string) (*Agent, error) {
	s := &Agent{}
	if err := load(file, s); err != nil {
		return nil, err
	}
	s.setDefaults()
	return s, faultsOrNil(s.Validate())
}

func load(file string, into any) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	return errors.Wrapf(dec.Decode(into), "%s", file)
}

func faultsOrNil(f Faults) error {
	if len(f) == 0 {
		return nil
	}
	return f
}

func orDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (n *Node) setDefaults() { orDefault(&n.DrainTimeout, Duration(DefaultDrainTimeout)) }

func (e *Entry) setDefaults() {
	e.Node.setDefaults()
	orDefault(&e.Forwarders, DefaultForwarders)
	orDefault(&e.Intake, DefaultIntake)
	orDefault(&e.BodyLimitBytes, DefaultBodyLimitBytes)
	orDefault(&e.ConfigStaleAfter, Duration(DefaultConfigStaleAfter))
	orDefault(&e.WhenCutOff, WhenCutOffRefuse)
}

func (a *Agent) setDefaults() {
	a.Node.setDefaults()
	orDefault(&a.Workers, DefaultWorkers)
	if a.Engine != nil {
		orDefault(&a.Engine.ReportLag, Duration(DefaultReportLag))
		orDefault(&a.Engine.OrderTimeout, Duration(DefaultOrderTimeout))
		orDefault(&a.Engine.IdleUnload, Duration(DefaultIdleUnload))
		orDefault(&a.Engine.LoadEstimate, Duration(DefaultLoadEstimate))
	}
}

func (n *Node) validate(f *Faults) {
	f.check(n.ID != "", "id", "is missing")
	f.address("control", n.Control)
	f.address("platform", n.Platform)
	f.check(n.DrainTimeout > 0, "drain_timeout", "must be positive")
	known := false
	for i, dc := range n.DataCentres {
		f.check(dc.ID != "", fmt.Sprintf("data_centres[%d].id", i), "is missing")
		f.check(dc.Region != "", fmt.Sprintf("data_centres[%d].region", i), "is missing")
		known = known || dc.ID == n.DataCentre
	}
	f.check(known, "data_centre", "%q is not in data_centres", n.DataCentre)
}

// Validate returns every fault of the settings.
func (e *Entry) Validate() Faults {
	var f Faults
	e.Node.validate(&f)
	f.address("listen", e.Listen)
	f.check(e.Listen == "" || e.Listen != e.Control, "listen", "is the same address as control")
	f.check(e.Forwarders > 0, "forwarders", "must be positive")
	f.check(e.Intake > 0, "intake", "must be positive")
	f.check(e.BodyLimitBytes > 0, "body_limit_bytes", "must be positive")
	f.check(e.ConfigStaleAfter > 0, "config_stale_after", "must be positive")
	f.check(e.WhenCutOff == WhenCutOffRefuse || e.WhenCutOff == WhenCutOffServe, "when_cut_off",
		"want %q or %q, got %q", WhenCutOffRefuse, WhenCutOffServe, e.WhenCutOff)
	for i, o := range e.Operators {
		f.check(o.Name != "", fmt.Sprintf("operators[%d].name", i), "is missing")
		digest, err := hex.DecodeString(o.TokenSHA256)
		f.check(err == nil && len(digest) == 32, fmt.Sprintf("operators[%d].token_sha256", i), "want 64 hex digits")
	}
	return f
}

// Validate returns every fault of the settings.
func (a *Agent) Validate() Faults {
	var f Faults
	a.Node.validate(&f)
	f.address("stream", a.Stream)
	f.check(a.Stream == "" || a.Stream != a.Control, "stream", "is the same address as control")
	f.check(a.Workers > 0, "workers", "must be positive")
	f.check((a.Engine == nil) != (a.Service == nil), "engine", "want either engine or service")
	if a.Engine != nil {
		f.address("engine.address", a.Engine.Address)
		f.check(a.Engine.MemoryBytes > 0, "engine.memory_bytes", "must be positive")
		f.check(a.Engine.Slots > 0, "engine.slots", "must be positive")
		f.check(a.Engine.OrderTimeout > 0, "engine.order_timeout", "must be positive")
	}
	if a.Service != nil {
		f.check(a.Service.ID != "", "service.id", "is missing")
		f.address("service.address", a.Service.Address)
		f.check(a.Service.Slots > 0, "service.slots", "must be positive")
	}
	return f
}
