package roster

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/sloelift/sloelift/internal/replica"
)

var testZones = []string{"z1", "z2", "z3", "z4", "z5"}

const testSlots = 8

// infoOf returns the replica with the given number.
func infoOf(number int) replica.Info {
	return replica.Info{
		ID: fmt.Sprintf("replica-%06d", number), Service: "s", Zone: testZones[number%len(testZones)], Slots: testSlots,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(number >> 16), byte(number >> 8), byte(number)}), 8000),
	}
}

func rosterOf(count int) *Roster {
	infos := make([]replica.Info, 0, count)
	for number := range count {
		infos = append(infos, infoOf(number))
	}
	roster := New()
	roster.Replace(infos, 1)
	return roster
}

func partOfNode(number int) Part {
	return Part{Node: fmt.Sprintf("node-%04d", number), Zone: testZones[number%len(testZones)], Width: MinWidth}
}

// The size of a node's part is the same for a list of 20,000 replicas as for one of 1,000.
func TestPartDoesNotGrowWithTheList(t *testing.T) {
	wanted := MinWidth + (len(testZones)-1)*MinWidth/otherZoneShare
	for _, count := range []int{1000, 10000, 20000} {
		roster := rosterOf(count)
		part, elsewhere := roster.Part(partOfNode(0))
		if len(part) != wanted {
			t.Errorf("part of %d of %d replicas, want %d", len(part), count, wanted)
		}
		if elsewhere["s"] != (count-wanted)*testSlots {
			t.Errorf("%d slots elsewhere of a list of %d replicas", elsewhere["s"], count)
		}
	}
}

// TestPartHasReplicasOfEachVersion guards that a node which keeps a part of the list can go on with
// the streams of a version of which few replicas are left.
func TestPartHasReplicasOfEachVersion(t *testing.T) {
	roster := rosterOf(2000)
	var changed []replica.Info
	for _, number := range []int{7, 700, 1400, 1401, 1999} {
		info := infoOf(number)
		info.Version = "v0"
		changed = append(changed, info)
	}
	draining := infoOf(900)
	draining.Version, draining.Draining = "v0", true
	roster.Update(append(changed, draining), nil, 2)
	for number := range 50 {
		part, elsewhere := roster.Part(partOfNode(number))
		usable, slots := 0, 0
		for _, info := range part {
			if !info.Draining {
				slots += info.Slots
				if info.Version == "v0" {
					usable++
				}
			}
		}
		if usable < versionWidth || slots+elsewhere["s"] != 1999*testSlots {
			t.Fatalf("node %d has %d usable replicas of v0, and %d slots of all", number, usable, slots+elsewhere["s"])
		}
	}
	roster.Update(nil, []string{changed[0].ID, changed[1].ID, changed[2].ID}, 3)
	if part, _ := roster.Part(partOfNode(0)); !slices.ContainsFunc(part, func(info replica.Info) bool { return info.ID == changed[4].ID }) {
		t.Error("one of the last two replicas of v0 is missing")
	}
}

// All nodes together use nearly all replicas, and no replica is used by many more nodes than
// others.
func TestPartsSpreadEvenly(t *testing.T) {
	for _, size := range []struct{ nodes, replicas int }{{985, 10000}, {1970, 20000}} {
		roster := rosterOf(size.replicas)
		holders := map[string]int{}
		for number := range size.nodes {
			part, _ := roster.Part(partOfNode(number))
			for _, info := range part {
				holders[info.ID]++
			}
		}
		mean := float64(size.nodes*64) / float64(size.replicas)
		if used := float64(len(holders)) / float64(size.replicas); used < 0.9 {
			t.Errorf("%.2f of %d replicas are used by %d nodes", used, size.replicas, size.nodes)
		}
		if most := slices.Max(slices.Collect(maps.Values(holders))); float64(most) > 5*mean {
			t.Errorf("one of %d replicas is used by %d nodes, mean %.1f", size.replicas, most, mean)
		}
	}
}

// Removing a replica changes the parts of few nodes, by one entry each.
func TestChangeMovesFewParts(t *testing.T) {
	const nodes, replicas = 985, 10000
	roster := rosterOf(replicas)
	before := make([]selection, nodes)
	for number := range nodes {
		before[number] = roster.selectPart(partOfNode(number))
	}
	roster.Update(nil, []string{infoOf(17).ID}, 2)
	moved := 0
	for number := range nodes {
		found := diffParts(before[number].entries, roster.selectPart(partOfNode(number)).entries)
		if found.empty() {
			continue
		}
		moved++
		if len(found.changed) > 1 || len(found.removed) > 1 {
			t.Errorf("node %d has %d added and %d removed replicas after one was removed from the list", number, len(found.changed), len(found.removed))
		}
	}
	if moved == 0 || moved > nodes/20 {
		t.Errorf("parts of %d of %d nodes changed after one replica was removed", moved, nodes)
	}
}

// A draining replica stays in the part, which gets another one that accepts requests.
func TestDrainingReplicasAreReplacedInAPart(t *testing.T) {
	roster := rosterOf(1000)
	before, _ := roster.Part(partOfNode(0))
	leaving := before[0]
	leaving.Draining = true
	roster.Update([]replica.Info{leaving}, nil, 2)
	after, elsewhere := roster.Part(partOfNode(0))
	if len(after) != len(before)+1 || !slices.Contains(after, leaving) {
		t.Errorf("part of %d replicas after one of %d began to drain", len(after), len(before))
	}
	if elsewhere["s"] != (1000-1-len(before))*testSlots {
		t.Errorf("%d slots elsewhere", elsewhere["s"])
	}
}

// A late update of an earlier start of a replica is ignored. An update without a start time applies
// to the known start.
func TestLateEntryOfAnEarlierLifeChangesNothing(t *testing.T) {
	roster := New()
	roster.Replace([]replica.Info{{ID: "a", Service: "s", Zone: "z1", Slots: 1, Born: 200}}, 1)
	roster.Update([]replica.Info{{ID: "a", Service: "s", Zone: "z1", Slots: 9, Born: 100}}, nil, 2)
	roster.Update([]replica.Info{{ID: "a", Service: "s", Zone: "z1", Slots: 1, Draining: true}}, nil, 3)
	if info, _ := roster.Find("a"); info.Slots != 1 || info.Born != 200 || !info.Draining {
		t.Errorf("listed replica %+v", info)
	}
}

// After any changes the rings and slot sums match the replicas on the list.
func TestRosterProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		roster, model := New(), map[string]replica.Info{}
		for step := range rapid.IntRange(1, 20).Draw(t, "steps") {
			numbers := rapid.SliceOfN(rapid.IntRange(0, 400), 0, 200).Draw(t, "numbers")
			var changed []replica.Info
			var removed []string
			for _, number := range numbers {
				info := infoOf(number)
				info.Draining = rapid.Bool().Draw(t, "draining")
				if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
					removed = append(removed, info.ID)
				} else {
					changed = append(changed, info)
				}
			}
			if rapid.IntRange(0, 9).Draw(t, "list") == 0 {
				clear(model)
				roster.Replace(slices.Collect(maps.Values(model)), int64(step))
			}
			for _, info := range changed {
				model[info.ID] = info
			}
			for _, id := range removed {
				delete(model, id)
			}
			roster.Update(changed, removed, int64(step))
			checkRoster(t, roster, model)
		}
	})
}

// checkRoster fails if the list differs from model, or a part differs from the selection on the
// rings.
func checkRoster(t *rapid.T, roster *Roster, model map[string]replica.Info) {
	slots, ready := 0, map[string]int{}
	for id, info := range model {
		if kept, found := roster.Find(id); !found || kept != info {
			t.Fatalf("listed replica %+v, want %+v", kept, info)
		}
		if !info.Draining {
			slots += info.Slots
			ready[info.Zone]++
		}
	}
	if roster.Len() != len(model) {
		t.Fatalf("%d replicas on the list, want %d", roster.Len(), len(model))
	}
	part, elsewhere := roster.Part(partOfNode(0))
	own, known := 0, map[string]int{}
	for _, info := range part {
		if !info.Draining {
			own += info.Slots
			known[info.Zone]++
		}
	}
	if own+elsewhere["s"] != slots {
		t.Fatalf("%d slots in the part and %d elsewhere, want %d in all", own, elsewhere["s"], slots)
	}
	for zone, count := range ready {
		if wanted := min(count, partOfNode(0).countIn(zone)); known[zone] != wanted {
			t.Fatalf("%d replicas of %s in the part, want %d of %d", known[zone], zone, wanted, count)
		}
	}
}
