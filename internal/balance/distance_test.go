package balance

import (
	"testing"
	"time"

	"github.com/sloelift/sloelift/internal/region"
	"github.com/sloelift/sloelift/internal/replica"
)

// threeDistances returns a directory with three replicas of 8 slots: in zone n1, in another zone of its region, and in another region.
func threeDistances() (*replica.Directory, region.Topology) {
	directory := replica.NewDirectory()
	directory.Replace([]replica.Info{
		{ID: "here", Service: "s", Zone: "n1", Slots: 8},
		{ID: "near", Service: "s", Zone: "n2", Slots: 8},
		{ID: "far", Service: "s", Zone: "s1", Slots: 8},
	})
	return directory, region.NewTopology(map[string]string{"n1": "north", "n2": "north", "s1": "south"})
}

// TestPickPrefersNearestOfEquallyLoaded checks that the nearest of about equally loaded replicas is picked, and that a replica on which the request
// would wait loses even to one in another region.
func TestPickPrefersNearestOfEquallyLoaded(t *testing.T) {
	const objective = 300 * time.Millisecond
	for _, test := range []struct {
		name            string
		here, near, far int
		want            string
	}{
		{"all empty", 0, 0, 0, "here"},
		{"some more here", 4, 3, 0, "here"},
		{"much more here", 5, 0, 0, "near"},
		{"one slot is left here, half of them there", 7, 7, 4, "here"},
		{"here is full", 8, 2, 0, "near"},
		{"the region is full", 8, 8, 2, "far"},
		{"the region is full, the other has two slots free", 8, 8, 6, "far"},
		{"all full", 8, 8, 8, "here"},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Now()
			directory, topology := threeDistances()
			for id, requests := range map[string]int{"here": test.here, "near": test.near, "far": test.far} {
				directory.View().Find(id).SetOthers(replica.Use{Requests: requests}, now)
			}
			picker := NewPicker(directory, topology, func() float64 { return 0 })
			picked := picker.Pick(&Request{Service: "s", Zone: "n1", BodyBytes: 500, Objective: objective}, now)
			if picked.Info().ID != test.want {
				t.Errorf("picked %s, want %s", picked.Info().ID, test.want)
			}
		})
	}
}

func TestDistancePenalty(t *testing.T) {
	for _, test := range []struct {
		name      string
		request   Request
		distance  region.Distance
		low, high float64
	}{
		{"own zone", Request{BodyBytes: 1 << 20}, region.SameZone, 0, 0},
		{"own region", Request{}, region.SameRegion, remoteZonePenalty, remoteZonePenalty},
		{"own region, a large body", Request{BodyBytes: 1 << 20}, region.SameRegion, maxRemotePenalty, maxRemotePenalty},
		{"other region, latency does not matter", Request{}, region.OtherRegion, 0.44, 0.46},
		{"other region, an objective of 100 ms", Request{Objective: 100 * time.Millisecond}, region.OtherRegion, 0.69, 0.71},
		{"other region, an objective of 10 s", Request{Objective: 10 * time.Second}, region.OtherRegion, 0.44, 0.47},
		{"other region, 4 KiB", Request{BodyBytes: 4 << 10}, region.OtherRegion, 0.69, 0.71},
		{"other region, a large body", Request{BodyBytes: 1 << 20}, region.OtherRegion, maxOtherRegionPenalty, maxOtherRegionPenalty},
	} {
		if got := distancePenalty(&test.request, test.distance); got < test.low || got > test.high {
			t.Errorf("%s: %f, want %f to %f", test.name, got, test.low, test.high)
		}
	}
}

// TestSampleOfEachDistance checks that the sample contains a few replicas of each distance, regardless of how many are farther away.
func TestSampleOfEachDistance(t *testing.T) {
	directory := replica.NewDirectory()
	var infos []replica.Info
	for number := range 40 {
		zone := "s1"
		switch {
		case number < 2:
			zone = "n1"
		case number < 8:
			zone = "n2"
		}
		infos = append(infos, replica.Info{ID: string(rune('A' + number)), Service: "s", Zone: zone, Slots: 8})
	}
	directory.Replace(infos)
	_, topology := threeDistances()
	request := &Request{Service: "s", Zone: "n1", topology: topology}
	drawn := newSample(request, directory.View().ForService("s"))
	for distance, want := range map[region.Distance]float64{region.SameZone: 1.5, region.SameRegion: 0.5, region.OtherRegion: 3.0 / 32} {
		if got := drawn[distance]; got != want {
			t.Errorf("sampling probability at distance %d is %f, want %f", distance, got, want)
		}
	}
}
