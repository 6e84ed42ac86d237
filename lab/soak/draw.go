package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sloelift/sloelift/lab/experiment"
)

// Draw returns the scenario of a seed: up to five faults within duration, which may overlap.
func Draw(seed uint64, duration time.Duration) experiment.Scenario {
	random := rand.New(rand.NewPCG(seed, 0x50a4))
	scenario := experiment.Scenario{
		Name: fmt.Sprint("soak-", seed), Description: "Drawn from a seed.", Duration: duration,
	}
	drawnOnce := map[experiment.FaultKind]bool{}
	for range 2 + random.IntN(4) {
		kind := kinds[random.IntN(len(kinds))]
		if drawnOnce[kind.kind] {
			continue
		}
		drawnOnce[kind.kind] = kind.once
		scenario.Faults = append(scenario.Faults, kind.draw(random, duration))
	}
	slices.SortFunc(scenario.Faults, func(a, b experiment.Fault) int { return int(a.At - b.At) })
	return scenario
}

// kindRange describes how a kind of fault is drawn.
type kindRange struct {
	kind experiment.FaultKind
	// shortest and longest bound the duration of the fault.
	shortest, longest time.Duration
	target            experiment.Target
	count             int
	share             float64
	lag               time.Duration
	// once limits the fault to one per scenario, because more would exceed what the ledger tolerates or because it lasts until the end.
	once bool
}

var kinds = []kindRange{
	{kind: experiment.FaultKillNode, shortest: 500 * time.Millisecond, longest: 4 * time.Second, target: experiment.TargetStore, once: true},
	{kind: experiment.FaultKillNode, shortest: 500 * time.Millisecond, longest: 4 * time.Second, target: experiment.TargetGateway},
	{kind: experiment.FaultLoseDisk, target: experiment.TargetStore, once: true},
	{kind: experiment.FaultPauseNode, shortest: 500 * time.Millisecond, longest: 4 * time.Second, once: true},
	{kind: experiment.FaultKeyValueDown, shortest: time.Second, longest: 8 * time.Second},
	{kind: experiment.FaultKeyValueSlow, shortest: time.Second, longest: 6 * time.Second, lag: 300 * time.Millisecond},
	{kind: experiment.FaultKeyValueAnswers, shortest: time.Second, longest: 6 * time.Second, share: 0.3},
	{kind: experiment.FaultKillReplica, shortest: time.Second, longest: 5 * time.Second},
	{kind: experiment.FaultLeaveReplica, shortest: time.Second, longest: 5 * time.Second},
	{kind: experiment.FaultLoadLag, shortest: 2 * time.Second, longest: 8 * time.Second, lag: 2 * time.Second},
	{kind: experiment.FaultCacheEventsLost, shortest: 2 * time.Second, longest: 8 * time.Second, share: 0.5},
	{kind: experiment.FaultRollingRestart, once: true},
	{kind: experiment.FaultConfiguration, shortest: 2 * time.Second, longest: 6 * time.Second, count: 5, once: true},
	{kind: experiment.FaultSilence},
}

func (d kindRange) draw(random *rand.Rand, duration time.Duration) experiment.Fault {
	fault := experiment.Fault{
		Kind: d.kind, Target: d.target, Count: d.count, Share: d.share, Lag: d.lag,
		// No fault begins in the last quarter, which shows that the system recovers.
		At: time.Duration(random.Float64() * 0.75 * float64(duration)).Round(10 * time.Millisecond),
	}
	if d.longest > 0 {
		span := float64(d.longest - d.shortest)
		fault.For = (d.shortest + time.Duration(random.Float64()*span)).Round(10 * time.Millisecond)
	}
	return fault
}
