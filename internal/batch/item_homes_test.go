package batch

import (
	"testing"
	"testing/synctest"
	"time"

	batchpb "github.com/sloelift/sloelift/api/proto/batch"
	"github.com/sloelift/sloelift/internal/balance"
	"github.com/sloelift/sloelift/internal/outcome"
	"github.com/sloelift/sloelift/internal/region"
	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/replica/replicatest"
	"github.com/sloelift/sloelift/internal/route"
	"github.com/sloelift/sloelift/internal/tenant"
)

// startOwnerInRegions is startOwner with replicas that each lie in the region named by their ID, and a configuration that confines
// the route to homes.
func startOwnerInRegions(t *testing.T, scripts map[string]replicatest.Script, homes region.Set) *testOwner {
	t.Helper()
	service, fleet, network, routes := newService(scripts)
	var infos []replica.Info
	regionOf := map[string]string{}
	for handle := range service.directory.View().All() {
		info := *handle.Info()
		info.Zone = "zone-" + info.ID
		regionOf[info.Zone] = info.ID
		infos = append(infos, info)
	}
	service.directory.Replace(infos)
	service.picker = balance.NewPicker(service.directory, region.NewTopology(regionOf), func() float64 { return 0 })
	routes.Offer(confinedTable(2, homes, region.Set{}))
	return startPartition(t, home, service, fleet, network, routes)
}

// confinedTable confines the route, and the tenant "one", to regions.
func confinedTable(version int64, ofRoute, ofTenant region.Set) *route.Table {
	table := testTable(version, true)
	table.Routes[0].Regions = ofRoute
	table.Tenants = tenant.NewDirectory([]tenant.Declaration{{Tenant: tenant.Tenant{Name: "one", Regions: ofTenant}, APIKeys: []string{"key-1"}}})
	return table
}

// runningAt returns how many items run at the replica.
func (o *testOwner) runningAt(id string) int {
	o.mutex.RLock()
	defer o.mutex.RUnlock()
	count := 0
	for _, run := range o.runs {
		if run.running && run.handle != nil && run.handle.Info().ID == id {
			count++
		}
	}
	return count
}

func TestItemsKeepToTheirHomes(t *testing.T) {
	south, anywhere := region.NewSet("south"), region.Set{}
	for _, test := range []struct {
		name          string
		route, tenant region.Set
		north, south  int
	}{
		{"no homes", anywhere, anywhere, 3, 3},
		{"the route's home", south, anywhere, 0, 3},
		{"the tenant's home", anywhere, south, 0, 3},
		{"nothing in common", region.NewSet("north"), south, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				owner := startOwnerInRegions(t, map[string]replicatest.Script{"north": replicatest.Hang(), "south": replicatest.Hang()}, anywhere)
				defer owner.stop()
				owner.routes.Offer(confinedTable(3, test.route, test.tenant))
				submission := testSubmission("j", 12)
				submission.Tenant = "one"
				owner.mustSubmit(t, submission)
				time.Sleep(time.Second)
				north, south := owner.runningAt("north"), owner.runningAt("south")
				if north > 0 != (test.north > 0) || south > 0 != (test.south > 0) {
					t.Errorf("%d run in north, %d in south", north, south)
				}
			})
		})
	}
}

// TestNarrowedHomesCutItemsOff checks that items that run outside the new homes are cut off and resume at home after the text that
// they have.
func TestNarrowedHomesCutItemsOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := startOwnerInRegions(t, map[string]replicatest.Script{
			"north": replicatest.Stream("s", true, true, eventOne), "south": replicatest.Stream("s", true, false, eventTwo),
		}, region.NewSet("north"))
		defer owner.stop()
		owner.mustSubmit(t, testSubmission("j", 2))
		time.Sleep(time.Second)
		if north := owner.runningAt("north"); north != 2 {
			t.Fatalf("%d items run at home", north)
		}
		owner.routes.Offer(confinedTable(3, region.NewSet("south"), region.Set{}))
		const within = 2 * idleInterval
		results := owner.results(t, "j", 2, within)
		if results[0].Text != "a\nb" {
			t.Errorf("text %q", results[0].Text)
		}
	})
}

// TestConfinedItemsTakeNoRoomElsewhere checks that items that find no room at home do not preempt runs in other regions.
func TestConfinedItemsTakeNoRoomElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := startOwnerInRegions(t, map[string]replicatest.Script{"north": replicatest.Hang(), "south": replicatest.Hang()}, region.NewSet("north"))
		defer owner.stop()
		owner.mustSubmit(t, testSubmission("j", 3))
		time.Sleep(time.Second)
		owner.mutex.Lock()
		defer owner.mutex.Unlock()
		if _, run := owner.leastUrgentRun("s", region.NewSet("south"), replica.Origin{}); run != nil {
			t.Error("a run in north would be cut off for an item of south")
		}
		if _, run := owner.leastUrgentRun("s", region.NewSet("north"), replica.Origin{}); run == nil {
			t.Error("no run is found at home")
		}
	})
}

// TestOwnerRejectsWhatIsConfinedElsewhere covers an edge with an older configuration that sends a confined job to the partition for
// jobs that are not confined.
func TestOwnerRejectsWhatIsConfinedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := startOwner(t, singleReplica(replicatest.Hang()))
		defer owner.stop()
		owner.mustSubmit(t, testSubmission("before", 1))
		owner.routes.Offer(confinedTable(2, region.NewSet("north"), region.Set{}))
		_, err := owner.submit(t.Context(), &batchpb.SubmitRequest{Submission: testSubmission("after", 1)})
		if refused := outcome.As(err); err == nil || refused.Outcome != outcome.NotRun || refused.Reason != outcome.ReasonNoHome || refused.RetryAfter == 0 {
			t.Errorf("submission ends with %v", err)
		}
		owner.mustSubmit(t, testSubmission("before", 1))
	})
}
