package contract

import (
	"slices"
	"strings"
)

// Draft lists what a manifest states, in its order and with entries that exclude each other, for a check before it is in force.
type Draft struct {
	Version       int64
	BodyBytes     int64
	Services      []*Service
	Routes        []*Route
	NeedsKeys     bool // requests need a key, even if no organisation has one
	Organisations []*Organisation
	UnknownRoutes bool // there are routes whose host can't be read
	UnknownKeys   bool // there are keys that can't be read
}

// Manifest returns the manifest that is in force with the draft.
func (d *Draft) Manifest() *Manifest {
	m := &Manifest{
		Version: d.Version, BodyBytes: d.BodyBytes, NeedsKeys: d.NeedsKeys, UnknownRoutes: d.UnknownRoutes, UnknownKeys: d.UnknownKeys,
		Services:      make(map[ServiceName]*Service, len(d.Services)),
		Organisations: make(map[OrganisationName]*Organisation, len(d.Organisations)),
		routes:        make(map[string][]*Route), owners: make(map[KeyHash]*Organisation),
	}
	for _, s := range d.Services {
		m.Services[s.Name] = s
	}
	for _, r := range d.Routes {
		host := strings.ToLower(r.Host)
		m.routes[host] = append(m.routes[host], r)
	}
	for _, hostRoutes := range m.routes {
		slices.SortStableFunc(hostRoutes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for _, o := range d.Organisations {
		if !o.Invalid {
			m.Organisations[o.Name] = o
		}
		for _, k := range o.Keys {
			m.owners[k] = o
		}
	}
	return m
}
