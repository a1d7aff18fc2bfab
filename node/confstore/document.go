package confstore

import (
	"encoding/hex"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopass/mangopass/fleet/contract"
)

// Document is the JSON form of one part of a configuration. Durations are in milliseconds.
type Document struct {
	Organisations []OrganisationDoc `json:"organisations,omitempty"`
	Keys          []KeyDoc          `json:"keys,omitempty"`
	Routes        []RouteDoc        `json:"routes,omitempty"`
	Models        []ModelDoc        `json:"models,omitempty"`
	Adapters      []AdapterDoc      `json:"adapters,omitempty"`
	Plan          []PlacementDoc    `json:"plan,omitempty"`
}

// OrganisationDoc is the JSON form of contract.Organisation.
type OrganisationDoc struct {
	ID              string  `json:"id"`
	Name            string  `json:"name,omitempty"`
	TokensPerSecond float64 `json:"tokens_per_second"`
	BurstTokens     float64 `json:"burst_tokens"`
}

// KeyDoc is the JSON form of contract.Key.
type KeyDoc struct {
	ID           string `json:"id"`
	SHA256       string `json:"sha256"`
	Organisation string `json:"organisation"`
}

// RouteDoc is the JSON form of contract.Route.
type RouteDoc struct {
	Name          string   `json:"name"`
	Class         string   `json:"class"`
	Idempotent    bool     `json:"idempotent"`
	Open          bool     `json:"open,omitempty"`
	Organisations []string `json:"organisations,omitempty"`
	Model         string   `json:"model,omitempty"`
	Adapter       string   `json:"adapter,omitempty"`
	Service       string   `json:"service,omitempty"`
	DeadlineMs    int64    `json:"deadline_ms"`
	DoneByMs      int64    `json:"done_by_ms,omitempty"`
}

// ModelDoc is the JSON form of contract.Model.
type ModelDoc struct {
	ID    string `json:"id"`
	Bytes int64  `json:"bytes"`
}

// AdapterDoc is the JSON form of contract.Adapter.
type AdapterDoc struct {
	ID    string `json:"id"`
	Model string `json:"model"`
	Bytes int64  `json:"bytes"`
}

// PlacementDoc is the JSON form of contract.Placement.
type PlacementDoc struct {
	Model        string `json:"model"`
	Adapter      string `json:"adapter,omitempty"`
	DataCentre   string `json:"data_centre"`
	Replicas     int    `json:"replicas"`
	ReadyFromMs  int64  `json:"ready_from_ms,omitempty"`
	ReadyUntilMs int64  `json:"ready_until_ms,omitempty"`
}

// Encode returns the parts of a configuration in a form that is equal for equal configurations, so that unchanged parts
// keep their hashes: one part for organisations, keys and routes, one for models and adapters, one for the plan.
func Encode(c *contract.Config) [][]byte {
	var people, things, plan Document
	for _, o := range c.Organisations {
		people.Organisations = append(people.Organisations, OrganisationDoc{
			ID: string(o.ID), Name: o.Name, TokensPerSecond: o.Limit.TokensPerSecond, BurstTokens: o.Limit.BurstTokens,
		})
	}
	for _, k := range c.Keys {
		people.Keys = append(people.Keys, KeyDoc{
			ID: k.ID, SHA256: hex.EncodeToString(k.Hash[:]), Organisation: string(k.Organisation),
		})
	}
	for _, r := range c.Routes {
		people.Routes = append(people.Routes, encodeRoute(r))
	}
	for _, m := range c.Models {
		things.Models = append(things.Models, ModelDoc{ID: string(m.ID), Bytes: m.Bytes})
	}
	for _, a := range c.Adapters {
		things.Adapters = append(things.Adapters, AdapterDoc{ID: string(a.ID), Model: string(a.Model), Bytes: a.Bytes})
	}
	for _, p := range c.Plan {
		plan.Plan = append(plan.Plan, encodePlacement(p))
	}
	people.sort()
	things.sort()
	return [][]byte{marshal(people), marshal(things), marshal(plan)}
}

func (d *Document) sort() {
	slices.SortFunc(d.Organisations, func(a, b OrganisationDoc) int { return strings.Compare(a.ID, b.ID) })
	slices.SortFunc(d.Keys, func(a, b KeyDoc) int { return strings.Compare(a.SHA256, b.SHA256) })
	slices.SortFunc(d.Routes, func(a, b RouteDoc) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(d.Models, func(a, b ModelDoc) int { return strings.Compare(a.ID, b.ID) })
	slices.SortFunc(d.Adapters, func(a, b AdapterDoc) int {
		return strings.Compare(a.Model+"+"+a.ID, b.Model+"+"+b.ID)
	})
}

func marshal(d Document) []byte {
	data, err := json.Marshal(d)
	if err != nil {
		panic("confstore: document without JSON form: " + err.Error())
	}
	return data
}

func encodeRoute(r contract.Route) RouteDoc {
	doc := RouteDoc{
		Name: r.Name, Class: r.Class.String(), Idempotent: r.Idempotent, Open: r.Open,
		Model: string(r.Artifact.Model), Adapter: string(r.Artifact.Adapter), Service: string(r.Service),
		DeadlineMs: r.Deadline.Milliseconds(), DoneByMs: r.DoneBy.Milliseconds(),
	}
	for _, o := range r.Organisations {
		doc.Organisations = append(doc.Organisations, string(o))
	}
	return doc
}

func encodePlacement(p contract.Placement) PlacementDoc {
	return PlacementDoc{
		Model: string(p.Artifact.Model), Adapter: string(p.Artifact.Adapter), DataCentre: p.DataCentre,
		Replicas: p.Replicas, ReadyFromMs: p.ReadyFrom.Milliseconds(), ReadyUntilMs: p.ReadyUntil.Milliseconds(),
	}
}

// Decode joins the parts of a generation.
func Decode(generation uint64, docs ...Document) (*contract.Config, error) {
	c := contract.NewConfig(generation)
	for _, d := range docs {
		if err := d.addTo(c); err != nil {
			return nil, errors.Mark(err, ErrDamaged)
		}
	}
	return c, nil
}

func (d *Document) addTo(c *contract.Config) error {
	for _, o := range d.Organisations {
		id := contract.OrganisationID(o.ID)
		limit := contract.Limit{TokensPerSecond: o.TokensPerSecond, BurstTokens: o.BurstTokens}
		c.Organisations[id] = contract.Organisation{ID: id, Name: o.Name, Limit: limit}
	}
	for _, k := range d.Keys {
		var hash contract.KeyHash
		if n, err := hex.Decode(hash[:], []byte(k.SHA256)); err != nil || n != len(hash) {
			return errors.Newf("key %s: sha256 is not %d hex digits", k.ID, 2*len(hash))
		}
		c.Keys[hash] = contract.Key{ID: k.ID, Hash: hash, Organisation: contract.OrganisationID(k.Organisation)}
	}
	for _, r := range d.Routes {
		route, err := r.decode()
		if err != nil {
			return err
		}
		c.Routes[r.Name] = route
	}
	for _, m := range d.Models {
		c.Models[contract.ModelID(m.ID)] = contract.Model{ID: contract.ModelID(m.ID), Bytes: m.Bytes}
	}
	for _, a := range d.Adapters {
		adapter := contract.Adapter{ID: contract.AdapterID(a.ID), Model: contract.ModelID(a.Model), Bytes: a.Bytes}
		c.Adapters[contract.Artifact{Model: adapter.Model, Adapter: adapter.ID}] = adapter
	}
	for _, p := range d.Plan {
		c.Plan = append(c.Plan, p.decode())
	}
	return nil
}

func (r *RouteDoc) decode() (contract.Route, error) {
	class, ok := contract.ParseClass(r.Class)
	if !ok {
		return contract.Route{}, errors.Newf("route %s: unknown class %q", r.Name, r.Class)
	}
	route := contract.Route{
		Name: r.Name, Class: class, Idempotent: r.Idempotent, Open: r.Open,
		Artifact: contract.Artifact{Model: contract.ModelID(r.Model), Adapter: contract.AdapterID(r.Adapter)},
		Service:  contract.ServiceID(r.Service),
		Deadline: milliseconds(r.DeadlineMs), DoneBy: milliseconds(r.DoneByMs),
	}
	for _, o := range r.Organisations {
		route.Organisations = append(route.Organisations, contract.OrganisationID(o))
	}
	return route, nil
}

func (p *PlacementDoc) decode() contract.Placement {
	return contract.Placement{
		Artifact:   contract.Artifact{Model: contract.ModelID(p.Model), Adapter: contract.AdapterID(p.Adapter)},
		DataCentre: p.DataCentre, Replicas: p.Replicas,
		ReadyFrom: milliseconds(p.ReadyFromMs), ReadyUntil: milliseconds(p.ReadyUntilMs),
	}
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
