package job

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sloelift/sloelift/internal/engine"
	"github.com/sloelift/sloelift/internal/pause"
)

// TestRevokedCreditKeepsNotRepeatableRun checks that the run of an item that is not repeatable
// continues when its credit is revoked.
func TestRevokedCreditKeepsNotRepeatableRun(t *testing.T) {
	runWithCluster(t, func(t *testing.T, cluster *testCluster) {
		cluster.engine.onToken = func(ctx context.Context, _ engine.Endpoint, _ engine.Request, _ int) error {
			pause.Sleep(ctx, time.Second)
			return nil
		}
		input := submission("revoked and marked", 10)
		input.NotRepeatable = true
		status := mustSubmit(t, cluster.nodes[0], input)
		synctest.Wait()
		cluster.credits.revokeAll()
		waitForEnd(t, cluster.nodes[0], status.ID)
		checkAnswers(t, readResults(t, cluster.nodes[0], status.ID, 0), 0, 10)
		if total, _ := cluster.engine.starts(); total != 10 || cluster.engine.cancels != 0 {
			t.Fatalf("%d runs, %d cancelled", total, cluster.engine.cancels)
		}
	})
}

// TestItemWithRevokedCreditResumesAfterItsTokens checks that a repeatable item whose credit is revoked
// is cancelled and resumes after the tokens received so far.
func TestItemWithRevokedCreditResumesAfterItsTokens(t *testing.T) {
	runWithCluster(t, func(t *testing.T, cluster *testCluster) {
		var offsets sync.Map
		cluster.engine.onToken = func(ctx context.Context, _ engine.Endpoint, request engine.Request, token int) error {
			if request.Offset > 0 {
				offsets.Store(itemOfRequest(request.ID), request.Prior)
			}
			if token == 2 && request.Offset == 0 {
				return blockUntilDone(ctx)
			}
			return nil
		}
		status := mustSubmit(t, cluster.nodes[0], submission("revoked", 10))
		synctest.Wait()
		cluster.credits.revokeAll()
		waitForEnd(t, cluster.nodes[0], status.ID)
		checkAnswers(t, readResults(t, cluster.nodes[0], status.ID, 0), 0, 10)
		count := 0
		offsets.Range(func(_, prior any) bool {
			count++
			if prior != "t0 t1 " {
				t.Errorf("prior is %q", prior)
			}
			return true
		})
		if count != 10 || cluster.engine.cancels != 10 {
			t.Fatalf("%d items resumed, %d runs cancelled", count, cluster.engine.cancels)
		}
	})
}

func TestEngineErrors(t *testing.T) {
	runWithCluster(t, func(t *testing.T, cluster *testCluster) {
		var mutex sync.Mutex
		calls := make(map[string]int)
		cluster.engine.onCall = func(_ context.Context, _ engine.Endpoint, request engine.Request) error {
			mutex.Lock()
			defer mutex.Unlock()
			item := itemOfRequest(request.ID)
			calls[item]++
			switch {
			case strings.HasSuffix(item, ":0"):
				return engine.KindInvalid.New("prompt too long")
			case strings.HasSuffix(item, ":1") && calls[item] < 3:
				return engine.KindRefused.New("busy")
			case strings.HasSuffix(item, ":2") && calls[item] < 3:
				return engine.KindLost.New("cut")
			case strings.HasSuffix(item, ":3"):
				return engine.KindLost.New("always cut")
			}
			return nil
		}
		status := mustSubmit(t, cluster.nodes[0], submission("errors", 5))
		waitForEnd(t, cluster.nodes[0], status.ID)
		got := map[int]int{}
		for _, result := range readResults(t, cluster.nodes[0], status.ID, 0) {
			got[result.Index] = result.Status
		}
		if diff := cmp.Diff(map[int]int{0: 400, 1: 200, 2: 200, 3: 502, 4: 200}, got); diff != "" {
			t.Fatal(diff)
		}
	})
}
