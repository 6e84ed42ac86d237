package main

import (
	"context"
	"net/netip"
	"testing"

	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/settings"
)

// TestPlannedStopDuringTheStartIsNoFailure: storage nodes that were restarted in series and signalled to stop while they started ended with
// exit status 1 and the line "sloelift: context canceled", as if they had failed.
func TestPlannedStopDuringTheStartIsNoFailure(t *testing.T) {
	own := settings.Defaults()
	own.Role, own.Node, own.Region, own.Zone = settings.RoleStorage, "storage-1", "region-1", "zone-1"
	own.DataFolder = t.TempDir()
	own.PeerAddress = netip.MustParseAddrPort("127.0.0.1:1")
	own.AdminAddress = netip.MustParseAddrPort("127.0.0.1:2")
	own.Platform.MetadataStore = netip.MustParseAddrPort("127.0.0.1:3")
	stopped, stop := context.WithCancel(t.Context())
	stop()
	if err := runRole(stopped, "", own, zerolog.Nop()); err != nil {
		t.Errorf("ended with %v", err)
	}
}
