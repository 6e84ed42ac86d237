package coldstart

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/sloelift/sloelift/internal/clock/clocktest"
	"github.com/sloelift/sloelift/internal/replica"
)

// TestSuspendedNodeUsesNoPassAfterItsLease guards against a pass that another node holds since the key-value service ended the lease.
func TestSuspendedNodeUsesNoPassAfterItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service, directory, routes := loneNode(newMemoryStore())
		routes.Offer(tableOf(1, 20))
		directory.Replace(nil)
		service.Start()
		defer service.Stop()
		directory.Update([]replica.Info{{ID: "r", Service: "s", ColdFor: 2 * longestLease}}, nil)
		handle := directory.View().Find("r")
		handle.WantCold(time.Now())
		time.Sleep(time.Second / 2)
		if !service.Take(handle) {
			t.Fatal("no pass was won")
		}
		clocktest.Suspend(t, longestLease+time.Second)
		if service.Take(handle) {
			t.Error("the pass was used after its lease")
		}
	})
}
