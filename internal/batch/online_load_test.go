package batch

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sloelift/sloelift/internal/loadshare"
	"github.com/sloelift/sloelift/internal/replica/replicatest"
)

// fakeFleet reports fixed loads of the other nodes.
type fakeFleet struct {
	mutex  sync.Mutex
	online loadshare.Demand
	batch  int
	since  time.Time
}

func (f *fakeFleet) OthersLoad(string, time.Time) loadshare.Demand {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	others := f.online
	others.Batch = f.batch
	return others
}

func (f *fakeFleet) ReportingSince() time.Time {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.since
}

func (f *fakeFleet) set(online loadshare.Demand, batch int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.online, f.batch = online, batch
}

func (f *fakeFleet) setSince(since time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.since = since
}

func TestRecentPeak(t *testing.T) {
	peaks := recentPeaks{byService: map[string]peak{}}
	start := time.Now()
	for _, step := range []struct {
		after         time.Duration
		present, want int
	}{
		{0, 12, 12}, {peakWindow / 2, 6, 12}, {peakWindow + 1, 6, 6}, {peakWindow + 2, 9, 9},
	} {
		if got := peaks.observe("s", step.present, start.Add(step.after)); got != step.want {
			t.Errorf("after %s: %d, want %d", step.after, got, step.want)
		}
	}
}

// TestOwnerBeginsFewItemsRightAfterItsStart: the room that seems idle right after a start is needed by callers who return.
func TestOwnerBeginsFewItemsRightAfterItsStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service, fleet, _, _ := newService(singleReplica(replicatest.Refuse()))
		fleet.setSince(time.Now())
		if startLimit, _, _ := service.itemLimits("s", time.Now()); startLimit != 0 {
			t.Errorf("%d items may start at once", startLimit)
		}
		time.Sleep(rampSpan / 2)
		if ramp := service.ramp(time.Now()); ramp < 0.45 || ramp > 0.55 {
			t.Errorf("ramp is %f half way", ramp)
		}
		time.Sleep(rampSpan)
		if startLimit, _, _ := service.itemLimits("s", time.Now()); startLimit < 3 {
			t.Errorf("%d items may start on 4 idle slots", startLimit)
		}
	})
}

// TestRoomIsSharedAmongOwners checks that items of other nodes take room, and that each node cuts off its share of the excess.
func TestRoomIsSharedAmongOwners(t *testing.T) {
	service, fleet, _, _ := newService(map[string]replicatest.Script{"a": replicatest.Refuse(), "b": replicatest.Refuse(), "c": replicatest.Refuse()})
	limitAlone, _, _ := service.itemLimits("s", time.Now())
	fleet.set(loadshare.Demand{}, 5)
	if startLimit, _, _ := service.itemLimits("s", time.Now()); startLimit != limitAlone-5 {
		t.Errorf("%d items may start besides 5 of other nodes, %d without those", startLimit, limitAlone)
	}
	for _, test := range []struct{ keep, running, elsewhere, want int }{
		{12, 4, 4, 8}, {12, 0, 12, 0}, {6, 6, 6, 3}, {0, 5, 5, 0}, {6, 9, 0, 6},
	} {
		if got := ownShare(test.keep, test.running, test.elsewhere); got != test.want {
			t.Errorf("ownShare(%d, %d, %d) is %d, want %d", test.keep, test.running, test.elsewhere, got, test.want)
		}
	}
}

// TestRequestsThatAreHeldBackTakeRoom checks that items yield to callers' requests that wait for room.
func TestRequestsThatAreHeldBackTakeRoom(t *testing.T) {
	service, fleet, _, _ := newService(singleReplica(replicatest.Refuse()))
	fleet.set(loadshare.Demand{InUse: 1, Waiting: 3}, 0)
	if startLimit, keepLimit, _ := service.itemLimits("s", time.Now()); startLimit != 0 || keepLimit != 0 {
		t.Errorf("start limit %d, keep limit %d with 4 slots wanted of 4", startLimit, keepLimit)
	}
}
