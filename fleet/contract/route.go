package contract

import (
	"slices"
	"time"
)

// Names of the objects in a manifest.
type (
	ServiceName      string
	OrganisationName string
	ModelName        string
	AdapterName      string
)

// Kind says whether a route's requests may run more than once and how they are answered.
type Kind int

// The kinds of routes.
const (
	Unsafe Kind = iota // at most one run each time the caller sends the request
	Safe               // may run more than once
	Stream             // answered by a stream of events; at most one run unless the route is resumable
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

// Backend is a service of a route and its share of the requests: Weight divided by the sum of all weights.
type Backend struct {
	Service ServiceName
	Weight  float64
}

// Route maps a host and a path prefix to the services that run the requests.
type Route struct {
	Name        string
	Host        string
	Prefix      string // begins and ends with a slash
	Kind        Kind
	Resumable   bool          // a broken stream may be continued by another runner
	Public      bool          // requests need no key
	Timeout     time.Duration // longest time to the final answer
	Objective   time.Duration // time to the answer within which it counts in full; streams: to the first event
	MaxGap      time.Duration // longest pause between events of a stream that counts as on time
	Priority    int           // 0 is the most urgent
	MaxAttempts int           // largest number of runners to which a request is sent each time the caller sends it
	Backends    []Backend
	Invalid     bool // it can't be read in full: its requests are refused
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool { return r.Kind == Safe || r.Kind == Stream && r.Resumable }

// Callers abandon a stream after a time without an event: the longest of minPatience, objectivePatience times the latency
// objective and gapPatience times the longest pause that counts as on time.
const (
	minPatience       = 2 * time.Second
	objectivePatience = 4
	gapPatience       = 8
)

// Patience returns how long callers of a stream wait for its first event, or the next one, before they abandon it.
func (r *Route) Patience() time.Duration {
	return max(minPatience, objectivePatience*r.Objective, gapPatience*r.MaxGap)
}

// ResumableStream reports whether answers of the route are streams that may go on at another runner.
func (r *Route) ResumableStream() bool { return r.Kind == Stream && r.Resumable }

// HasBackend reports whether a service is one of the route's. New requests go there only if it has a weight; streams that have
// begun there go on there in any case.
func (r *Route) HasBackend(s ServiceName) bool {
	return slices.ContainsFunc(r.Backends, func(b Backend) bool { return b.Service == s })
}

// Backend chooses a service by weight; point is a uniformly distributed number from 0 to 1. A service of weight zero is chosen only if
// all are.
func (r *Route) Backend(point float64) ServiceName {
	total := 0.0
	for _, b := range r.Backends {
		total += b.Weight
	}
	left, chosen := point*total, r.Backends[len(r.Backends)-1].Service
	for _, b := range r.Backends {
		if b.Weight <= 0 {
			continue
		}
		chosen = b.Service // the last one takes what rounding leaves
		if left -= b.Weight; left < 0 {
			break
		}
	}
	return chosen
}
