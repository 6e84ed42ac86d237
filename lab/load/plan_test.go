package load

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestPlanIsAFunctionOfItsSeed(t *testing.T) {
	for _, profile := range []Profile{Registry(), Tidewater()} {
		first, again := NewPlan(profile, 20*time.Second, 7), NewPlan(profile, 20*time.Second, 7)
		if diff := cmp.Diff(first, again); diff != "" {
			t.Fatalf("%s: %s", profile.Name, diff)
		}
		other := NewPlan(profile, 20*time.Second, 8)
		if cmp.Equal(first.Online, other.Online) || cmp.Equal(first.Jobs, other.Jobs) {
			t.Fatalf("%s: another seed gave the same arrivals", profile.Name)
		}
	}
}

func TestPlanIsInOrderAndItsMarkersAreUnique(t *testing.T) {
	plan := NewPlan(Registry(), 20*time.Second, 1)
	if len(plan.Online) == 0 || len(plan.Jobs) == 0 {
		t.Fatal("empty plan")
	}
	if !slices.IsSortedFunc(plan.Online, func(a, b OnlineArrival) int { return int(a.At - b.At) }) {
		t.Fatal("online arrivals are not in order")
	}
	seen := map[string]bool{}
	note := func(marker string, batch bool) {
		if seen[marker] || IsBatch(marker) != batch {
			t.Fatalf("marker %q is not unique or of the wrong class", marker)
		}
		seen[marker] = true
	}
	for _, arrival := range plan.Online {
		note(arrival.Marker, false)
	}
	for _, job := range plan.Jobs {
		for _, item := range job.Items {
			note(item.CustomID, true)
		}
	}
}
