package discovery

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
)

// TestBatchedChangeCausesNoListing checks that a node does not list again for a change that the watchers batch for 600 ms before they forward
// it, but does so if the change arrives much later.
func TestBatchedChangeCausesNoListing(t *testing.T) {
	const gather = 600 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		tracked := newRevisions(func(int64) {}, zerolog.Nop())
		defer tracked.stop()
		tracked.recordSeen(1)
		tracked.compareWithOthers(2)
		time.Sleep(gather + 50*time.Millisecond)
		tracked.recordSeen(2)
		time.Sleep(time.Minute)
		if len(tracked.behind) != 0 {
			t.Error("a node whose watch delivered the change in time lists again")
		}
		tracked.compareWithOthers(3)
		time.Sleep(2 * gather)
		if len(tracked.behind) != 1 {
			t.Error("a node whose watch delivers nothing does not list again")
		}
	})
}
