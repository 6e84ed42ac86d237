package balance

import (
	"testing"
	"time"

	"github.com/sloelift/sloelift/internal/region"
	"github.com/sloelift/sloelift/internal/replica"
)

// TestPicksOfManyNodesSpread checks that nodes that see the same load do not all pick the emptiest replica, and that a batch item
// does.
func TestPicksOfManyNodesSpread(t *testing.T) {
	const replicas, choices = 30, 3000
	directory := replica.NewDirectory()
	var infos []replica.Info
	for number := range replicas {
		infos = append(infos, replica.Info{ID: string(rune('a' + number)), Service: "s", Zone: "z", Slots: 8})
	}
	directory.Replace(infos)
	now := time.Now()
	for handle := range directory.View().All() {
		handle.SetOthers(replica.Use{Requests: 4}, now)
	}
	emptiest := directory.View().Find("a")
	emptiest.SetOthers(replica.Use{Requests: 2}, now)
	picker := NewPicker(directory, region.Topology{}, nil)
	emptiestPicks := 0
	for range choices {
		if picker.Pick(&Request{Service: "s", Zone: "z"}, now) == emptiest {
			emptiestPicks++
		}
	}
	if share := float64(emptiestPicks) / choices; share > 2.0*sampleSize/replicas {
		t.Errorf("the emptiest replica got %.2f of all picks, want about %.2f", share, float64(sampleSize)/replicas)
	}
	if handle := picker.Pick(&Request{Service: "s", Zone: "z", MaxOccupancy: 0.9}, now); handle != emptiest {
		t.Error("a batch item did not go to the emptiest replica")
	}
}
