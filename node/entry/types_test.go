package entry

import "github.com/mangopass/mangopass/fleet/zone"

type (
	zoneID   = zone.ID
	regionID = zone.RegionID
)
