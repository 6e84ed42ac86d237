package admission

import (
	"slices"
	"testing"

	"github.com/sloelift/sloelift/internal/routing"
)

// simulationVariants each disable or change one term of routing or of credits.
var simulationVariants = []struct {
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

// TestTermsInSimulation logs the effect of each term, as medians over the seeds, with
// -v -simulation.terms. Without that flag it only checks, for two variants and one seed, that
// batch items complete.
func TestTermsInSimulation(t *testing.T) {
	seeds, variants := uint64(*simulationSeeds), simulationVariants
	if !*simulationTerms {
		seeds, variants = 1, variants[1:3]
	}
	var baselines []*simulationResult
	for seed := range seeds {
		baselines = append(baselines, simulate(t, routing.PolicyOnlineOnly, seed+1, nil))
	}
	for _, variant := range variants {
		var first, between, online, batch, done, revoked []float64
		for seed := range seeds {
			result := simulate(t, routing.PolicySloelift, seed+1, variant.change)
			firstRatio, betweenRatio := result.latencyRatios(baselines[seed])
			first, between = append(first, firstRatio), append(between, betweenRatio)
			online = append(online, float64(result.onlineCached)/float64(max(1, result.onlineBlocks)))
			batch = append(batch, result.batchCachedShare())
			done = append(done, result.lastItemDone.Seconds())
			revoked = append(revoked, float64(result.revoked))
			if result.items == 0 {
				t.Errorf("%s: no batch item completed", variant.name)
			}
		}
		t.Logf("%-18s first %.3f between %.3f online cached %.3f batch cached %.3f last item %.2f s revoked %.0f",
			variant.name, median(first), median(between), median(online), median(batch), median(done), median(revoked))
	}
}

func median(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}
