package settings

import (
	"net/netip"
	"slices"
	"testing"
)

// TestSeeds: seed machines get the port of this node's peer address, and a node is not its own seed.
func TestSeeds(t *testing.T) {
	address := netip.MustParseAddrPort
	own := Settings{
		PeerAddress: address("10.1.0.10:7720"), SeedPeers: []netip.AddrPort{address("10.9.0.1:8071")},
		SeedMachines: []netip.AddrPort{address("10.1.0.10:8166"), address("10.2.0.40:8166")},
	}
	want := []netip.AddrPort{address("10.9.0.1:8071"), address("10.2.0.40:7720")}
	if seeds := own.Seeds(); !slices.Equal(seeds, want) {
		t.Errorf("seeds %v, want %v", seeds, want)
	}
}
