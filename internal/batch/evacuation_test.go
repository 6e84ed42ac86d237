package batch

import (
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	batchpb "github.com/sloelift/sloelift/api/proto/batch"
	"github.com/sloelift/sloelift/internal/loadshare"
	"github.com/sloelift/sloelift/internal/region"
	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/replica/replicatest"
)

// moveToOtherZone moves the replica "b" to a zone other than that of "a".
func moveToOtherZone(directory *replica.Directory) {
	other := *directory.View().Find("b").Info()
	other.Zone = "other"
	directory.Update([]replica.Info{other}, nil)
}

// TestItemsGiveWayToCallersWhenAZoneIsEvacuated checks that, with the same numbers of requests, items are no longer started and are
// cut off as soon as a zone is evacuated, until the callers' requests have the remaining room. Requests that finish in the evacuated
// zone take none of it.
func TestItemsGiveWayToCallersWhenAZoneIsEvacuated(t *testing.T) {
	for _, test := range []struct {
		name   string
		zones  map[string]bool
		online int
		// inZone counts the callers' requests in zone "other", own the items of this node outside that zone.
		inZone, own int
		startsMore  bool
		// preempted is the expected number of items to cut off.
		preempted int
	}{
		{"both zones, some room", nil, 2, 0, 2, true, 0},
		{"a zone is evacuated, callers leave room for an item", map[string]bool{"other": true}, 2, 0, 2, false, 1},
		{"a zone is evacuated, callers need all", map[string]bool{"other": true}, 4, 0, 2, false, 2},
		{"those in the evacuated zone need none", map[string]bool{"other": true}, 4, 4, 2, false, 0},
		{"all zones are evacuated", map[string]bool{"other": true, "z": true}, 1, 1, 0, false, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			service, fleet, _, _ := newService(map[string]replicatest.Script{"a": replicatest.Refuse(), "b": replicatest.Refuse()})
			moveToOtherZone(service.directory)
			now := time.Now()
			fleet.set(loadshare.Demand{InUse: test.online}, 0)
			view := service.directory.View()
			view.Find("b").SetOthers(replica.Use{Requests: test.inZone}, now)
			for range test.own {
				view.Find("a").Acquire()
			}
			service.directory.SetEvacuated(test.zones)
			startLimit, keepLimit, running := service.itemLimits("s", now)
			if mayStart := startLimit > running; mayStart != test.startsMore {
				t.Errorf("%d may run, %d run", startLimit, running)
			}
			if cut := max(0, running-keepLimit); cut != test.preempted {
				t.Errorf("%d of %d are cut off, want %d", cut, running, test.preempted)
			}
		})
	}
}

// TestItemsInTheEvacuatedZoneAreNotCutOff: these items end without it, and cutting them off would free no room elsewhere.
func TestItemsInTheEvacuatedZoneAreNotCutOff(t *testing.T) {
	service, _, _, _ := newService(map[string]replicatest.Script{"a": replicatest.Refuse(), "b": replicatest.Refuse()})
	moveToOtherZone(service.directory)
	view := service.directory.View()
	owner := newPartition(0, service)
	for number, id := range []string{"a", "b"} {
		owner.runs[itemKey{job: "j", number: number}] = &itemRun{running: true, handle: view.Find(id), acceptedAt: int64(number)}
	}
	if key, _ := owner.leastUrgentRun("s", region.Set{}, replica.Origin{}); key.number != 1 {
		t.Fatalf("item %d is the least urgent one, want the one accepted last", key.number)
	}
	service.directory.SetEvacuated(map[string]bool{"other": true})
	if key, run := owner.leastUrgentRun("s", region.Set{}, replica.Origin{}); run == nil || key.number != 0 {
		t.Errorf("item %d is cut off, want the one outside the evacuated zone", key.number)
	}
	service.directory.SetEvacuated(map[string]bool{"other": true, "z": true})
	if _, run := owner.leastUrgentRun("s", region.Set{}, replica.Origin{}); run != nil {
		t.Error("an item of an evacuated zone is cut off")
	}
}

// TestNoFurtherLeaseInAnEvacuatedZone checks that a running item continues to the end of its lease in the evacuated zone and resumes
// elsewhere after that, with its whole text.
func TestNoFurtherLeaseInAnEvacuatedZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const events, evacuatedAt = 60, 500 * time.Millisecond
		var mutex sync.Mutex
		startTimes := map[string][]time.Time{}
		startsAt := func(id string) []time.Time {
			mutex.Lock()
			defer mutex.Unlock()
			return slices.Clone(startTimes[id])
		}
		counted := func(id string) replicatest.Script {
			slow := slowReplica(events, 100*time.Millisecond)
			return func(connection net.Conn, request *http.Request) bool {
				if request.URL.Path == "/load" {
					return replicatest.Refuse()(connection, request)
				}
				mutex.Lock()
				startTimes[id] = append(startTimes[id], time.Now())
				mutex.Unlock()
				return slow(connection, request)
			}
		}
		owner := startOwner(t, map[string]replicatest.Script{"a": counted("a"), "b": counted("b")})
		defer owner.stop()
		moveToOtherZone(owner.service.directory)
		owner.mustSubmit(t, testSubmission("j", 1))
		time.Sleep(evacuatedAt)
		first, second := "a", "b"
		if len(startsAt("a")) == 0 {
			first, second = "b", "a"
		}
		evacuated := time.Now()
		owner.service.directory.SetEvacuated(map[string]bool{owner.service.directory.View().Find(first).Info().Zone: true})
		result := owner.results(t, "j", 1, 30*time.Second)[0]
		if result.State != batchpb.State_STATE_SUCCEEDED || len(result.Text) != len(numberedText(events)) {
			t.Errorf("the item is %v with %d bytes", result.State, len(result.Text))
		}
		inZone, elsewhere := startsAt(first), startsAt(second)
		if slices.ContainsFunc(inZone, func(at time.Time) bool { return at.After(evacuated) }) || len(elsewhere) == 0 {
			t.Errorf("runs started in the evacuated zone at %v, elsewhere at %v; evacuated at %s", inZone, elsewhere, evacuated)
		}
	})
}

// numberedText returns all the text that slowReplica sends.
func numberedText(events int) string {
	var text []byte
	for number := 1; number <= events; number++ {
		text = append(append(text, strconv.Itoa(number)...), '\n')
	}
	return string(text[:len(text)-1])
}

// TestReplicasOfAnEvacuatedZoneAreNotAsked checks that these replicas are not even asked for their load.
func TestReplicasOfAnEvacuatedZoneAreNotAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service, _, network, _ := newService(map[string]replicatest.Script{"a": replicatest.Refuse(), "b": replicatest.Refuse()})
		moveToOtherZone(service.directory)
		service.directory.SetEvacuated(map[string]bool{"other": true})
		owner := newPartition(0, service)
		owner.ctx = t.Context()
		owner.pollLoads()
		synctest.Wait()
		if got := len(network.Requests()); got != 1 {
			t.Errorf("%d replicas were asked, want the one that is left", got)
		}
		network.CloseAll()
		synctest.Wait()
	})
}
