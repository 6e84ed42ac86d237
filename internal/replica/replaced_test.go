package replica

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"
)

// TestReplicaWhoseAddressHasANewOneIsDown checks that a replica counts as down once a new one appears at its address, though its entry
// still exists, and that this lasts no longer than maxAvoidance.
func TestReplicaWhoseAddressHasANewOneIsDown(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		shared, own := netip.MustParseAddrPort("10.0.0.1:80"), netip.MustParseAddrPort("10.0.0.2:80")
		directory := NewDirectory()
		directory.Replace([]Info{{ID: "old", Service: "s", Address: shared}, {ID: "other", Service: "s", Address: own}})
		directory.Update([]Info{{ID: "new", Service: "s", Address: shared}}, nil)
		view, now := directory.View(), time.Now()
		for id, want := range map[string]bool{"old": true, "new": false, "other": false} {
			if down := view.Find(id).Down(now) && view.Find(id).Avoided(now); down != want {
				t.Errorf("%s is down: %t, want %t", id, down, want)
			}
		}
		if now = now.Add(maxAvoidance); view.Find("old").Avoided(now) {
			t.Error("replica is still avoided after maxAvoidance")
		}
	})
}
