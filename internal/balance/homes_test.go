package balance

import (
	"net/netip"
	"testing"
	"time"

	"github.com/sloelift/sloelift/internal/region"
	"github.com/sloelift/sloelift/internal/replica"
)

func testRegions() (*replica.Directory, region.Topology) {
	directory := replica.NewDirectory()
	address := netip.MustParseAddrPort("127.0.0.1:1")
	directory.Replace([]replica.Info{
		{ID: "near", Service: "s", Zone: "north-1", Address: address, Slots: 10},
		{ID: "same-region", Service: "s", Zone: "north-2", Address: address, Slots: 10},
		{ID: "south", Service: "s", Zone: "south-1", Address: address, Slots: 10},
		{ID: "nowhere", Service: "s", Zone: "unknown", Address: address, Slots: 10},
	})
	return directory, region.NewTopology(map[string]string{"north-1": "north", "north-2": "north", "south-1": "south"})
}

func TestPickKeepsToHomes(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	none := region.NewSet("north").Intersect(region.NewSet("south"))
	for _, test := range []struct {
		name    string
		homes   region.Set
		exclude []string
		want    string
	}{
		{"all regions", region.Set{}, nil, "near"},
		{"a region without a name where all are allowed", region.Set{}, []string{"near", "same-region", "south"}, "nowhere"},
		{"another region", region.NewSet("south"), nil, "south"},
		{"one of two", region.NewSet("south", "west"), nil, "south"},
		{"the next one in the region", region.NewSet("north"), []string{"near"}, "same-region"},
		{"nobody left in the homes", region.NewSet("south"), []string{"south"}, ""},
		{"a region without replicas", region.NewSet("west"), nil, ""},
		{"no region in common", none, nil, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			directory, topology := testRegions()
			request := Request{Service: "s", Zone: "north-1", Homes: test.homes}
			for _, id := range test.exclude {
				request.Excluded = append(request.Excluded, directory.View().Find(id))
			}
			got := ""
			if picked := NewPicker(directory, topology, func() float64 { return 0 }).Pick(&request, now); picked != nil {
				got = picked.Info().ID
			}
			if got != test.want {
				t.Errorf("picked %q, want %q", got, test.want)
			}
		})
	}
}

func TestRoomInHomes(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for _, test := range []struct {
		name         string
		homes        region.Set
		full         string
		served, free bool
	}{
		{"all regions", region.Set{}, "", true, true},
		{"a home that is empty", region.NewSet("south"), "", true, true},
		{"a home that is full", region.NewSet("south"), "south", true, false},
		{"a region without replicas", region.NewSet("west"), "", false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			directory, topology := testRegions()
			if test.full != "" {
				directory.View().Find(test.full).NoteLoad(replica.Load{Running: 10, Slots: 10}, now)
			}
			served, free := NewPicker(directory, topology, nil).Availability("s", test.homes, now)
			if served != test.served || free != test.free {
				t.Errorf("served %t, free %t", served, free)
			}
		})
	}
}
