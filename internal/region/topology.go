package region

import "maps"

// Distance is the distance between two zones.
type Distance int

// Distances in ascending order.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
)

// Topology maps zones to regions. Its zero value maps none. It is immutable.
type Topology struct{ regionOf map[string]string }

// NewTopology returns a Topology from a map of zones to regions.
func NewTopology(regionOf map[string]string) Topology {
	return Topology{regionOf: maps.Clone(regionOf)}
}

// RegionOf returns the region of zone; empty if it is unknown.
func (t Topology) RegionOf(zone string) string { return t.regionOf[zone] }

// Between returns the distance between two zones. A zone whose region is unknown, as when the settings name no regions, counts as being in
// the same region as every other zone.
func (t Topology) Between(zone, other string) Distance {
	if zone == other {
		return SameZone
	}
	first, second := t.regionOf[zone], t.regionOf[other]
	if first == "" || second == "" || first == second {
		return SameRegion
	}
	return OtherRegion
}
