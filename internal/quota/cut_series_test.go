package quota

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sloelift/sloelift/internal/tenant"
)

// TestLimitHoldsOverSeriesOfCuts: groups of edges are partitioned off repeatedly, and each edge detects a partition and its end at a
// different time. No window exceeds the limit by more than the allowance.
func TestLimitHoldsOverSeriesOfCuts(t *testing.T) {
	// With seed 41, the worst of the first 42, grantors whose only agreement was their membership view granted 758 requests where 680 are
	// allowed.
	for seed := uint64(36); seed < 46; seed++ {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 2))
			cluster := newCluster(t, 20)
			holder := limitedTenant()
			cluster.load(holder, 1, 20, 3*time.Second)
			for range 3 {
				cluster.partition(cluster.randomEdges(random)...)
				cluster.updateViewsInTurn(holder, random, 4*time.Second)
				cluster.load(holder, 1, 400, time.Duration(random.IntN(5000))*time.Millisecond)
				cluster.partition()
				cluster.updateViewsInTurn(holder, random, 3*time.Second)
				cluster.load(holder, 1, 400, time.Duration(random.IntN(8000))*time.Millisecond)
			}
			maxAdmitted := cluster.checkWindows(holder.Limit)
			t.Logf("seed %d: %d at most, %d admitted, %d refused", seed, maxAdmitted, len(cluster.admitted), cluster.refused)
			cluster.stop()
		})
	}
}

// randomEdges returns between one and two thirds of the edges.
func (c *cluster) randomEdges(random *rand.Rand) []*edge {
	order := random.Perm(len(c.edges))
	count := len(c.edges)/3 + random.IntN(len(c.edges)/3)
	var chosen []*edge
	for _, index := range order[:count] {
		chosen = append(chosen, c.edges[index])
	}
	return chosen
}

// updateViewsInTurn updates the membership views of the edges one after the other in random order, under load, spread over within.
func (c *cluster) updateViewsInTurn(holder *tenant.Tenant, random *rand.Rand, within time.Duration) {
	order := random.Perm(len(c.edges))
	step := within / time.Duration(len(order))
	for _, index := range order {
		c.load(holder, 1, 400, step)
		c.updateViews(c.edges[index])
	}
}
