package balance

import (
	"testing"
	"time"

	"github.com/sloelift/sloelift/internal/region"
	"github.com/sloelift/sloelift/internal/replica"
)

// TestFullReplicaLosesToOtherZone checks, for replicas with few slots, that one on which the request would wait loses to one in another zone,
// while a slightly fuller one with a free slot does not.
func TestFullReplicaLosesToOtherZone(t *testing.T) {
	now := time.Now()
	for _, test := range []struct {
		name      string
		near, far int
		want      string
	}{
		{"one request more nearby", 2, 1, "near"},
		{"nearby has the last slot free", 4, 3, "near"},
		{"nearby is just full", 5, 3, "far"},
		{"nearby is full, the other almost", 5, 4, "far"},
		{"both full", 5, 5, "near"},
	} {
		t.Run(test.name, func(t *testing.T) {
			directory := replica.NewDirectory()
			directory.Replace([]replica.Info{
				{ID: "near", Service: "s", Zone: "z1", Slots: 5},
				{ID: "far", Service: "s", Zone: "z2", Slots: 5},
			})
			directory.View().Find("near").SetOthers(replica.Use{Requests: test.near}, now)
			directory.View().Find("far").SetOthers(replica.Use{Requests: test.far}, now)
			picked := NewPicker(directory, region.Topology{}, func() float64 { return 0 }).Pick(&Request{Service: "s", Zone: "z1"}, now)
			if picked.Info().ID != test.want {
				t.Errorf("picked %s, want %s", picked.Info().ID, test.want)
			}
		})
	}
}

// TestPickAvoidsQueuedPrefill checks that queued prefill of other nodes counts against a replica, and that it no longer counts
// when it is a minute old.
func TestPickAvoidsQueuedPrefill(t *testing.T) {
	now := time.Now()
	directory := replica.NewDirectory()
	directory.Replace([]replica.Info{
		{ID: "busy", Service: "s", Zone: "z1", Slots: 5},
		{ID: "free", Service: "s", Zone: "z1", Slots: 5},
	})
	directory.View().Find("busy").SetOthers(replica.Use{Requests: 1, Reading: 4 * longPromptTokens}, now)
	directory.View().Find("free").SetOthers(replica.Use{Requests: 3}, now)
	picker := NewPicker(directory, region.Topology{}, func() float64 { return 0 })
	if picked := picker.Pick(&Request{Service: "s", Zone: "z1", Tokens: 600}, now); picked.Info().ID != "free" {
		t.Errorf("picked %s, want the replica without queued prefill", picked.Info().ID)
	}
	late := now.Add(time.Minute)
	directory.View().Find("free").SetOthers(replica.Use{Requests: 3}, late)
	if picked := picker.Pick(&Request{Service: "s", Zone: "z1", Tokens: 600}, late); picked.Info().ID != "busy" {
		t.Errorf("picked %s: load reported a minute ago still counts", picked.Info().ID)
	}
}

// TestSlowReplicaIsPenalized checks that a replica on which work takes longer than usual loses to an otherwise equal one, but not to a full
// one.
func TestSlowReplicaIsPenalized(t *testing.T) {
	now := time.Now()
	directory := replica.NewDirectory()
	directory.Replace([]replica.Info{
		{ID: "slow", Service: "s", Zone: "z1", Slots: 5},
		{ID: "usual", Service: "s", Zone: "z1", Slots: 5},
	})
	directory.View().Find("slow").NoteLoad(replica.Load{Slots: 5, WorkTime: 250}, now)
	directory.View().Find("usual").NoteLoad(replica.Load{Slots: 5, WorkTime: 100}, now)
	picker := NewPicker(directory, region.Topology{}, func() float64 { return 0 })
	if picked := picker.Pick(&Request{Service: "s", Zone: "z1"}, now); picked.Info().ID != "usual" {
		t.Errorf("picked %s, want the one with the usual work time", picked.Info().ID)
	}
	directory.View().Find("usual").SetOthers(replica.Use{Requests: 5}, now)
	if picked := picker.Pick(&Request{Service: "s", Zone: "z1"}, now); picked.Info().ID != "slow" {
		t.Errorf("picked %s, want the one with free slots", picked.Info().ID)
	}
}
