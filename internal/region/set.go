package region

import (
	"slices"
	"strings"
)

// Set is the set of regions in which data may be stored and processed. Its zero value allows all regions. It is immutable.
type Set struct {
	// limited restricts the set to the regions in names, which may be empty.
	limited bool
	names   []string
}

// NewSet returns the Set of the named regions; without names it allows all regions.
func NewSet(names ...string) Set {
	if len(names) == 0 {
		return Set{}
	}
	sorted := slices.Clone(names)
	slices.Sort(sorted)
	return Set{limited: true, names: slices.Compact(sorted)}
}

// Nowhere returns the Set that allows no region.
func Nowhere() Set { return Set{limited: true} }

// Limited reports whether the set excludes any region.
func (s Set) Limited() bool { return s.limited }

// Allows reports whether data may be in the region name. A limited Set does not allow a region without a name.
func (s Set) Allows(name string) bool {
	return !s.limited || (name != "" && slices.Contains(s.names, name))
}

// Names returns the allowed regions, sorted; nil if all are allowed.
func (s Set) Names() []string { return slices.Clone(s.names) }

// String returns the allowed regions for log lines: "all", or their names separated by commas, empty if there are none.
func (s Set) String() string {
	if !s.limited {
		return "all"
	}
	return strings.Join(s.names, ",")
}

// Equal reports whether both sets allow the same regions.
func (s Set) Equal(other Set) bool {
	return s.limited == other.limited && slices.Equal(s.names, other.names)
}

// Intersect returns the Set of the regions that both sets allow, which may be none.
func (s Set) Intersect(other Set) Set {
	if !s.limited {
		return other
	}
	if !other.limited {
		return s
	}
	intersection := Set{limited: true}
	for _, name := range s.names {
		if slices.Contains(other.names, name) {
			intersection.names = append(intersection.names, name)
		}
	}
	return intersection
}
