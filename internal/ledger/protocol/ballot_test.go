package protocol

import "testing"

func TestBallotOrder(t *testing.T) {
	ordered := []Ballot{{}, {1, 1, "b"}, {1, 2, "a"}, {1, 2, "b"}, {1, 9, "z"}, {2, 1, "a"}}
	for i, lower := range ordered {
		for j, higher := range ordered {
			if lower.Below(higher) != (i < j) {
				t.Errorf("%s below %s: %v", lower, higher, lower.Below(higher))
			}
		}
	}
}

// A store that dropped a partition must not count towards quorums of an owner under an older ensemble version.
func TestDroppedStoreRefusesOlderVersions(t *testing.T) {
	state := NewStoreState()
	state.Prepare(Prepare{Ballot: Ballot{1, 1, "a"}, Ensemble: Ensemble{Version: 1, Members: []Member{{Store: "old"}}}})
	state.Append(Append{Ballot: Ballot{1, 1, "a"}, First: 1, Entries: []Entry{{Position: 1}}})
	if effect := state.Drop("old", Ensemble{Version: 3, Members: []Member{{Store: "new"}}}); len(effect.Remove) != 1 {
		t.Fatalf("dropping: %+v", effect)
	}
	if promise, _ := state.Prepare(Prepare{Ballot: Ballot{2, 99, "z"}}); promise.Verdict != VerdictRefused {
		t.Fatal("a ballot of an older version was promised")
	}
	if answer, _ := state.Append(Append{Ballot: Ballot{1, 1, "a"}, First: 1}); answer.Verdict != VerdictRefused {
		t.Fatal("an append under an older version was accepted")
	}
	if promise, _ := state.Prepare(Prepare{Ballot: Ballot{3, 1, "a"}}); promise.Verdict != VerdictOK || promise.Last != 0 {
		t.Fatalf("under the newer version: %+v", promise)
	}
}
