// Package contract holds the operators' manifest with its routes, services, organisations, API keys and limits, and
// the refusals that a caller can get. It does no I/O; the current time is always an argument.
package contract

import (
	"crypto/sha256"
	"strings"
	"time"
)

// KeyHash is the SHA-256 hash of a caller's API key. Keys are stored and compared only in this form.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Organisation is a customer. Its limit applies to the sum of its requests at all entry VMs.
type Organisation struct {
	Name     OrganisationName
	Keys     []KeyHash
	Priority *int // 0 is the most urgent; goes before a route's priority; nil: not stated
	Limit    Limit
	Invalid  bool // its name or its limit can't be read: its requests are refused
}

// Limit is an organisation's rate and burst, in requests or in tokens. A rate of zero means no limit.
type Limit struct {
	PerSecond   float64
	Burst       float64
	InTokens    bool    // PerSecond and Burst are in tokens instead of requests
	PlainTokens float64 // tokens charged for a request without known token counts
}

// Cost returns what a request takes from the limit, in its unit. counted says whether the token counts are known.
func (l Limit) Cost(promptTokens, maxTokens int, counted bool) float64 {
	switch {
	case !l.InTokens:
		return 1
	case !counted:
		return l.PlainTokens
	}
	return float64(promptTokens + maxTokens)
}

// Model describes a model that an engine can load.
type Model struct {
	Name      ModelName
	WeightsMB float64
	AdapterMB float64       // memory of one adapter
	Adapters  int           // number of the model's adapters
	LoadCold  time.Duration // duration of a load from the weight store
	LoadDisk  time.Duration // duration of a load from the runner's disk
	LoadWarm  time.Duration // duration of a load from the runner's host memory
}

// Engine describes the model engines of a service.
type Engine struct {
	WeightsMB      float64 // memory for weights and adapters on one runner
	AdapterSlots   int     // largest number of adapters on one runner
	LoadsPerSecond float64 // loads that the weight store sustains, over all runners
	HostMB         float64 // space for copies of weights in a runner's host memory
	Models         map[ModelName]Model
}

// Service is a set of runners that serve the same requests. Engine is nil for a plain service.
type Service struct {
	Name   ServiceName
	Engine *Engine
	Cold   Cold
}

// Cold says what a service's runners take while they are cold.
type Cold struct {
	Time      time.Duration // for which a runner is cold after its start
	PerSecond float64       // requests a second that a cold runner takes from all VMs together; zero: no limit
}

// Manifest is one version of the operators' configuration, built by Draft.Manifest. It does not change once built.
type Manifest struct {
	Version       int64 // zero: it can't be read
	BodyBytes     int64 // longest body of a request in bytes; zero: not stated
	NeedsKeys     bool  // requests on routes that are not public need a key
	UnknownRoutes bool  // there are routes whose host can't be read
	UnknownKeys   bool  // there are keys that can't be read
	Services      map[ServiceName]*Service
	Organisations map[OrganisationName]*Organisation // without those that can't be read

	routes map[string][]*Route // by host in lower case, longest prefix first
	owners map[KeyHash]*Organisation
}

// WithVersion returns the same manifest with another version.
func (m *Manifest) WithVersion(version int64) *Manifest {
	out := *m
	out.Version = version
	return &out
}

// WithKeysOf returns the same manifest with those keys only that another one lists for the same organisation, and the number of the
// other keys. Requests with these count as ones with keys that can't be read.
func (m *Manifest) WithKeysOf(other *Manifest) (*Manifest, int) {
	out := *m
	out.owners = make(map[KeyHash]*Organisation, len(m.owners))
	for key, owner := range m.owners {
		if o := other.owners[key]; o != nil && o.Name == owner.Name {
			out.owners[key] = owner
		}
	}
	removed := len(m.owners) - len(out.owners)
	out.UnknownKeys = m.UnknownKeys || removed > 0
	return &out, removed
}

// Route returns the host's route with the longest prefix of the path, or nil. The case of the host is ignored.
func (m *Manifest) Route(host, path string) *Route {
	for _, r := range m.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// RouteNamed returns the route with the given name, or nil.
func (m *Manifest) RouteNamed(name string) *Route {
	for _, hostRoutes := range m.routes {
		for _, r := range hostRoutes {
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
	for _, hostRoutes := range m.routes {
		out = append(out, hostRoutes...)
	}
	return out
}

// ServesResumableStreams reports whether a route sends resumable streams to a service.
func (m *Manifest) ServesResumableStreams(s ServiceName) bool {
	for _, hostRoutes := range m.routes {
		for _, r := range hostRoutes {
			if r.ResumableStream() && r.HasBackend(s) {
				return true
			}
		}
	}
	return false
}

// Owner returns the organisation to which a key belongs, or nil.
func (m *Manifest) Owner(k KeyHash) *Organisation { return m.owners[k] }

// NoRoute returns the refusal of a request for which there is no route that can be read.
func (m *Manifest) NoRoute(detail string) *Refusal {
	if m.UnknownRoutes {
		return Refuse(ManifestInvalid, invalidRetryAfter, "the manifest has routes that can't be read")
	}
	return Refuse(RouteNotFound, 0, "%s", detail)
}

// AdmitsKeys reports whether requests with a key can be admitted, or refused for good.
func (m *Manifest) AdmitsKeys() bool { return len(m.owners) > 0 || !m.UnknownKeys }

// invalidRetryAfter is when a caller may come again whose request depends on a part of the manifest that can't be read. The operators
// have to write it again.
const invalidRetryAfter = time.Second

// Admission is the route and the organisation of an admitted request.
type Admission struct {
	Route        *Route
	Organisation *Organisation // nil if the request needs no key
}

// Admit finds the route of a request and checks its key. It does not check limits.
func (m *Manifest) Admit(r *Request) (Admission, *Refusal) {
	route := m.Route(r.Host, r.Path)
	switch {
	case route == nil:
		return Admission{}, m.NoRoute("no route for host and path")
	case route.Invalid:
		return Admission{}, Refuse(ManifestInvalid, invalidRetryAfter, "the route can't be read in the manifest")
	}
	if route.Public || !m.NeedsKeys {
		return Admission{Route: route}, nil
	}
	owner, refusal := m.Authenticate(r.Key, r.HasKey)
	if refusal != nil {
		return Admission{}, refusal
	}
	return Admission{Route: route, Organisation: owner}, nil
}

// Authenticate returns the organisation to which a request's key belongs, or the refusal of the request.
func (m *Manifest) Authenticate(key KeyHash, hasKey bool) (*Organisation, *Refusal) {
	owner := m.owners[key]
	switch {
	case !hasKey || owner == nil && !m.UnknownKeys:
		return nil, Refuse(InvalidKey, 0, "the request carries no valid key")
	case owner == nil:
		return nil, Refuse(ManifestInvalid, invalidRetryAfter, "the manifest has keys that can't be read")
	case owner.Invalid:
		return nil, Refuse(ManifestInvalid, invalidRetryAfter, "the organisation can't be read in the manifest")
	}
	return owner, nil
}
