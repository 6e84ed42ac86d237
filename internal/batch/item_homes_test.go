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

// ownInRegions is own before replicas that each lie in the region of their id, under a configuration that confines the route.
func ownInRegions(t *testing.T, scripts map[string]replicatest.Script, homes region.Set) *ownerUnderTest {
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
	return ownOf(t, home, service, fleet, network, routes)
}

// confinedTable confines the route, and the tenant "one", to regions.
func confinedTable(version int64, ofRoute, ofTenant region.Set) *route.Table {
	table := testTable(version, true)
	table.Routes[0].Regions = ofRoute
	table.Tenants = tenant.NewDirectory([]tenant.Declaration{{Tenant: tenant.Tenant{Name: "one", Regions: ofTenant}, APIKeys: []string{"key-1"}}})
	return table
}

// running returns how many items run at the replica.
func (o *ownerUnderTest) runningAt(id string) int {
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
				owner := ownInRegions(t, map[string]replicatest.Script{"north": replicatest.Hang(), "south": replicatest.Hang()}, anywhere)
				defer owner.end()
				owner.routes.Offer(confinedTable(3, test.route, test.tenant))
				submission := batchOf("j", 12)
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

// TestNarrowedHomesCutItemsOff: items that run outside the new homes are cut off and go on at home, behind what they have made.
func TestNarrowedHomesCutItemsOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := ownInRegions(t, map[string]replicatest.Script{
			"north": replicatest.Stream("s", true, true, eventOne), "south": replicatest.Stream("s", true, false, eventTwo),
		}, region.NewSet("north"))
		defer owner.end()
		owner.mustSubmit(t, batchOf("j", 2))
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

// TestConfinedItemsTakeNoRoomElsewhere: items that find no room at home cut off no runs abroad.
func TestConfinedItemsTakeNoRoomElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := ownInRegions(t, map[string]replicatest.Script{"north": replicatest.Hang(), "south": replicatest.Hang()}, region.NewSet("north"))
		defer owner.end()
		owner.mustSubmit(t, batchOf("j", 3))
		time.Sleep(time.Second)
		owner.mutex.Lock()
		defer owner.mutex.Unlock()
		if _, run := owner.leastUrgentRun("s", region.NewSet("south")); run != nil {
			t.Error("a run in north would be cut off for an item of south")
		}
		if _, run := owner.leastUrgentRun("s", region.NewSet("north")); run == nil {
			t.Error("no run is found at home")
		}
	})
}

// TestOwnerRejectsWhatIsConfinedElsewhere: an edge with an older configuration brings a job to the partition of those that may be anywhere.
func TestOwnerRejectsWhatIsConfinedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := own(t, only(replicatest.Hang()))
		defer owner.end()
		owner.mustSubmit(t, batchOf("before", 1))
		owner.routes.Offer(confinedTable(2, region.NewSet("north"), region.Set{}))
		_, err := owner.submit(t.Context(), &batchpb.SubmitRequest{Submission: batchOf("after", 1)})
		if refused := outcome.As(err); err == nil || refused.Outcome != outcome.NotRun || refused.Reason != outcome.ReasonNoHome || refused.RetryAfter == 0 {
			t.Errorf("submission ends with %v", err)
		}
		owner.mustSubmit(t, batchOf("before", 1))
	})
}
