package region

import (
	"slices"
	"strings"
)

// Set is the regions to which data is confined. Its zero value confines to none: everything is allowed. It is immutable.
type Set struct {
	// limited says that only the named regions are allowed, which may be none.
	limited bool
	names   []string
}

// NewSet returns the Set of names; without any it allows all regions.
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

// Limited says that not all regions are allowed.
func (s Set) Limited() bool { return s.limited }

// Allows says that data may be in the region name. A limited Set does not allow a region without a name.
func (s Set) Allows(name string) bool {
	return !s.limited || (name != "" && slices.Contains(s.names, name))
}

// Names returns the allowed regions in order; nil where all are.
func (s Set) Names() []string { return slices.Clone(s.names) }

// String returns the allowed regions for a log line: "all", or their names separated by commas, which may be none.
func (s Set) String() string {
	if !s.limited {
		return "all"
	}
	return strings.Join(s.names, ",")
}

// Equal says that both sets allow the same.
func (s Set) Equal(other Set) bool {
	return s.limited == other.limited && slices.Equal(s.names, other.names)
}

// Intersect returns what both sets allow, which may be no region at all.
func (s Set) Intersect(other Set) Set {
	if !s.limited {
		return other
	}
	if !other.limited {
		return s
	}
	both := Set{limited: true}
	for _, name := range s.names {
		if slices.Contains(other.names, name) {
			both.names = append(both.names, name)
		}
	}
	return both
}
