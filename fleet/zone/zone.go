// Package zone holds the zones and regions in which the machines stand, and the distances between them.
package zone

import "time"

// ID names a zone, RegionID a region.
type (
	ID       string
	RegionID string
)

// Distances between zones, as round-trip times.
const (
	sameZone    = 200 * time.Microsecond
	sameRegion  = 3 * time.Millisecond
	otherRegion = 40 * time.Millisecond
)

// Map knows the region of each zone.
type Map map[ID]RegionID

// Distance returns the expected round-trip time between two zones. An unknown zone counts as being in another region.
func (m Map) Distance(a, b ID) time.Duration {
	if a == b {
		return sameZone
	}
	ra, okA := m[a]
	rb, okB := m[b]
	if okA && okB && ra == rb {
		return sameRegion
	}
	return otherRegion
}
