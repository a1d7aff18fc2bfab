// Package review checks a manifest before it is put in force: what can't work, what never matches, limits that contradict each
// other, and what differs from the manifest in force. It does no I/O.
package review

import (
	"slices"
	"strconv"

	"github.com/mangopass/mangopass/fleet/contract"
)

// Severity says what a finding means for callers.
type Severity int

// The severities.
const (
	Warning Severity = iota // it has no effect, or an effect that is hardly meant
	Error                   // some requests can't be served as the manifest states
)

// String returns the severity's name.
func (s Severity) String() string {
	if s == Error {
		return "error"
	}
	return "warning"
}

// Object is the kind of an object in a manifest.
type Object string

// The kinds of objects.
const (
	Manifest     Object = "manifest"
	Route        Object = "route"
	Service      Object = "service"
	Organisation Object = "organisation"
)

// Field is a field of an object.
type Field string

// The fields that findings and changes name.
const (
	Version        Field = "version"
	BodyLimit      Field = "body limit"
	Routes         Field = "routes"
	Organisations  Field = "organisations"
	Name           Field = "name"
	Host           Field = "host"
	Prefix         Field = "prefix"
	Kind           Field = "kind"
	Resumable      Field = "resumable"
	Public         Field = "public"
	Timeout        Field = "timeout"
	Objective      Field = "objective"
	MaxGap         Field = "longest pause"
	Priority       Field = "priority"
	MaxAttempts    Field = "attempts"
	Backends       Field = "services"
	BackendService Field = "service of a route" // the item is its index
	BackendWeight  Field = "weight"             // the item is the index of the service
	ColdTime       Field = "cold time"
	ColdRate       Field = "requests of a cold runner"
	Engine         Field = "engine"
	EngineMemory   Field = "memory"
	HostMemory     Field = "host memory"
	AdapterSlots   Field = "adapter slots"
	LoadRate       Field = "loads per second"
	Models         Field = "models"
	ModelMemory    Field = "weights"      // the item is the model, as in the following
	ModelLoad      Field = "load times"   //
	ModelAdapters  Field = "adapters"     //
	AdapterMemory  Field = "adapter size" //
	Keys           Field = "keys"
	Key            Field = "key" // the item is its index
	Rate           Field = "rate"
	Burst          Field = "burst"
	Unit           Field = "unit"
	PlainTokens    Field = "plain tokens"
)

// Place is a field in a manifest.
type Place struct {
	Object Object
	Index  int // of the object among those of its kind
	Field  Field
	Item   string // in the field, if it is a list
}

// Finding is something that is wrong with a manifest.
type Finding struct {
	Severity Severity
	Place    Place
	Text     string
}

// findings collects the findings of one object.
type findings struct {
	object Object
	index  int
	list   *[]Finding
}

func (f findings) add(s Severity, field Field, item, text string) {
	*f.list = append(*f.list, Finding{
		Severity: s, Place: Place{Object: f.object, Index: f.index, Field: field, Item: item}, Text: text,
	})
}

func (f findings) error(field Field, text string)   { f.add(Error, field, "", text) }
func (f findings) warning(field Field, text string) { f.add(Warning, field, "", text) }

// Review returns what is wrong with a manifest, in the order of its fields.
func Review(d *contract.Draft) []Finding {
	var list []Finding
	root := findings{object: Manifest, list: &list}
	switch {
	case d.BodyBytes < 0:
		root.error(BodyLimit, "is negative")
	case d.BodyBytes == 0:
		root.warning(BodyLimit, "is zero or missing; the limit of before stays in force")
	}
	if len(d.Routes) == 0 {
		root.error(Routes, "there is no route; all requests are refused")
	}
	switch {
	case !d.NeedsKeys:
		root.warning(Organisations, "are not stated; anybody can call all routes without a key")
	case !slices.ContainsFunc(d.Organisations, func(o *contract.Organisation) bool { return len(o.Keys) > 0 }):
		root.warning(Organisations, "there is no key; all callers are refused on all routes but the public ones")
	}
	reviewRoutes(d, &list)
	reviewServices(d, &list)
	reviewOrganisations(d, &list)
	return list
}

// Versions returns a finding if the version of a manifest is not newer than the one in force.
func Versions(inForce, next *contract.Draft) []Finding {
	if next.Version > inForce.Version {
		return nil
	}
	effect := " in force; the manifest would be ignored"
	if next.Version == inForce.Version {
		effect = " in force; VMs can't tell the two apart after an outage of the store"
	}
	return []Finding{{Severity: Error, Place: Place{Object: Manifest, Field: Version}, Text: "is " +
		strconv.FormatInt(next.Version, 10) + ", not newer than " + strconv.FormatInt(inForce.Version, 10) + effect}}
}
