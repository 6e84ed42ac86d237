package batch

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	batchpb "github.com/sloelift/sloelift/api/proto/batch"
	"github.com/sloelift/sloelift/internal/ledger"
)

func plainSubmission(jobID string, items int) *batchpb.Submission {
	submission := &batchpb.Submission{JobId: jobID, Host: "h", Route: "r"}
	for number := range items {
		submission.Items = append(submission.Items, &batchpb.Item{Id: fmt.Sprintf("%s-%d", jobID, number), Path: "/p", Body: []byte("body"), Tokens: 10})
	}
	return submission
}

// log applies and keeps records, as the ledger does.
type log struct {
	t       *testing.T
	state   *state
	records []ledger.Record
}

func newLog(t *testing.T) *log { return &log{t: t, state: newState()} }

func (l *log) add(records ...ledger.Record) {
	l.t.Helper()
	for _, record := range records {
		l.records = append(l.records, record)
		if err := l.state.apply(ledger.Position(len(l.records)), record); err != nil {
			l.t.Fatalf("record %d: %v", len(l.records), err)
		}
	}
}

func (l *log) text(jobID string, number int) (text string, listed bool) {
	item := l.state.jobs[jobID].items[number]
	return item.text, item.listed
}

func progressRecord(jobID string, number int, offset int, text string) ledger.Record {
	return newRecord(ledger.KindBatchProgress, &batchpb.Progress{JobId: jobID, Item: uint32(number), LastEvent: "1", Text: text, Offset: uint64(offset)})
}

func successRecord(jobID string, number int, offset int, text string) ledger.Record {
	return newRecord(ledger.KindBatchResult, &batchpb.Result{
		JobId: jobID, Item: uint32(number), State: batchpb.State_STATE_SUCCEEDED, Text: text, Offset: uint64(offset),
	})
}

func TestResultGoesOnBehindProgress(t *testing.T) {
	log := newLog(t)
	log.add(acceptanceRecords(plainSubmission("j", 2), 1)...)
	log.add(progressRecord("j", 0, 0, "a\nb"), progressRecord("j", 0, 3, "\nc"), successRecord("j", 0, 5, "\nd"))
	if text, listed := log.text("j", 0); text != "a\nb\nc\nd" || !listed {
		t.Errorf("text is %q, listed %t", text, listed)
	}
}

// TestRecordWithWrongOffsetIsIgnored checks that a result that overtakes its last progress is neither listed with a gap in its text
// nor treated as an error, which would make the partition unreadable.
func TestRecordWithWrongOffsetIsIgnored(t *testing.T) {
	log := newLog(t)
	log.add(acceptanceRecords(plainSubmission("j", 1), 1)...)
	log.add(successRecord("j", 0, 3, "\nc"), progressRecord("j", 0, 0, "a\nb"), progressRecord("j", 0, 7, "late"))
	if text, listed := log.text("j", 0); listed {
		t.Fatalf("item is listed with text %q", text)
	}
	log.add(successRecord("j", 0, 3, "\nc"))
	if text, listed := log.text("j", 0); text != "a\nb\nc" || !listed {
		t.Errorf("text is %q, listed %t", text, listed)
	}
}

func TestFirstResultStands(t *testing.T) {
	log := newLog(t)
	log.add(acceptanceRecords(plainSubmission("j", 2), 1)...)
	dead := newRecord(ledger.KindBatchResult, &batchpb.Result{JobId: "j", Item: 1, State: batchpb.State_STATE_DEAD_LETTER})
	log.add(successRecord("j", 1, 0, "one"), dead, successRecord("j", 1, 0, "two"), successRecord("j", 0, 0, "zero"))
	found := log.state.jobs["j"]
	if text, _ := log.text("j", 1); text != "one" || found.items[1].state != batchpb.State_STATE_SUCCEEDED {
		t.Errorf("item 1 is %q, state %v", text, found.items[1].state)
	}
	if len(found.listed) != 2 || found.listed[0] != 1 || found.listed[1] != 0 {
		t.Errorf("listed in the order %v, want [1 0]", found.listed)
	}
}

func TestAcceptedOnceAndWaitingTokens(t *testing.T) {
	log := newLog(t)
	log.add(acceptanceRecords(plainSubmission("j", 3), 1)...)
	log.add(acceptanceRecords(plainSubmission("j", 3), 2)...)
	if waiting := log.state.waitingTokens[quotaKey{route: "r"}]; waiting != 30 {
		t.Errorf("%d tokens wait after a resend, want 30", waiting)
	}
	log.add(successRecord("j", 0, 0, "x"))
	log.add(newRecord(ledger.KindBatchEnded, &batchpb.Ended{JobId: "j"}))
	log.add(successRecord("j", 1, 0, "y"))
	if waiting := log.state.waitingTokens[quotaKey{route: "r"}]; waiting != 0 {
		t.Errorf("%d tokens wait after the end, want 0", waiting)
	}
	log.add(newRecord(ledger.KindBatchForgotten, &batchpb.Forgotten{JobId: "j"}))
	if log.state.bytes != 0 || len(log.state.jobs) != 0 {
		t.Errorf("%d bytes and %d jobs are kept after all is forgotten", log.state.bytes, len(log.state.jobs))
	}
}

func TestLargeSubmissionIsAcceptedFromParts(t *testing.T) {
	submission := plainSubmission("j", 3)
	for _, item := range submission.Items {
		item.Body = make([]byte, chunkBytes)
	}
	records := acceptanceRecords(submission, 1)
	if len(records) < 4 {
		t.Fatalf("%d records, want parts", len(records))
	}
	log := newLog(t)
	log.add(records[:len(records)-1]...)
	if len(log.state.jobs) != 0 {
		t.Error("job exists before its last record")
	}
	log.add(records[len(records)-1])
	if found := log.state.jobs["j"]; found == nil || len(found.submission.Items[2].Body) != chunkBytes {
		t.Error("job is not whole")
	}
}

// TestSnapshotIsTheState checks that at any point the state restored from a snapshot equals the state from the log, and stays equal
// as further records are applied.
func TestSnapshotIsTheState(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		log := newLog(t)
		kinds := []string{"accept", "progress", "result", "dead", "end", "forget", "crash", "fail"}
		step := func(s *state) ledger.Record {
			job := fmt.Sprintf("j%d", rapid.IntRange(0, 2).Draw(r, "job"))
			number := rapid.IntRange(0, 2).Draw(r, "item")
			loggedSize := 0
			if found := s.jobs[job]; found != nil {
				loggedSize = len(found.items[number].loggedText())
			}
			offset := max(0, loggedSize+rapid.SampledFrom([]int{0, 0, 0, -1, 1}).Draw(r, "shift"))
			switch rapid.SampledFrom(kinds).Draw(r, "kind") {
			case "accept":
				return acceptanceRecords(plainSubmission(job, 3), 1)[0]
			case "progress":
				return progressRecord(job, number, offset, "xy")
			case "result":
				return successRecord(job, number, offset, "z")
			case "dead":
				return newRecord(ledger.KindBatchResult, &batchpb.Result{JobId: job, Item: uint32(number), State: batchpb.State_STATE_DEAD_LETTER})
			case "crash":
				return newRecord(ledger.KindBatchCrashed, &batchpb.Crashed{JobId: job, Item: uint32(number), Replica: uint64(rapid.IntRange(1, 5).Draw(r, "replica"))})
			case "fail":
				return newRecord(ledger.KindBatchFailed, &batchpb.Failed{JobId: job, Item: uint32(number), Failures: uint32(rapid.IntRange(1, 5).Draw(r, "failures"))})
			case "end":
				return newRecord(ledger.KindBatchEnded, &batchpb.Ended{JobId: job})
			default:
				return newRecord(ledger.KindBatchForgotten, &batchpb.Forgotten{JobId: job})
			}
		}
		for range rapid.IntRange(0, 30).Draw(r, "before") {
			log.add(step(log.state))
		}
		encoded, err := log.state.snapshot()
		if err != nil {
			r.Fatal(err)
		}
		restored, err := restoreState(encoded)
		if err != nil {
			r.Fatal(err)
		}
		for range rapid.IntRange(0, 10).Draw(r, "after") {
			record := step(log.state)
			log.add(record)
			if err := restored.apply(ledger.Position(len(log.records)), record); err != nil {
				r.Fatal(err)
			}
		}
		sameState(r, log.state, restored)
	})
}

func sameState(r *rapid.T, want, got *state) {
	wantSnapshot, gotSnapshot := &batchpb.Snapshot{}, &batchpb.Snapshot{}
	for _, side := range []struct {
		state *state
		into  *batchpb.Snapshot
	}{{want, wantSnapshot}, {got, gotSnapshot}} {
		encoded, err := side.state.snapshot()
		if err != nil {
			r.Fatal(err)
		}
		if err := proto.Unmarshal(encoded, side.into); err != nil {
			r.Fatal(err)
		}
	}
	if !proto.Equal(wantSnapshot, gotSnapshot) {
		r.Fatalf("states differ:\n%v\n%v", wantSnapshot, gotSnapshot)
	}
	if want.bytes != got.bytes || want.waitingTokens[quotaKey{route: "r"}] != got.waitingTokens[quotaKey{route: "r"}] {
		r.Fatalf("bytes %d and %d, waiting tokens %d and %d", want.bytes, got.bytes,
			want.waitingTokens[quotaKey{route: "r"}], got.waitingTokens[quotaKey{route: "r"}])
	}
}

// TestNextOwnerKnowsThePace checks that the run time estimates from finished items are restored from the log and from a snapshot.
func TestNextOwnerKnowsThePace(t *testing.T) {
	log := newLog(t)
	log.add(acceptanceRecords(plainSubmission("j", 3), 1)...)
	log.add(newRecord(ledger.KindBatchResult, &batchpb.Result{JobId: "j", Item: 0, State: batchpb.State_STATE_SUCCEEDED, Text: "text", RanMillis: 5000}))
	log.add(successRecord("j", 1, 0, "its time is not known"))
	encoded, err := log.state.snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored, err := restoreState(encoded)
	if err != nil {
		t.Fatal(err)
	}
	for name, source := range map[string]*state{"log": log.state, "snapshot": restored} {
		if left := source.paceOf("r").remaining(20, 0); left != 10*time.Second {
			t.Errorf("%s: an item of 20 tokens needs %s, want 10s, as one of 10 took 5s", name, left)
		}
	}
}
