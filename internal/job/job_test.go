package job

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sloelift/sloelift/internal/engine"
	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/outcome"
	"github.com/sloelift/sloelift/internal/pause"
)

func TestJobCompletesAndResendGivesTheSameJob(t *testing.T) {
	runWithCluster(t, func(t *testing.T, cluster *testCluster) {
		const items = 3000 // several chunks
		status := mustSubmit(t, cluster.nodes[0], submission("night", items))
		again := mustSubmit(t, cluster.nodes[1], submission("night", items))
		if again.ID != status.ID || !again.AcceptedAt.Equal(status.AcceptedAt) {
			t.Fatalf("resend gave %+v, want %+v", again, status)
		}
		_, err := cluster.nodes[2].service.Submit(t.Context(), submission("night", items-1))
		wantReason(t, err, outcome.ReasonConflict)
		ended := waitForEnd(t, cluster.nodes[2], status.ID)
		if ended.Phase != PhaseCompleted || ended.Completed != items || ended.Failed != 0 {
			t.Fatalf("ended as %+v", ended)
		}
		checkAnswers(t, readResults(t, cluster.nodes[1], status.ID, 0), 0, items)
		checkAnswers(t, readResults(t, cluster.nodes[2], status.ID, 2900), 2900, items)
		if total, maxPerItem := cluster.engine.starts(); total != items || maxPerItem != 1 {
			t.Fatalf("%d runs, at most %d of one item", total, maxPerItem)
		}
	})
}

func TestSubmitRefusesBadInput(t *testing.T) {
	runWithCluster(t, func(t *testing.T, cluster *testCluster) {
		for name, items := range map[string]string{
			"empty": "", "no JSON": "page", "no id": `{"body":{}}`, "no body": `{"custom_id":"a"}`,
			"other model": `{"custom_id":"a","body":{"model":"big","messages":[{"role":"user","content":"x"}]}}`,
			"other url":   `{"custom_id":"a","url":"/v1/embeddings","body":{}}`,
			"twice":       itemLines(1) + itemLines(1),
		} {
			input := submission("bad "+name, 0)
			input.Items = strings.NewReader(items)
			_, err := cluster.nodes[0].service.Submit(t.Context(), input)
			wantReason(t, err, outcome.ReasonInvalid)
			if outcome.Of(err) != outcome.NotRun {
				t.Errorf("%s: outcome %s", name, outcome.Of(err))
			}
		}
	})
}

// cancelReader cancels the submission at the read that makes left 0.
type cancelReader struct {
	io.Reader
	cancel context.CancelFunc
	left   int
}

func (r *cancelReader) Read(into []byte) (int, error) {
	if r.left--; r.left == 0 {
		r.cancel()
	}
	return r.Reader.Read(into)
}

// TestInterruptedSubmissionCreatesNoJob checks that a submission cancelled during the upload creates
// no job and that its chunks are dropped.
func TestInterruptedSubmissionCreatesNoJob(t *testing.T) {
	runWithCluster(t, func(t *testing.T, cluster *testCluster) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		input := submission("cut off", 0)
		input.Items = &cancelReader{strings.NewReader(itemLines(20_000)), cancel, 5}
		if _, err := cluster.nodes[0].service.Submit(ctx, input); outcome.Of(err) != outcome.NotRun {
			t.Fatalf("submit: %v", err)
		}
		if listed, err := cluster.nodes[1].service.List(t.Context(), "registry", "", 0); err != nil || len(listed) != 0 {
			t.Fatalf("%d jobs: %v", len(listed), err)
		}
		time.Sleep(time.Hour)
		for partition, log := range cluster.logs {
			if err := log.Compact(cluster.machines[ledger.PartitionID(partition)]); err != nil {
				t.Fatal(err)
			}
			if _, records := log.Records(); len(records) != 0 {
				t.Errorf("%d records of the interrupted upload are kept", len(records))
			}
		}
	})
}

func TestCancelStopsTheJob(t *testing.T) {
	runWithCluster(t, func(t *testing.T, cluster *testCluster) {
		cluster.engine.onToken = func(ctx context.Context, _ engine.Endpoint, _ engine.Request, token int) error {
			if token == 1 {
				return blockUntilDone(ctx)
			}
			return nil
		}
		status := mustSubmit(t, cluster.nodes[0], submission("cancelled", 200))
		synctest.Wait()
		before, _ := cluster.engine.starts()
		cancelled, err := cluster.nodes[1].service.Cancel(t.Context(), "registry", status.ID)
		if err != nil || cancelled.Phase != PhaseCancelled {
			t.Fatalf("cancel: %+v, %v", cancelled, err)
		}
		cluster.engine.onToken = nil
		time.Sleep(time.Minute)
		if after, _ := cluster.engine.starts(); before != 64 || after != before || cluster.engine.cancels != before {
			t.Fatalf("%d runs before the cancel, %d after, %d cancelled", before, after, cluster.engine.cancels)
		}
		_, err = cluster.nodes[1].service.Cancel(t.Context(), "registry", status.ID)
		if err != nil {
			t.Fatalf("second cancel: %v", err)
		}
		_, err = cluster.nodes[1].service.Cancel(t.Context(), "other", status.ID)
		wantReason(t, err, outcome.ReasonNotFound)
	})
}

// TestCancelWaitsForPendingEngineCalls checks that a cancel neither interrupts engine calls that have
// begun nor is acknowledged before they have reached the engine: the engine could still
// read an interrupted request after the acknowledgement.
func TestCancelWaitsForPendingEngineCalls(t *testing.T) {
	runWithCluster(t, func(t *testing.T, cluster *testCluster) {
		answer := make(chan struct{})
		var cut atomic.Int32
		cluster.engine.onCall = func(ctx context.Context, _ engine.Endpoint, _ engine.Request) error {
			select {
			case <-answer:
				return nil
			case <-ctx.Done():
				// The engine may still read the request at any later time.
				cut.Add(1)
				return engine.KindLost.New("cut")
			}
		}
		cluster.engine.onToken = func(ctx context.Context, _ engine.Endpoint, _ engine.Request, _ int) error {
			return blockUntilDone(ctx)
		}
		status := mustSubmit(t, cluster.nodes[0], submission("calls", 10))
		synctest.Wait()
		acknowledged := make(chan error)
		go func() {
			_, err := cluster.nodes[0].service.Cancel(t.Context(), "registry", status.ID)
			acknowledged <- err
		}()
		time.Sleep(2 * time.Second)
		if cut.Load() != 0 {
			t.Fatalf("the cancel interrupted %d engine calls", cut.Load())
		}
		select {
		case <-acknowledged:
			t.Fatal("the cancel was acknowledged with engine calls pending")
		default:
		}
		close(answer)
		if err := <-acknowledged; err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		if total, _ := cluster.engine.starts(); total != 10 || cluster.engine.cancels != 10 {
			t.Fatalf("%d runs, %d cancelled", total, cluster.engine.cancels)
		}
	})
}

func TestJobAtRiskIsReportedEarly(t *testing.T) {
	runWithCluster(t, func(t *testing.T, cluster *testCluster) {
		cluster.credits.limit = 1
		cluster.engine.onToken = func(ctx context.Context, _ engine.Endpoint, _ engine.Request, _ int) error {
			pause.Sleep(ctx, 200*time.Millisecond) // one item a second
			return nil
		}
		late, timely := submission("late", 600), submission("timely", 20)
		late.Deadline, timely.Deadline = 5*time.Minute, time.Hour
		lateID, timelyID := mustSubmit(t, cluster.nodes[0], late).ID, mustSubmit(t, cluster.nodes[0], timely).ID
		time.Sleep(40 * time.Second)
		for id, want := range map[string]bool{lateID: true, timelyID: false} {
			if status, err := cluster.nodes[1].service.Status(t.Context(), "registry", id); err != nil || status.AtRisk != want {
				t.Errorf("%s: at risk %t, %v", status.ClientKey, status.AtRisk, err)
			}
		}
		cluster.credits.setLimit(64)
		if ended := waitForEnd(t, cluster.nodes[0], lateID); ended.EndedAt.After(ended.Deadline) || ended.AtRisk {
			t.Errorf("ended as %+v", ended)
		}
	})
}

func TestListContinuesAfterLastID(t *testing.T) {
	runWithCluster(t, func(t *testing.T, cluster *testCluster) {
		want := make(map[string]bool)
		for number := range 9 {
			input := submission(fmt.Sprintf("list-%d", number), 1)
			input.Metadata = map[string]string{"note": strings.Repeat("n", 300<<10)}
			want[mustSubmit(t, cluster.nodes[0], input).ID] = true
		}
		if all, err := cluster.nodes[2].service.List(t.Context(), "registry", "", 0); err != nil || len(all) != 9 {
			t.Fatalf("%d listed in one call: %v", len(all), err)
		}
		after, pages := "", 0
		for {
			page, err := cluster.nodes[2].service.List(t.Context(), "registry", after, 2)
			if err != nil || len(page) > 2 {
				t.Fatalf("page of %d: %v", len(page), err)
			}
			if len(page) == 0 {
				break
			}
			for _, status := range page {
				delete(want, status.ID)
			}
			after = page[len(page)-1].ID
			pages++
		}
		if len(want) > 0 || pages != 5 {
			t.Fatalf("%d jobs not listed in %d pages", len(want), pages)
		}
	})
}

func TestRetentionDropsResultsAndKeepsTheName(t *testing.T) {
	runWithCluster(t, func(t *testing.T, cluster *testCluster) {
		status := mustSubmit(t, cluster.nodes[0], submission("old", 20))
		waitForEnd(t, cluster.nodes[0], status.ID)
		time.Sleep(2 * time.Hour)
		expired, err := cluster.nodes[0].service.Status(t.Context(), "registry", status.ID)
		if err != nil || expired.Phase != PhaseExpired || expired.Completed != 20 {
			t.Fatalf("status %+v, %v", expired, err)
		}
		err = cluster.nodes[0].service.Results(t.Context(), "registry", status.ID, 0, func(ItemResult) error { return nil })
		wantReason(t, err, outcome.ReasonNotFound)
		if again := mustSubmit(t, cluster.nodes[1], submission("old", 20)); again.Phase != PhaseExpired {
			t.Fatalf("resend gave %+v", again)
		}
		partition := partitionOf(t, status.ID)
		if err := cluster.logs[partition].Compact(cluster.machines[partition]); err != nil {
			t.Fatal(err)
		}
		if _, records := cluster.logs[partition].Records(); len(records) != 0 {
			t.Fatalf("%d records kept", len(records))
		}
	})
}
