package contract

import "time"

// Names of objects in a manifest.
type (
	ServiceName      string
	OrganisationName string
	ModelName        string
	AdapterName      string
)

// Kind says how a route's requests may be repeated and how they are answered.
type Kind int

// The kinds of routes.
const (
	Unsafe Kind = iota // at most one run per attempt of the caller
	Safe               // may run more than once
	Stream             // answered by events; at most one run unless the route is resumable
)

// String returns the name of the kind for logs.
func (k Kind) String() string {
	switch k {
	case Safe:
		return "safe"
	case Stream:
		return "stream"
	}
	return "unsafe"
}

// Backend is one service of a route with its share of the requests.
type Backend struct {
	Service ServiceName
	Weight  int
}

// Route maps a host and a path prefix to the services that run the requests.
type Route struct {
	Name        string
	Host        string
	Prefix      string // begins and ends with a slash
	Kind        Kind
	Resumable   bool // a broken stream may go on at another runner
	Public      bool // requests need no key
	Timeout     time.Duration
	Objective   time.Duration // latency within which an answer counts in full; streams: to the first event
	MaxGap      time.Duration // longest pause between events that counts as on time
	Priority    int           // 0 is the most urgent
	MaxAttempts int           // runners to which one attempt of a caller may go
	Backends    []Backend
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool { return r.Kind == Safe || r.Kind == Stream && r.Resumable }

// Backend picks a service by weight; point is a uniform number from 0 to 1.
func (r *Route) Backend(point float64) ServiceName {
	total := 0
	for _, b := range r.Backends {
		total += b.Weight
	}
	left := point * float64(total)
	for _, b := range r.Backends {
		left -= float64(b.Weight)
		if left < 0 {
			return b.Service
		}
	}
	return r.Backends[len(r.Backends)-1].Service
}
