package quota

import (
	"testing"
	"testing/synctest"
	"time"

	quotapb "github.com/sloelift/sloelift/api/proto/quota"
)

// TestReturnedRequestsCountOnce: a grantor without parts sends the asker elsewhere, who then returns the same requests there; they must not
// be in this one's bucket as well.
func TestReturnedRequestsCountOnce(t *testing.T) {
	now := time.Now()
	request := &quotapb.GrantRequest{Tenant: "hot", Wanted: 1, Returned: 7, Rate: 100, Burst: 100, ConfigVersion: 1}
	borrowing := newBorrower("a", request, 0, nil, now)
	if response := borrowing.answer(request, now); response != nil || request.GetReturned() != 7 || borrowing.bucket.level != 0 {
		t.Errorf("without parts: answer %v, returned %d, level %.0f; want none, 7, 0", response, request.GetReturned(), borrowing.bucket.level)
	}
	borrowing.take("b", &quotapb.LendResponse{Lent: true, Share: 1}, now.Add(lendingTime), now)
	if response := borrowing.answer(request, now); response.GetGranted() != 1 || borrowing.bucket.level != 6 {
		t.Errorf("with all parts: answer %v, level %.0f; want 1 granted of 7 returned", response, borrowing.bucket.level)
	}
}

// TestPartsLentElsewhereAreAskedForOnce: when a grantor dies its parts are free a second later. The edge that stands in for it meanwhile asks
// for each when it was refused and when it is free, not with each request.
func TestPartsLentElsewhereAreAskedForOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const edges = 20
		cluster := newCluster(t, edges)
		holder := hot()
		cluster.load(holder, 1, 80, 3*time.Second)
		cluster.kill(cluster.grantorOf(holder))
		before := cluster.received(methodLend)
		cluster.load(holder, 1, 80, lendingTime)
		// A question and an answer, of two edges at most that stand in while views differ.
		const most = 2 * 2 * 3 * edges
		if frames := cluster.received(methodLend) - before; frames > most {
			t.Errorf("%.0f frames for parts in the second after the grantor's death, want %d at most", frames, most)
		}
		before = float64(len(cluster.admitted))
		cluster.load(holder, 1, 80, time.Second)
		if admitted := float64(len(cluster.admitted)) - before; admitted < 70 {
			t.Errorf("%.0f of 80 requests are admitted in the second after the parts are free", admitted)
		}
		cluster.stop()
	})
}
