package quota

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sloelift/sloelift/internal/tenant"
)

// inZones puts the edges into so many zones, and has all know it.
func (c *cluster) inZones(count int) {
	for index, each := range c.edges {
		each.zone = fmt.Sprintf("zone-%d", index%count)
	}
	c.agree()
}

// edgesOf returns the edges of a zone.
func (c *cluster) edgesOf(zone string) (edges []*edge) {
	for _, each := range c.edges {
		if each.zone == zone {
			edges = append(edges, each)
		}
	}
	return edges
}

// askForMany has an edge ask for one request of each of so many tenants, each a moment after the one before; it returns how many were held for
// longer than longest.
func (c *cluster) askForMany(at *edge, tenants int, longest time.Duration) (held int) {
	var mutex sync.Mutex
	var asking sync.WaitGroup
	for number := range tenants {
		holder := &tenant.Tenant{Name: fmt.Sprintf("tenant-%d", number), Limit: tenant.Limit{RequestsPerSecond: 1, Burst: 5}}
		asking.Go(func() {
			began := time.Now()
			at.service.Admit(c.t.Context(), holder, 1)
			mutex.Lock()
			defer mutex.Unlock()
			if time.Since(began) > longest {
				held++
			}
		})
		time.Sleep(50 * time.Millisecond)
	}
	asking.Wait()
	return held
}

// TestZoneThatIsCutOffHoldsFewRequests: an edge that is cut off from the grantors of other zones, with its own zone, finds out by the first few
// requests, not by one for each grantor; and it knows the end of the cut without holding a request.
func TestZoneThatIsCutOffHoldsFewRequests(t *testing.T) {
	const (
		tenants = 60
		longest = 100 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t, 30)
		cluster.inZones(3)
		at := cluster.edgesOf("zone-0")[0]
		if held := cluster.askForMany(at, tenants, longest); held > 0 {
			t.Errorf("%d requests held before the cut", held)
		}
		cluster.split(cluster.edgesOf("zone-0")...)
		if held := cluster.askForMany(at, tenants, longest); held > 8 {
			t.Errorf("%d of %d requests held while the zone is cut off, want 8 or fewer: two zones, two grantors each, and what came meanwhile", held, tenants)
		}
		cluster.split()
		time.Sleep(2 * time.Second)
		if held := cluster.askForMany(at, tenants, longest); held > 0 {
			t.Errorf("%d requests held after the cut", held)
		}
		if at.service.zones.Of("zone-1").CutOff() || at.service.zones.Of("zone-2").CutOff() {
			t.Error("a zone that is reached again still counts as cut off")
		}
		cluster.stop()
	})
}

// TestEdgeIsNoSignOfItsOwnZone: an edge that reaches nobody does not take itself for an edge of its zone that answers.
func TestEdgeIsNoSignOfItsOwnZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t, 6)
		cluster.inZones(2)
		own := cluster.edgesOf("zone-0")
		at := own[0]
		cluster.cut(at)
		time.Sleep(2 * contactFor)
		for _, silent := range own[1:] {
			at.service.zones.Of(at.zone).NoteSilence(string(silent.id), time.Now())
		}
		at.service.probe(at.zone)
		if !at.service.zones.Of(at.zone).CutOff() || at.service.contact.recent(time.Now()) {
			t.Error("an edge that is cut off counts itself as reached")
		}
		cluster.stop()
	})
}
