package protocol

import "testing"

// TestLaterSnapshotNeedsNoTrimmedRecords guards against a later snapshot with a lower KeepFrom listing records as
// needed that were trimmed after an earlier snapshot: the store could then not be a source for other stores. Both
// the store and its owner must keep the higher KeepFrom.
func TestLaterSnapshotNeedsNoTrimmedRecords(t *testing.T) {
	ballot := Ballot{Version: 1, Number: 1, Owner: "owner"}
	store := newModelStore()
	store.state.Prepare(Prepare{Ballot: ballot, Ensemble: Ensemble{Version: 1, Members: []Member{{Store: "a"}}, WriteQuorum: 1}})
	var entries []Entry
	for position := Position(1); position <= 3; position++ {
		entries = append(entries, Entry{Position: position, Ballot: ballot, Born: ballot})
	}
	store.state.Append(Append{Ballot: ballot, First: 1, Entries: entries, Committed: 3})
	store.state.InstallSnapshot(ballot, 0, SnapshotInfo{UpTo: 1, KeepFrom: 2})
	store.state.Trim(ballot, 2)
	if answer, _ := store.state.InstallSnapshot(ballot, 0, SnapshotInfo{UpTo: 2, KeepFrom: 1}); answer.Verdict != VerdictOK {
		t.Fatalf("verdict %d", answer.Verdict)
	}
	if held := store.state.Snapshot; held.UpTo != 2 || held.KeepFrom != store.state.First {
		t.Errorf("snapshot up to %d needs records from %d on, the store has those from %d on", held.UpTo, held.KeepFrom, store.state.First)
	}
	owner := NewOwner(ballot, Ensemble{Version: 1, Members: []Member{{Store: "a"}}, WriteQuorum: 1}, DefaultOwnerLimits())
	owner.SnapshotHeld("a", SnapshotInfo{UpTo: 1, KeepFrom: 2})
	owner.SnapshotHeld("a", SnapshotInfo{UpTo: 2, KeepFrom: 1})
	if held := owner.Holdings()[0].Snapshot; held.UpTo != 2 || held.KeepFrom != 2 {
		t.Errorf("the owner records that the snapshot up to %d needs records from %d on", held.UpTo, held.KeepFrom)
	}
}
