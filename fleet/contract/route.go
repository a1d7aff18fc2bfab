package contract

import (
	"slices"
	"time"
)

// Class says how a request's time matters.
type Class int

const (
	// Question is asked by a person who is waiting for the answer.
	Question Class = iota
	// Check is an idempotent look-up that has to be fast.
	Check
	// Confirm has an effect outside the system, such as an order or a truck release.
	Confirm
	// Draft may wait, but must be done by the route's time of day.
	Draft
)

var classNames = []string{"question", "check", "confirm", "draft"}

// String returns the class's name as used in sheets, settings and metrics.
func (c Class) String() string {
	if c < 0 || int(c) >= len(classNames) {
		return "invalid"
	}
	return classNames[c]
}

// ParseClass returns the class of a name.
func ParseClass(name string) (Class, bool) {
	i := slices.Index(classNames, name)
	return Class(i), i >= 0
}

// ModelID names a model, AdapterID an adapter of a model; ServiceID names a plain service.
type (
	ModelID   string
	AdapterID string
	ServiceID string
)

// Artifact is what a replica holds: a model, or an adapter on top of its model.
type Artifact struct {
	Model   ModelID
	Adapter AdapterID // empty for the model itself
}

// String returns MODEL or MODEL+ADAPTER, the form used in keys of the platform service.
func (a Artifact) String() string {
	if a.Adapter == "" {
		return string(a.Model)
	}
	return string(a.Model) + "+" + string(a.Adapter)
}

// Base returns the model without the adapter.
func (a Artifact) Base() Artifact { return Artifact{Model: a.Model} }

// Route maps the name that callers use to a model, an adapter or a plain service.
type Route struct {
	Name          string
	Class         Class
	Idempotent    bool // false: a request runs at most once and needs an idempotency key
	Open          bool // true: needs no key
	Organisations []OrganisationID
	Artifact      Artifact  // what the engine runs; empty for a plain service
	Service       ServiceID // the plain service; empty for a model
	Deadline      time.Duration
	DoneBy        time.Duration // for Draft: time of day (UTC, since midnight) by which the answer is needed
}

// Allows reports whether the organisation may use the route.
func (r *Route) Allows(o OrganisationID) bool {
	return r.Open || slices.Contains(r.Organisations, o)
}

// DeadlineFor returns the time by which a request that arrived at now has to be answered. A positive shorter
// duration asked for by the caller takes precedence.
func (r *Route) DeadlineFor(now time.Time, asked time.Duration) time.Time {
	deadline := now.Add(r.Deadline)
	if r.Class == Draft && r.DoneBy > 0 {
		deadline = nextTimeOfDay(now, r.DoneBy)
	}
	if short := now.Add(asked); asked > 0 && short.Before(deadline) {
		return short
	}
	return deadline
}

func nextTimeOfDay(now time.Time, sinceMidnight time.Duration) time.Time {
	const day = 24 * time.Hour
	at := now.UTC().Truncate(day).Add(sinceMidnight)
	if !at.After(now) {
		at = at.Add(day)
	}
	return at
}
