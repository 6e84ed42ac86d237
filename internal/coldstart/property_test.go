package coldstart

import (
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/route"
)

// noLimit is a faulty Limiter that admits everything.
type noLimit struct{}

func (noLimit) Take(*replica.Handle) bool { return true }

// unclaimedPasses is a faulty Limiter that creates a pass at each node without a claim.
type unclaimedPasses struct{}

func (unclaimedPasses) Take(handle *replica.Handle) bool {
	now := time.Now()
	if handle.ColdPass() == nil {
		handle.SetColdPass(replica.NewColdPass(requestsPerPass, now.Add(scenarioDuration)))
	}
	return handle.ColdPass().Take(now)
}

var faultScenarios = []faults{
	{name: "none"},
	{name: "calls are lost or done late", unansweredShare: 0.3},
	{name: "views differ", wrongViews: true, unansweredShare: 0.05},
	{name: "nodes stand still", pauses: 12, unansweredShare: 0.05},
	{name: "nodes are started again", restarts: 12, wrongViews: true, unansweredShare: 0.05},
	{name: "all are started again together", restartAll: true, wrongViews: true, unansweredShare: 0.05},
	{name: "nodes are cut off from the store", cuts: 12, wrongViews: true},
	{name: "all of it", unansweredShare: 0.1, wrongViews: true, pauses: 10, restarts: 8, cuts: 8, restartAll: true},
}

// coldBound is the number of requests that a cold replica may get per second; passBound, smaller, is what its passes admit together.
func coldBound(rate float64) int { return int(math.Floor(rate*1.5 + 5)) }

func passBound(rate float64) int {
	division := Bounds{Burst: 1.5, Slack: 5}.divide(route.Service{ColdRequestsPerSecond: rate})
	return division.passes * division.requests
}

func TestColdReplicaStaysWithinItsPasses(t *testing.T) {
	t.Parallel()
	for _, rate := range []float64{4, 23} {
		for _, injected := range faultScenarios {
			t.Run(injected.name, func(t *testing.T) {
				t.Parallel()
				seed := rand.Uint64()
				nodes := 10 + int(seed%51)
				t.Logf("seed %d, %d nodes, %g requests a second", seed, nodes, rate)
				synctest.Test(t, func(t *testing.T) {
					fleet := runScenario(t, seed, nodes, 2, rate, injected, unchanged)
					most := fleet.maxPerSecond()
					t.Logf("%d requests in one second, %d in passes, allowed %d", most, passBound(rate), coldBound(rate))
					if most > passBound(rate) {
						t.Errorf("a cold replica got %d requests in one second, its passes allow %d", most, passBound(rate))
					}
				})
			})
		}
	}
}

func TestPassesOfColdReplicasAreUsed(t *testing.T) {
	t.Parallel()
	for _, rate := range []float64{4, 23} {
		seed := rand.Uint64()
		t.Logf("seed %d", seed)
		synctest.Test(t, func(t *testing.T) {
			fleet := runScenario(t, seed, 60, 3, rate, faults{}, unchanged)
			used := fleet.meanRate()
			t.Logf("%.1f of %g requests a second, %d writes for 2 cold times of 3 replicas", used, rate, fleet.store.writes)
			if used < rate/2 {
				t.Errorf("cold replicas got %.1f requests a second, want half of %g or more", used, rate)
			}
		})
	}
}

func TestPropertyDetectsFaultyLimiters(t *testing.T) {
	t.Parallel()
	for name, mutant := range map[string]func(Limiter) Limiter{
		"no limit":                       func(Limiter) Limiter { return noLimit{} },
		"each node takes a pass unasked": func(Limiter) Limiter { return unclaimedPasses{} },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			seed := rand.Uint64()
			t.Logf("seed %d", seed)
			synctest.Test(t, func(t *testing.T) {
				fleet := runScenario(t, seed, 60, 2, 23, faults{}, mutant)
				if most := fleet.maxPerSecond(); most <= coldBound(23) {
					t.Errorf("a cold replica got %d requests in one second, which is within the bound of %d", most, coldBound(23))
				}
			})
		})
	}
}
