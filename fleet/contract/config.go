package contract

import "time"

// Model is a model that the engines can load.
type Model struct {
	ID    ModelID
	Bytes int64
}

// Adapter is a small addition to a model.
type Adapter struct {
	ID    AdapterID
	Model ModelID
	Bytes int64
}

// Placement is one row of the plan: how many replicas of an artifact may exist in a data centre, and when they should
// be ready. Outside the window replicas may still be woken by requests, up to Replicas.
type Placement struct {
	Artifact   Artifact
	DataCentre string
	Replicas   int
	ReadyFrom  time.Duration // time of day, UTC; equal to ReadyUntil: no ready window
	ReadyUntil time.Duration
}

// Ready reports whether the placement's window holds at now. A window may span midnight.
func (p *Placement) Ready(now time.Time) bool {
	const day = 24 * time.Hour
	at := now.UTC().Sub(now.UTC().Truncate(day))
	if p.ReadyFrom <= p.ReadyUntil {
		return p.ReadyFrom <= at && at < p.ReadyUntil
	}
	return at >= p.ReadyFrom || at < p.ReadyUntil
}

// Config is one generation of the operators' configuration. It is immutable once it is in force.
type Config struct {
	Generation    uint64
	Organisations map[OrganisationID]Organisation
	Keys          map[KeyHash]Key
	Routes        map[string]Route
	Models        map[ModelID]Model
	Adapters      map[Artifact]Adapter
	Plan          []Placement
}

// NewConfig returns an empty configuration of a generation.
func NewConfig(generation uint64) *Config {
	return &Config{
		Generation:    generation,
		Organisations: make(map[OrganisationID]Organisation),
		Keys:          make(map[KeyHash]Key),
		Routes:        make(map[string]Route),
		Models:        make(map[ModelID]Model),
		Adapters:      make(map[Artifact]Adapter),
	}
}

// KeyOwner returns the organisation of a presented key's hash.
func (c *Config) KeyOwner(h KeyHash) (OrganisationID, bool) {
	k, ok := c.Keys[h]
	if !ok || !k.Hash.Equal(h) {
		return "", false
	}
	return k.Organisation, true
}

// Placements returns the plan's rows for an artifact.
func (c *Config) Placements(a Artifact) []Placement {
	var rows []Placement
	for _, p := range c.Plan {
		if p.Artifact == a {
			rows = append(rows, p)
		}
	}
	return rows
}

// BytesOf returns the memory that an artifact takes on a target and whether the configuration knows it.
func (c *Config) BytesOf(a Artifact) (int64, bool) {
	if a.Adapter == "" {
		m, ok := c.Models[a.Model]
		return m.Bytes, ok
	}
	ad, ok := c.Adapters[a]
	return ad.Bytes, ok
}
