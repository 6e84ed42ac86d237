package soak

import (
	"reflect"
	"testing"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/sloelift/sloelift/lab/experiment"
)

// TestDrawnScenariosAreSound guards that a seed always gives the same scenario, that its faults are valid and within its time, and that
// none loses more disks than the ledger tolerates.
func TestDrawnScenariosAreSound(t *testing.T) {
	const duration = 12 * time.Second
	seen := map[experiment.FaultKind]bool{}
	for seed := range uint64(200) {
		scenario := Draw(seed, duration)
		if !reflect.DeepEqual(scenario, Draw(seed, duration)) {
			t.Errorf("seed %d gives two scenarios", seed)
		}
		content, err := yaml.Marshal(scenario)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := experiment.ParseScenario(content); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
		disks := 0
		for _, fault := range scenario.Faults {
			seen[fault.Kind] = true
			if fault.At < 0 || fault.At > duration*3/4 {
				t.Errorf("seed %d: %s begins at %s", seed, fault.Kind, fault.At)
			}
			if fault.Kind == experiment.FaultLoseDisk {
				disks++
			}
		}
		if disks > 1 {
			t.Errorf("seed %d loses %d disks", seed, disks)
		}
	}
	for _, kind := range kinds {
		if !seen[kind.kind] {
			t.Errorf("no seed draws %s", kind.kind)
		}
	}
}
