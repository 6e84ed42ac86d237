package protocol

import "testing"

// promiseOf returns the promise of a store that accepted records up to last under accepted, whose recovery ended at
// recoveredTo.
func promiseOf(ballot, accepted Ballot, recoveredTo, last Position) Promise {
	return Promise{Verdict: VerdictOK, Promised: ballot, Accepted: accepted, RecoveredTo: recoveredTo, First: 1, Last: last}
}

// Two stores hold different records at one position, both before the end of the higher ballot's recovery. Only the
// record of the higher ballot can have been acknowledged.
func TestRecoveryTakesTheHighestBallot(t *testing.T) {
	low, high, own := Ballot{1, 1, "a"}, Ballot{1, 3, "c"}, Ballot{1, 4, "d"}
	ensemble := Ensemble{Version: 1, WriteQuorum: 3, Members: []Member{{Store: "1"}, {Store: "2"}, {Store: "3"}, {Store: "4"}}}
	for _, first := range []StoreID{"1", "2"} {
		owner := NewOwner(own, ensemble, DefaultOwnerLimits())
		owner.Start()
		owner.Promised("1", promiseOf(own, low, 0, 1))
		if actions := owner.Promised("2", promiseOf(own, high, 1, 1)); len(actions) != 2 {
			t.Fatalf("tails read: %v", actions)
		}
		entries := map[StoreID][]Entry{
			"1": {{Position: 1, Ballot: low, Record: Record{Payload: []byte("low")}}},
			"2": {{Position: 1, Ballot: high, Record: Record{Payload: []byte("high")}}},
		}
		second := map[StoreID]StoreID{"1": "2", "2": "1"}[first]
		owner.TailRead(first, entries[first])
		actions := owner.TailRead(second, entries[second])
		if len(actions) != 2 {
			t.Fatalf("after the tails: %v", actions)
		}
		for _, action := range actions {
			written := action.(SendAppend).Append.Entries
			if len(written) != 1 || string(written[0].Record.Payload) != "high" || written[0].Ballot != own {
				t.Fatalf("rewritten: %v", written)
			}
		}
	}
}

// Records of a lower ballot after the end of a higher ballot's recovery were never acknowledged and must not
// reappear after the higher ballot's records.
func TestRecoveryVoidsOldTails(t *testing.T) {
	low, high, own := Ballot{1, 1, "a"}, Ballot{1, 2, "b"}, Ballot{1, 3, "c"}
	ensemble := Ensemble{Version: 1, WriteQuorum: 3, Members: []Member{{Store: "1"}, {Store: "2"}, {Store: "3"}, {Store: "4"}}}
	owner := NewOwner(own, ensemble, DefaultOwnerLimits())
	owner.Start()
	owner.Promised("1", promiseOf(own, low, 0, 9))
	actions := owner.Promised("2", promiseOf(own, high, 2, 3))
	if len(actions) != 2 || owner.RecoveredTo() != 3 {
		t.Fatalf("recovers to %d by %v", owner.RecoveredTo(), actions)
	}
	if tail := actions[0].(ReadTail); tail.Store != "1" || tail.To != 2 {
		t.Fatalf("tail of the lower ballot: %+v", tail)
	}
}

// Two stores hold tails of different owners, and one of them was partly rewritten by a later owner. A record first
// proposed under a lower ballot cannot follow a record of a higher one.
func TestRecoveryEndsAMixedTail(t *testing.T) {
	second, third, fourth, own := Ballot{1, 1, "b"}, Ballot{1, 1, "c"}, Ballot{2, 2, "b"}, Ballot{2, 3, "d"}
	ensemble := Ensemble{Version: 2, WriteQuorum: 3, Members: []Member{{Store: "1"}, {Store: "2"}, {Store: "3"}, {Store: "4"}}}
	owner := NewOwner(own, ensemble, DefaultOwnerLimits())
	owner.Start()
	owner.Promised("1", promiseOf(own, fourth, 3, 3))
	owner.Promised("2", promiseOf(own, third, 1, 2))
	owner.TailRead("1", []Entry{
		{Position: 1, Ballot: fourth, Born: second}, {Position: 2, Ballot: second, Born: second}, {Position: 3, Ballot: second, Born: second},
	})
	owner.TailRead("2", []Entry{{Position: 1, Ballot: third, Born: second}, {Position: 2, Ballot: third, Born: third}})
	if owner.Last() != 2 || owner.RecoveredTo() != 2 {
		t.Fatalf("recovers to %d, last %d", owner.RecoveredTo(), owner.Last())
	}
}

// The only store that knows a record to be committed is lost after the owner learned it and before the other stores
// did. The owner must detect that it cannot make progress.
func TestOwnerNoticesUnreadableRecords(t *testing.T) {
	before, own := Ballot{1, 1, "a"}, Ballot{1, 2, "b"}
	ensemble := Ensemble{Version: 1, WriteQuorum: 3, Members: []Member{{Store: "1"}, {Store: "2"}, {Store: "3"}, {Store: "4"}}}
	owner := NewOwner(own, ensemble, DefaultOwnerLimits())
	owner.Start()
	knowing := promiseOf(own, before, 0, 1)
	knowing.Committed = 1
	owner.Promised("1", knowing)
	owner.Promised("2", promiseOf(own, before, 0, 1))
	if owner.Phase() != PhaseServing || owner.Starved() {
		t.Fatalf("phase %d, starved %v", owner.Phase(), owner.Starved())
	}
	next, ok := ensemble.Replace("1", Member{Store: "5"})
	if !ok {
		t.Fatal("the lost store can't be replaced")
	}
	owner.PrepareAgain(next)
	again := owner.Ballot()
	for _, store := range []StoreID{"2", "3", "4"} {
		owner.Promised(store, promiseOf(again, before, 0, 1))
	}
	if !owner.Starved() {
		t.Fatalf("not starved in phase %d: %+v", owner.Phase(), owner.Holdings())
	}
}

// TestStoreThatDroppedItsRecordsIsNotCountedWhenItRejoins guards against records that are acknowledged and on too few stores.
// A store is replaced, drops its records and joins again, while the owner has not heard of the version between. It counted
// for the write quorum with the records that it had before.
func TestStoreThatDroppedItsRecordsIsNotCountedWhenItRejoins(t *testing.T) {
	first := Ballot{1, 1, "a"}
	ensemble := Ensemble{Version: 1, WriteQuorum: 2, Members: []Member{{Store: "1"}, {Store: "2"}, {Store: "3"}}}
	owner := NewOwner(first, ensemble, DefaultOwnerLimits())
	owner.Start()
	owner.Promised("1", promiseOf(first, Ballot{}, 0, 0))
	owner.Promised("2", promiseOf(first, Ballot{}, 0, 0))
	owner.Propose([]Record{{Payload: []byte("x")}})
	for _, store := range []StoreID{"1", "2"} {
		owner.Acknowledged(store, Acknowledgement{Verdict: VerdictOK, Promised: first, Through: 1}, false)
	}
	without, _ := ensemble.Replace("2", Member{Store: "4"})
	without, _ = without.Promote("4")
	rejoined, _ := without.Replace("4", Member{Store: "2"})
	owner.PrepareAgain(rejoined)
	again := owner.Ballot()
	owner.Promised("1", promiseOf(again, first, 0, 1))
	owner.Promised("3", promiseOf(again, Ballot{}, 0, 0))
	owner.Promised("2", promiseOf(again, Ballot{}, 0, 0))
	for _, holding := range owner.Holdings() {
		if holding.Member.Store == "2" && (holding.Through > 0 || holding.CaughtUp) {
			t.Fatalf("the store that dropped its records counts as holding them: %+v", holding)
		}
	}
}

// Another owner has had a record acknowledged between two ballots of this one. When it prepares again, the owner must
// detect that its log is incomplete and give up.
func TestOwnerGivesUpAfterAnotherWrote(t *testing.T) {
	first, between := Ballot{1, 1, "a"}, Ballot{1, 2, "x"}
	ensemble := Ensemble{Version: 1, WriteQuorum: 3, Members: []Member{{Store: "1"}, {Store: "2"}, {Store: "3"}, {Store: "4"}}}
	for _, accepted := range []Ballot{first, between} {
		owner := NewOwner(first, ensemble, DefaultOwnerLimits())
		owner.Start()
		owner.Promised("1", promiseOf(first, Ballot{}, 0, 0))
		owner.Promised("2", promiseOf(first, Ballot{}, 0, 0))
		next, _ := ensemble.Replace("1", Member{Store: "5"})
		owner.PrepareAgain(next)
		owner.Promised("2", promiseOf(owner.Ballot(), first, 0, 0))
		owner.Promised("3", promiseOf(owner.Ballot(), accepted, 0, 1))
		if lost := owner.Phase() == PhaseLost; lost != (accepted == between) {
			t.Fatalf("with records of %s the owner is in phase %d", accepted, owner.Phase())
		}
	}
}
