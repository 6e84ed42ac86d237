package relay

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// settleRounds times tickInterval is 20 s, longer than all waits of the protocol together.
const settleRounds = 200

// TestRevisionNeverFalls drives nodes through lost, delayed and duplicated messages, stale and failed responses
// of the store, compaction, restarts and view changes. The simulation checks after each step that no revision
// decreases and that the content of a revision is the accepted one.
func TestRevisionNeverFalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t.Fatalf)
		node := rapid.IntRange(0, simulatedNodes-1)
		key := rapid.SampledFrom([]string{"objects/Tenant/a", "objects/Tenant/b", "objects/Model/c"})
		position := func(t *rapid.T) int {
			if len(s.messages) == 0 {
				t.Skip("no message")
			}
			return rapid.IntRange(0, len(s.messages)-1).Draw(t, "message")
		}
		t.Repeat(map[string]func(*rapid.T){
			"apply": func(t *rapid.T) { s.apply(key.Draw(t, "put"), key.Draw(t, "withdraw")) },
			"tick": func(t *rapid.T) {
				s.now += tickInterval
				s.tick(node.Draw(t, "node"))
			},
			"answer": func(t *rapid.T) {
				s.answerStore(node.Draw(t, "node"), rapid.IntRange(0, 3).Draw(t, "stale"), rapid.Bool().Draw(t, "fails"))
			},
			"deliver":   func(t *rapid.T) { s.take(position(t), false) },
			"lose":      func(t *rapid.T) { s.take(position(t), true) },
			"duplicate": func(t *rapid.T) { s.messages = append(s.messages, s.messages[position(t)]) },
			"restart": func(t *rapid.T) {
				s.restart(node.Draw(t, "node"), rapid.Bool().Draw(t, "disk"))
			},
			"compact": func(t *rapid.T) { s.compacted = s.storeRevision },
			"view": func(t *rapid.T) {
				live := rapid.Uint8().Draw(t, "live")
				s.view(node.Draw(t, "node"), func(index int) bool { return live>>index&1 == 1 })
			},
		})
		s.settle(settleRounds, true)
		s.wantAllAtHead()
	})
}

func TestPeersFillInWhileTheStoreIsDown(t *testing.T) {
	s := newSimulation(t.Fatalf)
	s.settle(settleRounds, true)
	for revision := range 3 {
		s.apply(fmt.Sprintf("objects/Tenant/t%d", revision), "")
	}
	// One watcher receives the changes, then the store becomes unavailable.
	for index, node := range s.nodes {
		if node.watching {
			for range 3 {
				s.answerStore(index, 0, false)
			}
			break
		}
	}
	s.settle(20, false)
	s.wantAllAtHead()
	for index := range simulatedNodes - 1 {
		s.restart(index, false)
		s.settle(20, false)
		s.wantAllAtHead()
	}
}

func TestNotReadyBelowRevisionOfMembership(t *testing.T) {
	s := newSimulation(t.Fatalf)
	s.settle(settleRounds, true)
	s.restart(0, false)
	s.nodes[1].member.Revisions.Configuration = 7
	s.settle(20, false)
	if s.nodes[0].ready {
		t.Error("ready at revision 0 although a peer had reported revision 7")
	}
	s.now += readyTimeout
	s.settle(1, false)
	if !s.nodes[0].ready {
		t.Error("not ready after readyTimeout")
	}
}

func TestTwoWatchersAZone(t *testing.T) {
	s := newSimulation(t.Fatalf)
	s.settle(settleRounds, true)
	watching := map[string]int{}
	for _, node := range s.nodes {
		if node.watching {
			watching[node.member.Zone]++
		}
	}
	for zone, count := range watching {
		if count != watchersPerZone {
			t.Errorf("%s has %d watchers", zone, count)
		}
	}
	if len(watching) != simulatedZones {
		t.Errorf("watchers by zone: %v", watching)
	}
}
