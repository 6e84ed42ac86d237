package region

import "maps"

// Distance is how far apart two zones are.
type Distance int

// Distances, the nearest first.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
)

// Topology knows the region of each zone. Its zero value knows none. It is immutable.
type Topology struct{ regionOf map[string]string }

// NewTopology returns the Topology in which regionOf names the region of each zone.
func NewTopology(regionOf map[string]string) Topology {
	return Topology{regionOf: maps.Clone(regionOf)}
}

// RegionOf returns the region of zone; empty where it is not known.
func (t Topology) RegionOf(zone string) string { return t.regionOf[zone] }

// Between returns how far apart two zones are. A zone of an unknown region is taken for one of the same region, as where the
// settings name no regions.
func (t Topology) Between(one, other string) Distance {
	if one == other {
		return SameZone
	}
	first, second := t.regionOf[one], t.regionOf[other]
	if first == "" || second == "" || first == second {
		return SameRegion
	}
	return OtherRegion
}
