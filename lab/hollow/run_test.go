package hollow

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestRunOnVirtualTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		options := Options{
			Nodes: 21, Replicas: 63, Zones: 7, Regions: 3, Tenants: 10, Duration: 60 * time.Second,
			RestartsPerDay: 8640, FailuresPerDay: 17280, ConfigInterval: time.Second, Faults: true, Fleet: true, Seed: 1,
		}
		result, err := Run(t.Context(), options)
		if err != nil {
			t.Fatal(err)
		}
		if result.RevisionsBack != 0 || result.ConfigMissing != 0 || result.FalseDeaths != 0 || result.NotDetected != 0 {
			t.Errorf("back %d, missing %d, false deaths %d, not detected %d",
				result.RevisionsBack, result.ConfigMissing, result.FalseDeaths, result.NotDetected)
		}
		if result.Applied < 40 || result.ConfigSpread.Count < 40*10 || result.Restarts == 0 || result.Failures == 0 {
			t.Errorf("too few events in the run: %+v", result)
		}
		if result.DetectedInZone.Max > 3000 || result.DetectedEverywhere.Max > 8000 || result.ZoneLostMillis > 8000 ||
			result.ZoneLostMillis < 0 || result.RegionHealMillis < 0 {
			t.Errorf("late: in zone %v, everywhere %v, zone lost %v",
				result.DetectedInZone.Max, result.DetectedEverywhere.Max, result.ZoneLostMillis)
		}
		if result.ConfigSpread.Max > 8000 {
			t.Errorf("configuration took %v ms", result.ConfigSpread.Max)
		}
	})
}

func TestSpreadOn(t *testing.T) {
	epoch := time.Unix(1000, 0)
	at := func(seconds int) time.Time { return epoch.Add(time.Duration(seconds) * time.Second) }
	change := revisionAt{revision: 5, at: at(10)}
	type verdict struct {
		Took            time.Duration
		Judged, Reached bool
	}
	for name, row := range map[string]struct {
		history []revisionAt
		want    verdict
	}{
		"in force after 1 s":   {[]revisionAt{{0, at(0)}, {4, at(1)}, {5, at(11)}}, verdict{time.Second, true, true}},
		"a later one counts":   {[]revisionAt{{0, at(0)}, {7, at(12)}}, verdict{2 * time.Second, true, true}},
		"never":                {[]revisionAt{{0, at(0)}, {4, at(1)}}, verdict{0, true, false}},
		"just started":         {[]revisionAt{{0, at(9)}, {4, at(9)}}, verdict{}},
		"started after":        {[]revisionAt{{0, at(12)}, {5, at(13)}}, verdict{}},
		"ended before":         {[]revisionAt{{0, at(0)}, {-1, at(9)}}, verdict{}},
		"ended soon after":     {[]revisionAt{{0, at(0)}, {-1, at(11)}}, verdict{}},
		"ended without it":     {[]revisionAt{{0, at(0)}, {-1, at(30)}}, verdict{0, true, false}},
		"restarted in between": {[]revisionAt{{0, at(0)}, {-1, at(11)}, {0, at(13)}, {5, at(14)}}, verdict{}},
	} {
		took, judged, reached := spreadOn(row.history, change)
		if diff := cmp.Diff(row.want, verdict{took, judged, reached}); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
}

func TestSpreadOfFigures(t *testing.T) {
	var values []float64
	for value := 100; value > 0; value-- {
		values = append(values, float64(value))
	}
	want := Spread{Count: 100, Mean: 50.5, P50: 50, P95: 95, P99: 99, Max: 100}
	if diff := cmp.Diff(want, spreadOf(values)); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(Spread{}, spreadOf(nil)); diff != "" {
		t.Error(diff)
	}
}
