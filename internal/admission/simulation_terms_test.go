package admission

import (
	"slices"
	"testing"

	"github.com/sloelift/sloelift/internal/routing"
)

// simulationSwitches turn terms of routing and of credits off, or choose another value.
var simulationSwitches = []struct {
	name   string
	change func(*routing.Options, *Options)
}{
	{"as in service", func(*routing.Options, *Options) {}},
	{"no load", func(r *routing.Options, _ *Options) { r.DisableLoad = true }},
	{"no own requests", func(r *routing.Options, _ *Options) { r.DisableOwnRequests = true }},
	{"no prefix", func(r *routing.Options, _ *Options) { r.DisablePrefix = true }},
	{"no affinity", func(r *routing.Options, _ *Options) { r.DisableAffinity = true }},
	{"no distance", func(r *routing.Options, _ *Options) { r.DisableDistance = true }},
	{"power of two", func(r *routing.Options, _ *Options) { r.Picker = routing.PickerPowerOfTwo }},
	{"no online signals", func(_ *routing.Options, o *Options) { o.DisableOnlineSignals = true }},
	{"starts at once", func(_ *routing.Options, o *Options) { o.StartSteps = 0 }},
	{"shared 20%", func(_ *routing.Options, o *Options) { o.SharedPercent = 20 }},
	{"shared 75%", func(_ *routing.Options, o *Options) { o.SharedPercent = 75 }},
	{"keep 40%", func(_ *routing.Options, o *Options) { o.KeepSharedPercent = 40 }},
}

// TestTermsInSimulation prints the worth of each term, as medians over the seeds, with
// -v -simulation.terms; without, it checks that batch completes with each switch.
func TestTermsInSimulation(t *testing.T) {
	seeds, switches := uint64(*simulationSeeds), simulationSwitches
	if !*simulationTerms {
		seeds, switches = 1, switches[1:3]
	}
	var alone []*simulationResult
	for seed := range seeds {
		alone = append(alone, simulate(t, routing.PolicyOnlineOnly, seed+1, nil))
	}
	for _, one := range switches {
		var first, between, online, batch, done, revoked []float64
		for seed := range seeds {
			result := simulate(t, routing.PolicySloelift, seed+1, one.change)
			firstHarm, betweenHarm := result.harm(alone[seed])
			first, between = append(first, firstHarm), append(between, betweenHarm)
			online = append(online, float64(result.onlineCached)/float64(max(1, result.onlineBlocks)))
			batch = append(batch, result.batchShare())
			done = append(done, result.itemsDone.Seconds())
			revoked = append(revoked, float64(result.revoked))
			if result.items == 0 {
				t.Errorf("%s: no batch item completed", one.name)
			}
		}
		t.Logf("%-18s first %.3f between %.3f online cached %.3f batch cached %.3f heap done %.2f s revoked %.0f",
			one.name, median(first), median(between), median(online), median(batch), median(done), median(revoked))
	}
}

func median(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}
