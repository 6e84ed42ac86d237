package ledger

import (
	"cmp"
	"maps"
	"slices"

	"github.com/sloelift/sloelift/internal/ledger/protocol"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/region"
)

// placement restricts the nodes that may have records of a partition: the stores of its ensemble, spare stores and
// the owner. A node in a zone of unknown region is allowed only if all regions are.
type placement struct {
	topology region.Topology
	regions  region.Set
}

// allows reports whether a node in zone may have records of the partition.
func (p placement) allows(zone string) bool {
	return p.regions.Allows(p.topology.RegionOf(zone))
}

// owners narrows allowed to the nodes that may have records of the partition.
func (p placement) owners(allowed memberFilter) memberFilter {
	if !p.regions.Limited() {
		return allowed
	}
	return func(member *membership.Member) bool { return p.allows(member.Zone) && allowed(member) }
}

// stores returns those of candidates that may have records of the partition.
func (p placement) stores(candidates []membership.Member) []membership.Member {
	if !p.regions.Limited() {
		return candidates
	}
	var kept []membership.Member
	for _, candidate := range candidates {
		if p.allows(candidate.Zone) {
			kept = append(kept, candidate)
		}
	}
	return kept
}

// survives reports whether the ensemble keeps every acknowledged record after the loss of the disks of the given
// number of machines, and after the loss of the disks of the given number of zones.
func survives(ensemble protocol.Ensemble, machines, zones int) bool {
	inZone := map[string]int{}
	for _, member := range ensemble.Members {
		inZone[member.Zone]++
	}
	counts := slices.SortedFunc(maps.Values(inZone), func(one, other int) int { return cmp.Compare(other, one) })
	lost := 0
	for _, count := range counts[:min(zones, len(counts))] {
		lost += count
	}
	return max(machines, lost) <= ensemble.LossesSurvived()
}
