package ledgertest

import (
	"context"
	"testing"

	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/outcome"
)

type recordingMachine struct {
	restored []byte
	applied  []ledger.Position
	stop     bool
}

func (l *recordingMachine) Restore(snapshot []byte) error { l.restored = snapshot; return nil }
func (l *recordingMachine) Apply(position ledger.Position, _ ledger.Record) error {
	l.applied = append(l.applied, position)
	return nil
}
func (l *recordingMachine) Serve(ledger.Owned) {}
func (l *recordingMachine) Snapshot() (ledger.Position, ledger.Position, []byte, error) {
	return 2, 2, []byte("state"), nil
}
func (l *recordingMachine) Stop() { l.stop = true }

func TestLogSurvivesOwnersAndCompaction(t *testing.T) {
	log := NewLog(7)
	machine := &recordingMachine{}
	first, err := log.Start(machine)
	if err != nil {
		t.Fatal(err)
	}
	position, err := first.Append(context.Background(), []ledger.Record{{Kind: 1, Payload: []byte("a")}, {Kind: 2}, {Kind: 3}})
	if err != nil || position != 1 {
		t.Fatalf("append: position %d, error %v", position, err)
	}
	if err := log.Compact(machine); err != nil {
		t.Fatal(err)
	}
	next := &recordingMachine{}
	second, err := log.Start(next)
	if err != nil {
		t.Fatal(err)
	}
	if string(next.restored) != "state" || len(next.applied) != 1 || next.applied[0] != 3 {
		t.Fatalf("restored %q, applied %v", next.restored, next.applied)
	}
	if _, err := first.Append(context.Background(), []ledger.Record{{}}); outcome.Of(err) != outcome.NotRun {
		t.Fatalf("append by a former owner: %v", err)
	}
	if _, err := second.Read(context.Background(), 1, 10); outcome.As(err).Reason != outcome.ReasonNotFound {
		t.Fatalf("read of a trimmed record: %v", err)
	}
	records, err := second.Read(context.Background(), 2, 1)
	if err != nil || len(records) != 2 {
		t.Fatalf("read: %v %v", records, err)
	}
}
