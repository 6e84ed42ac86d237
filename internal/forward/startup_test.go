package forward

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sloelift/sloelift/internal/replica/replicatest"
	"github.com/sloelift/sloelift/internal/route"
)

// TestRequestWaitsForTheFirstConfiguration: requests that arrive while a process starts are served instead of being rejected.
func TestRequestWaitsForTheFirstConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		edge := newEdgeUnderTest(t, route.Stream, true, map[string]replicatest.Script{"a": replicatest.Stream("s", true, false, "id: 1\ndata: x\n\n")})
		known := edge.routes.Table()
		edge.Handler.routes = route.NewHolder()
		time.AfterFunc(maxStartupWait/2, func() { edge.Handler.routes.Offer(known) })
		began := time.Now()
		recorded, _ := edge.call(nil)
		if recorded.Code != http.StatusOK || time.Since(began) >= maxStartupWait {
			t.Errorf("status %d after %s", recorded.Code, time.Since(began))
		}
	})
}

// TestRequestIsRefusedWithoutAConfiguration: the wait is bounded by maxStartupWait, and the caller gets a Retry-After.
func TestRequestIsRefusedWithoutAConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		edge := newEdgeUnderTest(t, route.Stream, true, nil)
		edge.Handler.routes = route.NewHolder()
		began := time.Now()
		recorded, _ := edge.call(nil)
		if recorded.Code != http.StatusServiceUnavailable || recorded.Header().Get("Retry-After") == "" || time.Since(began) != maxStartupWait {
			t.Errorf("status %d, Retry-After %q, after %s", recorded.Code, recorded.Header().Get("Retry-After"), time.Since(began))
		}
	})
}
