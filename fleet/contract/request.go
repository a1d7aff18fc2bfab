package contract

import "time"

// Request is one caller's request as the entry VM decides on it. It holds the key's hash, never the key.
type Request struct {
	ID             string
	Key            KeyHash
	HasKey         bool
	Route          string
	IdempotencyKey string // empty if the caller gave none
	BodyDigest     uint64 // xxhash64 of the body
	PromptTokens   int    // estimate
	MaxTokens      int    // most tokens that the answer may have
	Arrived        time.Time
	AskedDeadline  time.Duration // zero: the route's
}

// Tokens returns what the request is charged on admission.
func (r *Request) Tokens() float64 { return float64(r.PromptTokens + r.MaxTokens) }

// Grant is a request that may run: for whom, on which route and until when.
type Grant struct {
	Organisation OrganisationID
	Route        *Route
	Deadline     time.Time
}

// Authorise resolves the request's key and route. On an open route the organisation is empty if no valid key came
// with the request. It does not look at rates.
func (c *Config) Authorise(r *Request) (Grant, *Refusal) {
	var owner OrganisationID
	known := false
	if r.HasKey {
		owner, known = c.KeyOwner(r.Key)
	}
	route, found := c.Routes[r.Route]
	if found && route.Open {
		return Grant{Organisation: owner, Route: &route, Deadline: route.DeadlineFor(r.Arrived, r.AskedDeadline)}, nil
	}
	if !known {
		return Grant{}, Refuse(InvalidKey, 0, "the request carries no valid key")
	}
	if !found {
		return Grant{}, Refuse(RouteNotFound, 0, "there is no route %q", r.Route)
	}
	if !route.Allows(owner) {
		return Grant{}, Refuse(RouteNotAllowed, 0, "the organisation may not use route %q", r.Route)
	}
	return Grant{Organisation: owner, Route: &route, Deadline: route.DeadlineFor(r.Arrived, r.AskedDeadline)}, nil
}
