// Package zone holds the data centres and regions in which the VMs stand, and the distances between them.
package zone

import "time"

// DataCentreID names a data centre, RegionID a region.
type (
	DataCentreID string
	RegionID     string
)

// DataCentre is one site.
type DataCentre struct {
	ID     DataCentreID
	Region RegionID
}

// Distances between data centres, as round-trip times, for pairs that no measurement covers.
const (
	sameDataCentre = 200 * time.Microsecond
	sameRegion     = 1500 * time.Microsecond
	otherRegion    = 40 * time.Millisecond
)

// Map knows the data centres of a deployment.
type Map struct {
	centres map[DataCentreID]DataCentre
}

// NewMap returns a map of the given data centres.
func NewMap(centres ...DataCentre) *Map {
	m := &Map{centres: make(map[DataCentreID]DataCentre, len(centres))}
	for _, c := range centres {
		m.centres[c.ID] = c
	}
	return m
}

// Distance returns the expected round-trip time between two data centres. An unknown data centre counts as being in
// another region.
func (m *Map) Distance(a, b DataCentreID) time.Duration {
	if a == b {
		return sameDataCentre
	}
	ca, okA := m.centres[a]
	cb, okB := m.centres[b]
	if okA && okB && ca.Region == cb.Region {
		return sameRegion
	}
	return otherRegion
}
