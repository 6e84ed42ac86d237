package quota

import (
	"testing"
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
