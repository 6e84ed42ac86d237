package balance

import (
	"testing"
	"time"

	"github.com/sloelift/sloelift/internal/region"
	"github.com/sloelift/sloelift/internal/replica"
)

// TestRoomForOneMoreDecides: with few slots a replica that would have the request wait is passed over for one of another zone, while
// one with room is not, though it is a little fuller.
func TestRoomForOneMoreDecides(t *testing.T) {
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
			directory.Replace([]replica.Info{{ID: "near", Service: "s", Zone: "z1", Slots: 5}, {ID: "far", Service: "s", Zone: "z2", Slots: 5}})
			directory.View().Find("near").SetOthers(replica.Use{Requests: test.near}, now)
			directory.View().Find("far").SetOthers(replica.Use{Requests: test.far}, now)
			picked := NewPicker(directory, region.Topology{}, func() float64 { return 0 }).Pick(&Request{Service: "s", Zone: "z1"}, now)
			if picked.Info().ID != test.want {
				t.Errorf("picked %s, want %s", picked.Info().ID, test.want)
			}
		})
	}
}

// TestShortPromptsGoWhereLittleIsRead: prompts that other nodes have sent to a replica hold up a request as this node's own do.
func TestShortPromptsGoWhereLittleIsRead(t *testing.T) {
	now := time.Now()
	directory := replica.NewDirectory()
	directory.Replace([]replica.Info{{ID: "busy", Service: "s", Zone: "z1", Slots: 5}, {ID: "free", Service: "s", Zone: "z1", Slots: 5}})
	directory.View().Find("busy").SetOthers(replica.Use{Requests: 1, Reading: 4 * longPromptTokens}, now)
	directory.View().Find("free").SetOthers(replica.Use{Requests: 3}, now)
	picker := NewPicker(directory, region.Topology{}, func() float64 { return 0 })
	if picked := picker.Pick(&Request{Service: "s", Zone: "z1", Tokens: 600}, now); picked.Info().ID != "free" {
		t.Errorf("picked %s, want the replica that reads no prompt", picked.Info().ID)
	}
	late := now.Add(time.Minute)
	directory.View().Find("free").SetOthers(replica.Use{Requests: 3}, late)
	if picked := picker.Pick(&Request{Service: "s", Zone: "z1", Tokens: 600}, late); picked.Info().ID != "busy" {
		t.Errorf("picked %s: what was known a minute ago still counts", picked.Info().ID)
	}
}

// TestSlowReplicaIsPutBack: of two replicas alike the one is chosen at which work takes as long as usual, and a slow one still before a full
// one.
func TestSlowReplicaIsPutBack(t *testing.T) {
	now := time.Now()
	directory := replica.NewDirectory()
	directory.Replace([]replica.Info{{ID: "slow", Service: "s", Zone: "z1", Slots: 5}, {ID: "usual", Service: "s", Zone: "z1", Slots: 5}})
	directory.View().Find("slow").NoteLoad(replica.Load{Slots: 5, WorkTime: 250}, now)
	directory.View().Find("usual").NoteLoad(replica.Load{Slots: 5, WorkTime: 100}, now)
	picker := NewPicker(directory, region.Topology{}, func() float64 { return 0 })
	if picked := picker.Pick(&Request{Service: "s", Zone: "z1"}, now); picked.Info().ID != "usual" {
		t.Errorf("picked %s, want the one that works as usual", picked.Info().ID)
	}
	directory.View().Find("usual").SetOthers(replica.Use{Requests: 5}, now)
	if picked := picker.Pick(&Request{Service: "s", Zone: "z1"}, now); picked.Info().ID != "slow" {
		t.Errorf("picked %s, want the one with room", picked.Info().ID)
	}
}
