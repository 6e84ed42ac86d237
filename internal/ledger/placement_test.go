package ledger

import (
	"slices"
	"testing"

	"github.com/sloelift/sloelift/internal/ledger/protocol"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/region"
)

func TestPlacement(t *testing.T) {
	topology := region.NewTopology(map[string]string{"n1": "north", "n2": "north", "s1": "south"})
	for _, test := range []struct {
		name    string
		regions region.Set
		want    []string
	}{
		{"not confined", region.Set{}, []string{"n1", "n2", "s1", "unknown"}},
		{"one region", region.NewSet("north"), []string{"n1", "n2"}},
		{"two regions", region.NewSet("north", "south"), []string{"n1", "n2", "s1"}},
		{"a region without nodes", region.NewSet("west"), nil},
		{"nowhere", region.Nowhere(), nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			placed := placement{topology: topology, regions: test.regions}
			var candidates []membership.Member
			var owners []string
			for _, zone := range []string{"n1", "n2", "s1", "unknown"} {
				member := membership.Member{ID: membership.NodeID(zone), Zone: zone}
				candidates = append(candidates, member)
				if placed.owners(func(*membership.Member) bool { return true })(&member) {
					owners = append(owners, zone)
				}
			}
			var stores []string
			for _, store := range placed.stores(candidates) {
				stores = append(stores, store.Zone)
			}
			if !slices.Equal(stores, test.want) || !slices.Equal(owners, test.want) {
				t.Errorf("stores %v, owners %v, want %v", stores, owners, test.want)
			}
			if placed.owners(func(*membership.Member) bool { return false })(&candidates[0]) {
				t.Error("a node that may own nothing owns the partition")
			}
		})
	}
}

func TestSurvives(t *testing.T) {
	for _, test := range []struct {
		name            string
		zones           []string
		quorum          int
		machines, lost  int
		wantToBeDurable bool
	}{
		{"enough copies", []string{"a", "b", "c"}, 2, 1, 1, true},
		{"too few copies for the machines", []string{"a", "b", "c"}, 2, 2, 0, false},
		{"a zone has too many", []string{"a", "a", "b"}, 2, 1, 1, false},
		{"zones do not count", []string{"a", "a", "b"}, 2, 1, 0, true},
		{"a single zone", []string{"a", "a", "a", "a"}, 3, 2, 1, false},
		{"two zones of which one is lost", []string{"a", "a", "b", "b"}, 3, 2, 1, true},
		{"more zones lost than there are", []string{"a"}, 1, 0, 3, false},
		{"no copies", nil, 1, 1, 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			ensemble := protocol.Ensemble{WriteQuorum: test.quorum}
			for _, zone := range test.zones {
				ensemble.Members = append(ensemble.Members, protocol.Member{Zone: zone})
			}
			if got := survives(ensemble, test.machines, test.lost); got != test.wantToBeDurable {
				t.Errorf("survives: %t", got)
			}
		})
	}
}

// TestConfinedPartitionsHaveTheirOwnNumbers checks that numbers of confined partitions differ from those of the head and
// do not depend on the order of the regions.
func TestConfinedPartitionsHaveTheirOwnNumbers(t *testing.T) {
	const largestHead = 1 << 16
	seen := map[PartitionID]string{}
	for _, names := range [][]string{{"north"}, {"south"}, {"north", "south"}, {"northsouth"}} {
		partition := confinedPartition("host", region.NewSet(names...), largestHead)
		if partition < largestHead || !IsConfined(partition) {
			t.Errorf("%v: number %d is one of the head", names, partition)
		}
		if other, taken := seen[partition]; taken {
			t.Errorf("%v has the number of %s", names, other)
		}
		seen[partition] = names[0]
	}
	one, other := confinedPartition("host", region.NewSet("a", "b"), 2), confinedPartition("host", region.NewSet("b", "a"), 2)
	if one != other {
		t.Errorf("numbers %d and %d for the same regions", one, other)
	}
	if place := keySlot("host", 2); place > 1 || one&(1<<confinedKeyBits-1) != place {
		t.Errorf("place %d of the key, number %d", place, one)
	}
}
