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

// noLimit is the mutant of a Limiter that bounds nothing.
type noLimit struct{}

func (noLimit) Take(*replica.Handle) bool { return true }

// eachAlone is the mutant in which each node takes a pass without asking.
type eachAlone struct{}

func (eachAlone) Take(handle *replica.Handle) bool {
	now := time.Now()
	if handle.ColdPass() == nil {
		handle.SetColdPass(replica.NewColdPass(requestsPerPass, now.Add(playTime)))
	}
	return handle.ColdPass().Take(now)
}

var troubles = []trouble{
	{name: "none"},
	{name: "calls are lost or done late", lost: 0.3},
	{name: "views differ", wrongViews: true, lost: 0.05},
	{name: "nodes stand still", pauses: 12, lost: 0.05},
	{name: "nodes are started again", restarts: 12, wrongViews: true, lost: 0.05},
	{name: "all are started again together", herd: true, wrongViews: true, lost: 0.05},
	{name: "nodes are cut off from the store", cuts: 12, wrongViews: true},
	{name: "all of it", lost: 0.1, wrongViews: true, pauses: 10, restarts: 8, cuts: 8, herd: true},
}

// bound is what a cold replica may get in a second, inPasses the smaller number that its passes allow together.
func bound(rate float64) int { return int(math.Floor(rate*1.5 + 5)) }

func inPasses(rate float64) int {
	cut := Bounds{Burst: 1.5, Slack: 5}.divide(route.Service{ColdRequestsPerSecond: rate})
	return cut.passes * cut.requests
}

func TestColdReplicaGetsNoMoreThanItBears(t *testing.T) {
	t.Parallel()
	for _, rate := range []float64{4, 23} {
		for _, struck := range troubles {
			t.Run(struck.name, func(t *testing.T) {
				t.Parallel()
				seed := rand.Uint64()
				nodes := 10 + int(seed%51)
				t.Logf("seed %d, %d nodes, %g requests a second", seed, nodes, rate)
				synctest.Test(t, func(t *testing.T) {
					fleet := play(t, seed, nodes, 2, rate, struck, limited)
					most := fleet.most()
					t.Logf("%d requests in one second, %d in passes, allowed %d", most, inPasses(rate), bound(rate))
					if most > inPasses(rate) {
						t.Errorf("a cold replica got %d requests in one second, its passes allow %d", most, inPasses(rate))
					}
				})
			})
		}
	}
}

func TestPartsOfColdReplicasAreUsed(t *testing.T) {
	t.Parallel()
	for _, rate := range []float64{4, 23} {
		seed := rand.Uint64()
		t.Logf("seed %d", seed)
		synctest.Test(t, func(t *testing.T) {
			fleet := play(t, seed, 60, 3, rate, trouble{}, limited)
			used := fleet.used()
			t.Logf("%.1f of %g requests a second, %d writes for 2 cold times of 3 replicas", used, rate, fleet.store.writes)
			if used < rate/2 {
				t.Errorf("cold replicas got %.1f requests a second, want half of %g or more", used, rate)
			}
		})
	}
}

func TestCheckFindsWrongLimits(t *testing.T) {
	t.Parallel()
	for name, mutant := range map[string]func(Limiter) Limiter{
		"no limit":                       func(Limiter) Limiter { return noLimit{} },
		"each node takes a pass unasked": func(Limiter) Limiter { return eachAlone{} },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			seed := rand.Uint64()
			t.Logf("seed %d", seed)
			synctest.Test(t, func(t *testing.T) {
				fleet := play(t, seed, 60, 2, 23, trouble{}, mutant)
				if most := fleet.most(); most <= bound(23) {
					t.Errorf("a cold replica got %d requests in one second, which is within the bound of %d", most, bound(23))
				}
			})
		})
	}
}
