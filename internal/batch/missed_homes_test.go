package batch

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	batchpb "github.com/sloelift/sloelift/api/proto/batch"
	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/outcome"
	"github.com/sloelift/sloelift/internal/region"
)

// settled is longer than a change of homes counts as recent, and so does the start of a process.
const settled = 70 * time.Second

// configure puts a configuration with the given homes into force at all nodes but unaware ones, which miss it.
func (c *regionsCluster) configure(version int64, homes region.Set, unaware ...*Client) {
	table := testTable(version, true)
	table.Routes[0].Regions = homes
	c.routes.Offer(table)
	var confined []ledger.Confined
	for _, batchHome := range table.ConfinedBatchHosts() {
		confined = append(confined, ledger.Confined{Key: batchHome.Host, Regions: batchHome.Regions})
	}
	for _, node := range c.nodes {
		misses := false
		for _, client := range unaware {
			misses = misses || node.client == client
		}
		if !misses {
			node.manager.SetConfined(confined)
		}
	}
}

// sent returns how often replicas got the items of a job.
func (c *regionsCluster) sent(job string) int {
	count := 0
	for _, request := range c.replicas.Requests() {
		if request.URL.Path == "/p/"+job+"-0" || request.URL.Path == "/p/"+job+"-1" {
			count++
		}
	}
	return count
}

// expectKnown checks that an edge finds a job in all its calls, and does not run it again if it is submitted again.
func (c *regionsCluster) expectKnown(client *Client, job string, regions region.Set) {
	c.t.Helper()
	caller := Caller{Host: testHost}
	if response, err := client.Read(c.t.Context(), caller, job, 0, 0); err != nil || !response.Found {
		c.t.Errorf("read: %v, %v", response, err)
	}
	before := c.sent(job)
	if err := client.Submit(c.t.Context(), testSubmission(job, 2), c.routes.Table().Routes[0], regions); err != nil {
		c.t.Errorf("submission again: %v", err)
	}
	time.Sleep(5 * time.Second)
	if after := c.sent(job); after != before || before == 0 {
		c.t.Errorf("the items of the job were sent %d times, %d before it was submitted again", after, before)
	}
	if response, err := client.End(c.t.Context(), caller, job); err != nil || !response.Found {
		c.t.Errorf("end: %v, %v", response, err)
	}
}

// TestJobOfAMissedConfigurationIsFound guards against an edge that takes its own ignorance for an answer: one that stood still while homes
// came and went knew nothing of the partition with the jobs accepted meanwhile. It answered that there is no such job, and accepted
// the job a second time.
func TestJobOfAMissedConfigurationIsFound(t *testing.T) {
	none, north, south := region.Set{}, region.NewSet("north"), region.NewSet("south")
	for _, test := range []struct {
		name string
		// before is in force when the edge misses meanwhile, under which the job is accepted, and after follows.
		before, meanwhile, after region.Set
		// restarted reports whether all storage nodes start again before the edge is asked.
		restarted bool
		// stale reports whether the edge misses the configuration after as well.
		stale bool
	}{
		{name: "homes came and went", before: none, meanwhile: north, after: none},
		{name: "homes came and went, stores restarted", before: none, meanwhile: north, after: none, restarted: true},
		{name: "homes came", before: none, meanwhile: north, after: north, stale: true},
		{name: "homes went and came back", before: north, meanwhile: none, after: north},
		{name: "homes went", before: north, meanwhile: none, after: none, stale: true},
		{name: "other homes came and went", before: south, meanwhile: north, after: south},
		{name: "other homes came", before: south, meanwhile: north, after: north, stale: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newRegionsCluster(t, test.before)
				defer c.stopAll()
				c.submit(c.edge("south"), "earlier", test.before)
				time.Sleep(settled)
				unaware := c.edge("west")
				c.configure(2, test.meanwhile, unaware)
				c.submit(c.edge("south"), "job", test.meanwhile)
				c.awaitResults(c.edge("south"), "job")
				if test.stale {
					c.configure(3, test.after, unaware)
				} else {
					c.configure(3, test.after)
				}
				if test.restarted {
					c.restartStores()
				}
				known := test.after
				if test.stale {
					known = test.before
				}
				c.edge("west")
				c.expectKnown(unaware, "job", known)
				c.awaitResults(unaware, "earlier")
			})
		})
	}
}

// restartStores restarts all storage nodes with their disks.
func (c *regionsCluster) restartStores() {
	for _, node := range c.nodes {
		if node.disk != nil {
			c.stop(node)
		}
	}
	for _, node := range c.nodes {
		if node.disk != nil {
			c.start(node)
		}
	}
	time.Sleep(10 * time.Second)
}

// TestLostHomeOfOtherJobsStopsNoSubmission: a former home that does not answer stops new jobs only while one of them may be there.
func TestLostHomeOfOtherJobsStopsNoSubmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		north := region.NewSet("north")
		c := newRegionsCluster(t, north)
		defer c.stopAll()
		c.submit(c.edge("south"), "earlier", north)
		c.awaitResults(c.edge("south"), "earlier")
		time.Sleep(settled)
		c.configure(2, region.Set{})
		for _, node := range c.nodes {
			if node.region == "north" {
				c.stop(node)
			}
		}
		time.Sleep(10 * time.Second)
		submit := func(job string) error {
			return c.edge("west").Submit(t.Context(), testSubmission(job, 2), c.routes.Table().Routes[0], region.Set{})
		}
		if err := submit("soon"); err == nil || outcome.Of(err) != outcome.NotRun {
			t.Errorf("soon after the change: %v", err)
		}
		time.Sleep(settled)
		if err := submit("later"); err != nil {
			t.Errorf("long after the change: %v", err)
		}
		c.awaitResults(c.edge("west"), "later")
	})
}

// TestPlacementsAreInTheSnapshot: a later owner that starts from a snapshot knows where the jobs of a host may be.
func TestPlacementsAreInTheSnapshot(t *testing.T) {
	recorded := newState()
	for position, partition := range []ledger.PartitionID{home, formerHome, home} {
		record := newRecord(ledger.KindBatchPlaced, &batchpb.Placement{Host: testHost, Partition: uint32(partition), Ensemble: []byte("e")})
		if err := recorded.apply(ledger.Position(position+1), record); err != nil {
			t.Fatal(err)
		}
	}
	encoded, err := recorded.snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored, err := restoreState(encoded)
	if err != nil {
		t.Fatal(err)
	}
	var found []ledger.PartitionID
	for _, placement := range restored.unasked(testHost, nil) {
		found = append(found, ledger.PartitionID(placement.Partition))
	}
	if want := []ledger.PartitionID{home, formerHome}; !slices.Equal(found, want) {
		t.Errorf("placements %v after the snapshot, want %v", found, want)
	}
}
