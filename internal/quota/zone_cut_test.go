package quota

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sloelift/sloelift/internal/tenant"
)

// assignZones distributes the edges over count zones and updates all views.
func (c *cluster) assignZones(count int) {
	for index, member := range c.edges {
		member.zone = fmt.Sprintf("zone-%d", index%count)
	}
	c.updateViews()
}

// edgesOf returns the edges of a zone.
func (c *cluster) edgesOf(zone string) (edges []*edge) {
	for _, member := range c.edges {
		if member.zone == zone {
			edges = append(edges, member)
		}
	}
	return edges
}

// requestForTenants makes one request for each of the given number of tenants at an edge, 50 ms apart. It returns how many of them were delayed
// for longer than maxWait.
func (c *cluster) requestForTenants(origin *edge, tenants int, maxWait time.Duration) (delayed int) {
	var mutex sync.Mutex
	var requests sync.WaitGroup
	for number := range tenants {
		holder := &tenant.Tenant{Name: fmt.Sprintf("tenant-%d", number), Limit: tenant.Limit{RequestsPerSecond: 1, Burst: 5}}
		requests.Go(func() {
			start := time.Now()
			origin.service.Admit(c.t.Context(), holder, 1)
			mutex.Lock()
			defer mutex.Unlock()
			if time.Since(start) > maxWait {
				delayed++
			}
		})
		time.Sleep(50 * time.Millisecond)
	}
	requests.Wait()
	return delayed
}

// TestZoneThatIsCutOffHoldsFewRequests: an edge whose zone is partitioned from the grantors of other zones detects that by the first few
// requests, not by one for each grantor. It detects the end of the partition without delaying a request.
func TestZoneThatIsCutOffHoldsFewRequests(t *testing.T) {
	const (
		tenants = 60
		maxWait = 100 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t, 30)
		cluster.assignZones(3)
		origin := cluster.edgesOf("zone-0")[0]
		if delayed := cluster.requestForTenants(origin, tenants, maxWait); delayed > 0 {
			t.Errorf("%d requests delayed before the partition", delayed)
		}
		cluster.partition(cluster.edgesOf("zone-0")...)
		if delayed := cluster.requestForTenants(origin, tenants, maxWait); delayed > 8 {
			t.Errorf("%d of %d requests delayed during the partition, want 8 or fewer: two zones, two grantors each, and concurrent ones", delayed, tenants)
		}
		cluster.partition()
		time.Sleep(2 * time.Second)
		if delayed := cluster.requestForTenants(origin, tenants, maxWait); delayed > 0 {
			t.Errorf("%d requests delayed after the partition", delayed)
		}
		if origin.service.zones.Get("zone-1").CutOff() || origin.service.zones.Get("zone-2").CutOff() {
			t.Error("a zone that is reachable again still counts as cut off")
		}
		cluster.stop()
	})
}

// TestIsolatedEdgeDoesNotAnswerItsOwnProbe: an isolated edge does not count its own answer as one from its zone.
func TestIsolatedEdgeDoesNotAnswerItsOwnProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t, 6)
		cluster.assignZones(2)
		zoneEdges := cluster.edgesOf("zone-0")
		isolated := zoneEdges[0]
		cluster.isolate(isolated)
		time.Sleep(2 * contactValidity)
		for _, silent := range zoneEdges[1:] {
			isolated.service.zones.Get(isolated.zone).NoteSilence(string(silent.id), time.Now())
		}
		isolated.service.probeZone(isolated.zone)
		if !isolated.service.zones.Get(isolated.zone).CutOff() || isolated.service.contact.recent(time.Now()) {
			t.Error("an isolated edge counts its own zone as reachable")
		}
		cluster.stop()
	})
}
