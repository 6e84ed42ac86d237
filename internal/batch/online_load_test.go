package batch

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	batchpb "github.com/sloelift/sloelift/api/proto/batch"
	"github.com/sloelift/sloelift/internal/replica/replicatest"
)

var (
	firstEdge  = netip.MustParseAddrPort("127.0.0.1:1")
	secondEdge = netip.MustParseAddrPort("127.0.0.1:2")
)

func loadOf(inUse uint32) *batchpb.OnlineLoad {
	return &batchpb.OnlineLoad{Services: []*batchpb.ServiceLoad{{Service: "s", InUse: inUse}}}
}

func TestOnlineTotal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		loads := newOnlineLoads()
		loads.take(firstEdge, loadOf(5), time.Now())
		loads.take(secondEdge, loadOf(7), time.Now())
		if present, recent := loads.total("s", time.Now()); present != 12 || recent != 12 {
			t.Errorf("present %d, recent %d, want 12", present, recent)
		}
		time.Sleep(recentSpan / 2)
		loads.take(secondEdge, loadOf(1), time.Now())
		if present, recent := loads.total("s", time.Now()); present != 6 || recent != 12 {
			t.Errorf("present %d, want 6; recent %d, want 12", present, recent)
		}
		time.Sleep(2 * loadStale)
		if present, recent := loads.total("s", time.Now()); present != 0 || recent != 0 {
			t.Errorf("present %d, recent %d of edges that are gone", present, recent)
		}
	})
}

// TestItemsBeginSlowlyWhileEdgesAreNew: after the start, and after a time in which no edge was heard, callers come back all at once.
func TestItemsBeginSlowlyWhileEdgesAreNew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		loads := newOnlineLoads()
		if ramp := loads.ramp(time.Now()); ramp != 0 {
			t.Errorf("%f of the room at the start", ramp)
		}
		loads.take(firstEdge, loadOf(1), time.Now())
		time.Sleep(rampSpan / 2)
		if ramp := loads.ramp(time.Now()); ramp < 0.45 || ramp > 0.55 {
			t.Errorf("%f of the room half way", ramp)
		}
		time.Sleep(rampSpan)
		if ramp := loads.ramp(time.Now()); ramp != 1 {
			t.Errorf("%f of the room once the edges are known", ramp)
		}
		loads.take(secondEdge, loadOf(1), time.Now())
		if ramp := loads.ramp(time.Now()); ramp != 1 {
			t.Errorf("%f of the room because of one more edge", ramp)
		}
		time.Sleep(2 * loadStale)
		loads.take(firstEdge, loadOf(0), time.Now())
		if ramp := loads.ramp(time.Now()); ramp != 0 {
			t.Errorf("%f of the room after no edge was heard", ramp)
		}
	})
}

// TestOwnerBeginsFewItemsRightAfterItsStart: the room that seems idle then is wanted by callers who come back.
func TestOwnerBeginsFewItemsRightAfterItsStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service, _, _ := newService(only(replicatest.Refuse()))
		service.online.since = time.Now()
		if begin, _, _ := service.room("s", time.Now()); begin != 0 {
			t.Errorf("%d items may begin at once", begin)
		}
		time.Sleep(rampSpan)
		if begin, _, _ := service.room("s", time.Now()); begin < 3 {
			t.Errorf("%d items may begin on 4 idle slots", begin)
		}
	})
}
