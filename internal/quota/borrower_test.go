package quota

import (
	"testing"
	"testing/synctest"
	"time"

	quotapb "github.com/sloelift/sloelift/api/proto/quota"
)

// TestReturnedRequestsCountOnce: a grantor without parts refers the requester to another grantor, which then gets the same unsent requests
// back. The first grantor must not add them to its bucket as well.
func TestReturnedRequestsCountOnce(t *testing.T) {
	now := time.Now()
	request := &quotapb.GrantRequest{Tenant: "hot", Wanted: 1, Returned: 7, Rate: 100, Burst: 100, ConfigVersion: 1}
	borrower := newBorrower("a", request, 0, nil, now)
	if response := borrower.serve(request, now); response != nil || request.GetReturned() != 7 || borrower.bucket.level != 0 {
		t.Errorf("without parts: answer %v, returned %d, level %.0f; want none, 7, 0", response, request.GetReturned(), borrower.bucket.level)
	}
	borrower.addPart("b", &quotapb.LendResponse{Lent: true, Share: 1}, now.Add(leaseDuration), now)
	if response := borrower.serve(request, now); response.GetGranted() != 1 || borrower.bucket.level != 6 {
		t.Errorf("with all parts: answer %v, level %.0f; want 1 granted of 7 returned", response, borrower.bucket.level)
	}
}

// TestPartsLentElsewhereAreAskedForOnce: when a grantor dies, its parts become available a second later. The edge that stands in for it asks
// each lender once, and again when the part is available, instead of with each request.
func TestPartsLentElsewhereAreAskedForOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const edges = 20
		cluster := newCluster(t, edges)
		holder := limitedTenant()
		cluster.load(holder, 1, 80, 3*time.Second)
		cluster.kill(cluster.grantorOf(holder))
		before := cluster.receivedFrames(methodLend)
		cluster.load(holder, 1, 80, leaseDuration)
		// A request and a response, three times for each lender, by at most two edges that stand in while views differ.
		const maxFrames = 2 * 2 * 3 * edges
		if frames := cluster.receivedFrames(methodLend) - before; frames > maxFrames {
			t.Errorf("%.0f frames for parts in the second after the grantor's death, want %d at most", frames, maxFrames)
		}
		before = float64(len(cluster.admitted))
		cluster.load(holder, 1, 80, time.Second)
		if admitted := float64(len(cluster.admitted)) - before; admitted < 70 {
			t.Errorf("%.0f of 80 requests are admitted in the second after the parts are available", admitted)
		}
		cluster.stop()
	})
}
