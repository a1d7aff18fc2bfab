// Package zone maps zones to regions and estimates the round-trip times between zones.
package zone

import "time"

// ID is the name of a zone, RegionID that of a region.
type (
	ID       string
	RegionID string
)

// Expected round-trip times between zones.
const (
	sameZone    = 200 * time.Microsecond
	sameRegion  = 3 * time.Millisecond
	otherRegion = 40 * time.Millisecond
)

// Map holds the region of each zone.
type Map map[ID]RegionID

// Distance returns the expected round-trip time between two zones. An unknown zone counts as being in another region.
func (m Map) Distance(a, b ID) time.Duration {
	if a == b {
		return sameZone
	}
	if m.Apart(a, b) {
		return otherRegion
	}
	return sameRegion
}

// Apart reports whether two zones are in different regions. An unknown zone counts as being in another region.
func (m Map) Apart(a, b ID) bool {
	ra, okA := m[a]
	rb, okB := m[b]
	return a != b && !(okA && okB && ra == rb)
}
