package forward

import (
	"testing"
	"time"

	"github.com/sloelift/sloelift/internal/route"
)

func TestAlreadyWaitedUsesMedianTimeout(t *testing.T) {
	estimate := newRouteEstimates().forRoute(&route.Route{Name: "r", Timeout: 5 * time.Second})
	if waited := estimate.alreadyWaited(4200 * time.Millisecond); waited != 800*time.Millisecond {
		t.Errorf("a first caller who waits 0.8 s less than the route's timeout has waited %s", waited)
	}
	for range timeoutWindow {
		estimate.observeTimeout(3 * time.Second)
	}
	if waited := estimate.alreadyWaited(2500 * time.Millisecond); waited != 500*time.Millisecond {
		t.Errorf("waited %s, want 0.5 s", waited)
	}
	if waited := estimate.alreadyWaited(9 * time.Second); waited != 0 {
		t.Errorf("a patient caller has waited %s", waited)
	}
}

func TestUncontendedLatencyIsThatOfQuickRequests(t *testing.T) {
	estimate := &routeEstimate{}
	for turn := range 2000 {
		after := 80 * time.Millisecond
		if turn%2 == 1 {
			after = 500 * time.Millisecond
		}
		estimate.observeFirstEvent(after)
	}
	if latency := estimate.uncontendedLatency(); latency < 60*time.Millisecond || latency > 110*time.Millisecond {
		t.Errorf("latency is %s, want about 80 ms, the time of half of the requests", latency)
	}
}
