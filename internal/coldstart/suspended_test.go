package coldstart

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/sloelift/sloelift/internal/clock/clocktest"
	"github.com/sloelift/sloelift/internal/replica"
)

// TestSuspendedNodeUsesNoPassAfterItsLease guards against using a pass after a suspension of the machine: the key-value service has ended
// the lease meanwhile, and another node may hold the pass.
func TestSuspendedNodeUsesNoPassAfterItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service, directory, routes := newSingleNode(newMemoryStore())
		routes.Offer(tableOf(1, 20))
		directory.Replace(nil)
		service.Start()
		defer service.Stop()
		directory.Update([]replica.Info{{ID: "r", Service: "s", ColdFor: 2 * maxLease}}, nil)
		handle := directory.View().Find("r")
		handle.WantCold(time.Now())
		time.Sleep(time.Second / 2)
		if !service.Take(handle) {
			t.Fatal("no pass was won")
		}
		clocktest.Suspend(t, maxLease+time.Second)
		if service.Take(handle) {
			t.Error("the pass was used after its lease")
		}
	})
}
