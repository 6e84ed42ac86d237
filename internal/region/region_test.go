package region

import (
	"slices"
	"testing"
)

func TestSetAllows(t *testing.T) {
	for _, test := range []struct {
		name   string
		set    Set
		region string
		want   bool
	}{
		{"all regions", Set{}, "north", true},
		{"all regions, one without a name", Set{}, "", true},
		{"the region itself", NewSet("north"), "north", true},
		{"another region", NewSet("north"), "south", false},
		{"a region without a name", NewSet("north"), "", false},
		{"no region in common", NewSet("north").Intersect(NewSet("south")), "north", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := test.set.Allows(test.region); got != test.want {
				t.Errorf("allows %q: %t", test.region, got)
			}
		})
	}
}

func TestIntersect(t *testing.T) {
	for _, test := range []struct {
		name       string
		one, other Set
		limited    bool
		want       []string
	}{
		{"both allow all", Set{}, Set{}, false, nil},
		{"one allows all", Set{}, NewSet("b", "a"), true, []string{"a", "b"}},
		{"the other allows all", NewSet("a"), Set{}, true, []string{"a"}},
		{"some in common", NewSet("a", "b"), NewSet("c", "b"), true, []string{"b"}},
		{"none in common", NewSet("a"), NewSet("b"), true, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			intersection := test.one.Intersect(test.other)
			if intersection.Limited() != test.limited || !slices.Equal(intersection.Names(), test.want) {
				t.Errorf("limited %t to %v", intersection.Limited(), intersection.Names())
			}
		})
	}
}

func TestBetween(t *testing.T) {
	topology := NewTopology(map[string]string{"a1": "a", "a2": "a", "b1": "b"})
	for _, test := range []struct {
		one, other string
		want       Distance
	}{
		{"a1", "a1", SameZone}, {"a1", "a2", SameRegion}, {"a1", "b1", OtherRegion}, {"a1", "unknown", SameRegion}, {"unknown", "unknown", SameZone},
	} {
		if got := topology.Between(test.one, test.other); got != test.want {
			t.Errorf("%s and %s: %d, want %d", test.one, test.other, got, test.want)
		}
	}
}
