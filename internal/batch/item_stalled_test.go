package batch

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/sloelift/sloelift/internal/replica/replicatest"
)

// TestStalledItemsAreReported guards against stalled items that are not visible: an accepted item was on no replica for 20 s, and no
// log line or metric showed it or what the item waited for.
func TestStalledItemsAreReported(t *testing.T) {
	for name, test := range map[string]struct {
		bound int
		want  stallReason
	}{
		"rejected":  {1, stalledHeldBack},
		"suspected": {2, stalledSuspected},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				crashing := crashingScripts("/p/j-0", "a")["a"]
				owner := startOwnerWithRegister(t, newCountingRegister(test.bound), singleReplica(func(connection net.Conn, request *http.Request) bool {
					if request.URL.Path == "/p/j-0" {
						// The end of the only replica must not precede the run of the other item there.
						time.Sleep(100 * time.Millisecond)
					}
					return crashing(connection, request)
				}))
				owner.mustSubmit(t, testSubmission("j", 2))
				owner.results(t, "j", 1, 5*time.Second)
				if found := owner.stalled(); len(found.byReason) != 0 {
					t.Errorf("stalled at the start: %v", found.byReason)
				}
				owner.pauseItem(itemKey{job: "j"}, 2*stalledAfter)
				time.Sleep(stalledAfter + time.Second)
				found := owner.stalled()
				if found.byReason[test.want] != 1 || len(found.byReason) != 1 || found.longest.key.number != 0 {
					t.Errorf("stalled: %v, longest %v", found.byReason, found.longest.key)
				}
				if series := testutil.CollectAndCount(owner.service); series != len(stallReasons)+1 {
					t.Errorf("%d series", series)
				}
				owner.stop()
			})
		})
	}
}

// pauseItem keeps an item from being sent again for the time length.
func (o *testOwner) pauseItem(key itemKey, length time.Duration) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.ensureRun(key).notBefore = o.elapsed() + length
}

// TestItemAtAReplicaIsNotMissed checks that an item that was sent and makes no progress is reported differently from one that waits.
func TestItemAtAReplicaIsNotMissed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := startOwner(t, singleReplica(replicatest.Hang()))
		owner.mustSubmit(t, testSubmission("j", 1))
		time.Sleep(stalledAfter + time.Second/2)
		if found := owner.stalled(); found.byReason[stalledAtReplica] != 1 {
			t.Errorf("stalled: %v", found.byReason)
		}
		owner.stop()
	})
}
