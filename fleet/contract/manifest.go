// Package contract holds what is agreed with the organisations: the manifest with its routes, services, keys and
// limits, and the outcomes that a caller can get. It does no I/O; the time is always an argument.
package contract

import (
	"crypto/sha256"
	"slices"
	"strings"
	"time"
)

// KeyHash is the SHA-256 of a caller's key. Keys are kept and compared only in this form.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Organisation is a customer with its keys and its limit over all entry VMs.
type Organisation struct {
	Name     OrganisationName
	Keys     []KeyHash
	Priority int
	Limit    Limit
}

// Limit is an organisation's rate and burst. A rate of zero means no limit.
type Limit struct {
	PerSecond   float64
	Burst       float64
	InTokens    bool    // rate and burst count tokens instead of requests
	PlainTokens float64 // tokens that a request without a token count stands for
}

// Cost returns what a request takes from the limit.
func (l Limit) Cost(promptTokens, maxTokens int, counted bool) float64 {
	switch {
	case !l.InTokens:
		return 1
	case !counted:
		return l.PlainTokens
	}
	return float64(promptTokens + maxTokens)
}

// Model describes a model that an engine can hold.
type Model struct {
	Name      ModelName
	WeightsMB float64
	AdapterMB float64
	LoadCold  time.Duration // from the weight store
	LoadDisk  time.Duration // from the runner's disk
	LoadWarm  time.Duration // from the runner's host memory
}

// Engine describes the model engines of a service.
type Engine struct {
	WeightsMB      float64 // room for weights and adapters on one runner
	AdapterSlots   int
	LoadsPerSecond float64 // weight store, over all runners
	HostMB         float64 // room for copies of weights in a runner's host memory
	Models         map[ModelName]Model
}

// Service is a set of runners that serve the same requests. Engine is nil for a plain service.
type Service struct {
	Name   ServiceName
	Engine *Engine
}

// Manifest is one version of the operators' configuration. It does not change once built.
type Manifest struct {
	Version       int64
	BodyBytes     int64 // longest body of a request; zero: not stated
	Services      map[ServiceName]*Service
	Organisations map[OrganisationName]*Organisation

	routes map[string][]*Route // by host, longest prefix first
	owners map[KeyHash]*Organisation
}

// NewManifest builds the indexes of a manifest.
func NewManifest(version, bodyBytes int64, services []*Service, routes []*Route, organisations []*Organisation) *Manifest {
	m := &Manifest{
		Version: version, BodyBytes: bodyBytes,
		Services:      make(map[ServiceName]*Service, len(services)),
		Organisations: make(map[OrganisationName]*Organisation, len(organisations)),
		routes:        make(map[string][]*Route), owners: make(map[KeyHash]*Organisation),
	}
	for _, s := range services {
		m.Services[s.Name] = s
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		m.routes[host] = append(m.routes[host], r)
	}
	for _, of := range m.routes {
		slices.SortStableFunc(of, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for _, o := range organisations {
		m.Organisations[o.Name] = o
		for _, k := range o.Keys {
			m.owners[k] = o
		}
	}
	return m
}

// Route returns the route of the host with the longest prefix that begins the path, or nil.
func (m *Manifest) Route(host, path string) *Route {
	for _, r := range m.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// RouteNamed returns the route with a name, or nil.
func (m *Manifest) RouteNamed(name string) *Route {
	for _, of := range m.routes {
		for _, r := range of {
			if r.Name == name {
				return r
			}
		}
	}
	return nil
}

// Routes returns all routes in no particular order.
func (m *Manifest) Routes() []*Route {
	var out []*Route
	for _, of := range m.routes {
		out = append(out, of...)
	}
	return out
}

// Owner returns the organisation that holds a key, or nil.
func (m *Manifest) Owner(k KeyHash) *Organisation { return m.owners[k] }

// HasOrganisations reports whether requests need keys at all.
func (m *Manifest) HasOrganisations() bool { return len(m.Organisations) > 0 }

// Admission is what the manifest allows for a request.
type Admission struct {
	Route        *Route
	Organisation *Organisation // nil on public routes
}

// Admit finds the route of a request and checks its key.
func (m *Manifest) Admit(r *Request) (Admission, *Refusal) {
	route := m.Route(r.Host, r.Path)
	if route == nil {
		return Admission{}, Refuse(RouteNotFound, 0, "no route for host and path")
	}
	if route.Public || !m.HasOrganisations() {
		return Admission{Route: route}, nil
	}
	var owner *Organisation
	if r.HasKey {
		owner = m.Owner(r.Key)
	}
	if owner == nil {
		return Admission{}, Refuse(InvalidKey, 0, "the request carries no valid key")
	}
	return Admission{Route: route, Organisation: owner}, nil
}
