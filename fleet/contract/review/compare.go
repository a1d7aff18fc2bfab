package review

import (
	"cmp"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/mangopass/mangopass/fleet/contract"
)

// Action is what a manifest does to an object of the one in force.
type Action string

// The actions.
const (
	Added   Action = "added"
	Removed Action = "removed"
	Changed Action = "changed"
)

// Change is a difference between two manifests.
type Change struct {
	Object Object
	Name   string
	Action Action
	Field  Field  // of a changed object
	Before string // of a changed field, in words, like After
	After  string
}

// String returns the change in words.
func (c Change) String() string {
	if c.Action != Changed {
		return fmt.Sprintf("%s %s: %s", c.Object, c.Name, c.Action)
	}
	name := string(c.Object)
	if c.Name != "" {
		name += " " + c.Name
	}
	return fmt.Sprintf("%s: %s: %s -> %s", name, c.Field, c.Before, c.After)
}

// property is a field of an object in words.
type property struct {
	field Field
	words string
}

// Compare returns what a manifest changes in the one in force. Keys are named by the begin of their hash.
func Compare(inForce, next *contract.Draft) []Change {
	var out []Change
	compareProperties(&out, Manifest, "", manifestProperties(inForce), manifestProperties(next))
	compareObjects(&out, Route, inForce.Routes, next.Routes, routeName, routeProperties)
	compareObjects(&out, Service, inForce.Services, next.Services, func(s *contract.Service) string { return string(s.Name) }, serviceProperties)
	compareObjects(&out, Organisation, inForce.Organisations, next.Organisations,
		func(o *contract.Organisation) string { return string(o.Name) }, organisationProperties)
	return out
}

// compareObjects appends the changes of the objects of one kind, by name.
func compareObjects[T any](out *[]Change, kind Object, before, after []T, name func(T) string, properties func(T) []property) {
	old, now := make(map[string]T), make(map[string]T)
	for _, o := range before {
		old[name(o)] = o
	}
	for _, o := range after {
		now[name(o)] = o
	}
	for _, n := range slices.Sorted(maps.Keys(old)) {
		if _, stays := now[n]; !stays {
			*out = append(*out, Change{Object: kind, Name: n, Action: Removed})
		}
	}
	for _, n := range slices.Sorted(maps.Keys(now)) {
		if o, known := old[n]; known {
			compareProperties(out, kind, n, properties(o), properties(now[n]))
		} else {
			*out = append(*out, Change{Object: kind, Name: n, Action: Added})
		}
	}
}

// compareProperties appends the changes of one object. A property that only one of the lists has is missing in the other one.
func compareProperties(out *[]Change, kind Object, name string, before, after []property) {
	const missing = "none"
	old := make(map[Field]string)
	for _, p := range before {
		old[p.field] = p.words
	}
	for _, p := range after {
		words, known := old[p.field]
		if delete(old, p.field); !known {
			words = missing
		}
		if words != p.words {
			*out = append(*out, Change{Object: kind, Name: name, Action: Changed, Field: p.field, Before: words, After: p.words})
		}
	}
	for _, field := range slices.Sorted(maps.Keys(old)) {
		*out = append(*out, Change{Object: kind, Name: name, Action: Changed, Field: field, Before: old[field], After: missing})
	}
}

func manifestProperties(d *contract.Draft) []property {
	access := "anybody can call"
	if d.NeedsKeys {
		access = "calls need a key"
	}
	return []property{{Version, fmt.Sprint(d.Version)}, {BodyLimit, fmt.Sprintf("%d bytes", d.BodyBytes)}, {Organisations, access}}
}

// routeName returns the name of a route, or its place if it has none.
func routeName(r *contract.Route) string { return cmp.Or(r.Name, r.Host+r.Prefix) }

func routeProperties(r *contract.Route) []property {
	var backends []string
	for _, b := range r.Backends {
		backends = append(backends, fmt.Sprintf("%s (weight %g)", b.Service, b.Weight))
	}
	return []property{
		{Host, r.Host}, {Prefix, r.Prefix}, {Kind, r.Kind.String()}, {Resumable, fmt.Sprint(r.Resumable)}, {Public, fmt.Sprint(r.Public)},
		{Timeout, r.Timeout.String()}, {Objective, r.Objective.String()}, {MaxGap, r.MaxGap.String()},
		{Priority, fmt.Sprint(r.Priority)}, {MaxAttempts, fmt.Sprint(r.MaxAttempts)}, {Backends, strings.Join(backends, ", ")},
	}
}

func serviceProperties(s *contract.Service) []property {
	out := []property{{ColdTime, s.Cold.Time.String()}, {ColdRate, fmt.Sprintf("%g per second", s.Cold.PerSecond)}}
	if s.Engine == nil {
		return out
	}
	e := s.Engine
	out = append(out, []property{
		{EngineMemory, fmt.Sprintf("%g MB", e.WeightsMB)}, {HostMemory, fmt.Sprintf("%g MB", e.HostMB)},
		{AdapterSlots, fmt.Sprint(e.AdapterSlots)}, {LoadRate, fmt.Sprintf("%g", e.LoadsPerSecond)},
	}...)
	for _, name := range slices.Sorted(maps.Keys(e.Models)) {
		m := e.Models[name]
		out = append(out, property{Field("model " + string(name)), fmt.Sprintf(
			"%g MB, %d adapters of %g MB, loads in %v, %v from disk, %v from memory",
			m.WeightsMB, m.Adapters, m.AdapterMB, m.LoadCold, m.LoadDisk, m.LoadWarm)})
	}
	return out
}

// shownHash is the number of bytes of a key's hash that are shown: enough to tell keys apart.
const shownHash = 4

func organisationProperties(o *contract.Organisation) []property {
	priority := "that of the route"
	if o.Priority != nil {
		priority = fmt.Sprint(*o.Priority)
	}
	unit := "requests"
	if o.Limit.InTokens {
		unit = "tokens"
	}
	var hashes []string
	for _, k := range o.Keys {
		hashes = append(hashes, hex.EncodeToString(k[:shownHash]))
	}
	slices.Sort(hashes)
	return []property{
		{Priority, priority}, {Unit, unit}, {Rate, fmt.Sprintf("%g per second", o.Limit.PerSecond)}, {Burst, fmt.Sprintf("%g", o.Limit.Burst)},
		{PlainTokens, fmt.Sprintf("%g", o.Limit.PlainTokens)}, {Keys, strings.TrimSpace(fmt.Sprintf("%d %s", len(hashes), strings.Join(hashes, " ")))},
	}
}
