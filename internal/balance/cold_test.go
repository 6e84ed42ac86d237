package balance

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/sloelift/sloelift/internal/region"
	"github.com/sloelift/sloelift/internal/replica"
)

func TestPickAmongColdReplicas(t *testing.T) {
	t.Parallel()
	now := time.Now()
	cold := func(handle *replica.Handle, until time.Duration) {
		handle.SetColdBounded(true)
		handle.SetColdUntil(now.Add(until))
	}
	for _, test := range []struct {
		name    string
		prepare func(view *replica.View)
		want    string
	}{
		{"cold one without a pass dropped", func(v *replica.View) { cold(v.Find("near"), time.Second) }, "far"},
		{"cold ones without a pass dropped", func(v *replica.View) {
			cold(v.Find("near"), time.Second)
			cold(v.Find("far"), time.Second)
		}, ""},
		{"cold one with a pass used", func(v *replica.View) {
			cold(v.Find("near"), time.Second)
			cold(v.Find("far"), time.Second)
			v.Find("near").SetColdPass(replica.NewColdPass(1, now.Add(time.Second)))
		}, "near"},
		{"cold one whose pass is used up dropped", func(v *replica.View) {
			cold(v.Find("near"), time.Second)
			v.Find("near").SetColdPass(replica.NewColdPass(1, now.Add(time.Second)))
			v.Find("near").ColdPass().Take(now)
		}, "far"},
		{"cold one whose pass is over dropped", func(v *replica.View) {
			cold(v.Find("near"), time.Second)
			v.Find("near").SetColdPass(replica.NewColdPass(1, now))
		}, "far"},
		{"one that has just turned warm is worth less", func(v *replica.View) {
			cold(v.Find("near"), -time.Millisecond)
			v.Find("near").NoteLoad(replica.Load{Running: 1, Slots: 10}, now)
		}, "far"},
		{"one that turned warm a while ago is not", func(v *replica.View) {
			cold(v.Find("near"), -warmRampTime)
			v.Find("near").NoteLoad(replica.Load{Running: 1, Slots: 10}, now)
		}, "near"},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			directory := testDirectory()
			test.prepare(directory.View())
			picked := NewPicker(directory, region.Topology{}, func() float64 { return 0 }).Pick(&Request{Service: "s", Zone: "z1"}, now)
			got := ""
			if picked != nil {
				got = picked.Info().ID
			}
			if got != test.want {
				t.Errorf("picked %q, want %q", got, test.want)
			}
		})
	}
}

// TestPaceRarelyPenalizesNormalTraffic checks that under normal traffic, with bursts of twice the base rate, paceScore penalizes at most a quarter
// of the requests.
func TestPaceRarelyPenalizesNormalTraffic(t *testing.T) {
	t.Parallel()
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	random := rand.New(rand.NewPCG(seed, 1))
	for _, perSecond := range []float64{0.2, 1, 4} {
		handle := replica.NewHandle(replica.Info{ID: "r", Slots: 8})
		handle.SetColdBounded(true)
		requests, penalized := 0, 0
		now := time.Now()
		end := now.Add(500 * time.Second)
		for now.Before(end) {
			burst := 1.0
			if now.Unix()%6 < 2 {
				burst = 2
			}
			now = now.Add(time.Duration(random.ExpFloat64() / perSecond / burst * float64(time.Second)))
			handle.NoteSent(now)
			requests++
			if paceScore(nil, handle, now) <= -pacePenalty {
				penalized++
			}
		}
		t.Logf("%g requests/s: %d of %d requests exceed the pace by one or more", perSecond, penalized, requests)
		if penalized > requests/4 {
			t.Errorf("%g requests/s: %d of %d requests exceed the pace, want a quarter at most", perSecond, penalized, requests)
		}
	}
}

// TestPaceSpreadsABurst checks that a burst is not sent entirely to the emptiest replica, to which nothing was sent recently.
func TestPaceSpreadsABurst(t *testing.T) {
	t.Parallel()
	now := time.Now()
	directory := testDirectory()
	view := directory.View()
	for _, id := range []string{"near", "far"} {
		view.Find(id).SetColdBounded(true)
	}
	view.Find("far").NoteLoad(replica.Load{Running: 1, Slots: 10}, now)
	picker := NewPicker(directory, region.Topology{}, func() float64 { return 0 })
	got := map[string]int{}
	for range 10 {
		handle := picker.Pick(&Request{Service: "s", Zone: "z1"}, now)
		handle.NoteSent(now)
		got[handle.Info().ID]++
	}
	if got["near"] > 7 || got["far"] == 0 {
		t.Errorf("burst was distributed as %v, want at most 7 on near and some on far", got)
	}
}

// TestColdReplicasAreWantedWhereWarmOnesAreShort checks that cold replicas are marked as wanted only while warm ones are short.
func TestColdReplicasAreWantedWhereWarmOnesAreShort(t *testing.T) {
	t.Parallel()
	now := time.Now()
	for _, test := range []struct {
		name    string
		zone    string
		running int
		cold    []string
		want    []string
	}{
		{"room in the own zone", "z2", 2, []string{"near"}, nil},
		{"own zone is rather full, the cold one is elsewhere", "z2", 6, []string{"near"}, nil},
		{"own zone is cold", "z1", 0, []string{"near"}, []string{"near"}},
		{"all are cold", "z1", 0, []string{"near", "far"}, []string{"near", "far"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			directory := testDirectory()
			view := directory.View()
			view.Find("far").NoteLoad(replica.Load{Running: test.running, Slots: 10}, now)
			for _, id := range test.cold {
				view.Find(id).SetColdBounded(true)
				view.Find(id).SetColdUntil(now.Add(time.Second))
			}
			NewPicker(directory, region.Topology{}, nil).Pick(&Request{Service: "s", Zone: test.zone}, now)
			var wanted []string
			for _, id := range []string{"near", "far"} {
				if view.Find(id).ColdWanted(now.Add(-time.Millisecond)) {
					wanted = append(wanted, id)
				}
			}
			if !slices.Equal(wanted, test.want) {
				t.Errorf("marked as wanted: %v, want %v", wanted, test.want)
			}
		})
	}
}
