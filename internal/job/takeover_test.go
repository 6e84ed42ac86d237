package job

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sloelift/sloelift/internal/engine"
	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/outcome"
)

func TestTakeoverWithItemsInFlight(t *testing.T) {
	for _, notRepeatable := range []bool{false, true} {
		t.Run(fmt.Sprintf("marked=%t", notRepeatable), func(t *testing.T) {
			runWithCluster(t, func(t *testing.T, cluster *testCluster) {
				const items = 150
				hold := make(chan struct{})
				cluster.engine.onToken = func(ctx context.Context, _ engine.Endpoint, request engine.Request, token int) error {
					if token < 2 || len(request.ID)%2 == 0 {
						return nil
					}
					select {
					case <-hold:
						return nil
					case <-ctx.Done():
						return engine.KindLost.New("cut")
					}
				}
				input := submission("takeover", items)
				input.NotRepeatable = notRepeatable
				status := mustSubmit(t, cluster.nodes[0], input)
				synctest.Wait()
				partition := partitionOf(t, status.ID)
				cluster.assign(partition, 2)
				if err := cluster.logs[partition].Compact(cluster.machines[partition]); err != nil {
					t.Fatal(err)
				}
				cluster.assign(partition, 1)
				close(hold)
				ended := waitForEnd(t, cluster.nodes[0], status.ID)
				if ended.Completed != items {
					t.Fatalf("ended as %+v", ended)
				}
				checkAnswers(t, readResults(t, cluster.nodes[0], status.ID, 0), 0, items)
				if _, maxPerItem := cluster.engine.starts(); notRepeatable && maxPerItem != 1 {
					t.Fatalf("an item that is not repeatable ran %d times", maxPerItem)
				}
			})
		})
	}
}

// TestPlannedHandoverLeavesNoAttemptWithoutItsCall checks that Quiesce waits until each
// recorded attempt has reached its engine or has been refused. A new owner that found an
// attempt without its call would end the item as indeterminate.
func TestPlannedHandoverLeavesNoAttemptWithoutItsCall(t *testing.T) {
	runWithCluster(t, func(t *testing.T, cluster *testCluster) {
		const items, refused = 20, 3
		cluster.credits.limit = 8
		calls := make(chan error)
		cluster.engine.onCall = func(ctx context.Context, _ engine.Endpoint, request engine.Request) error {
			select {
			case err := <-calls:
				return err
			case <-ctx.Done():
				return engine.KindNotSent.New("cut")
			}
		}
		input := submission("handover", items)
		input.NotRepeatable = true
		status := mustSubmit(t, cluster.nodes[0], input)
		synctest.Wait()
		id := partitionOf(t, status.ID)
		quiesced := make(chan struct{})
		go func() {
			defer close(quiesced)
			cluster.machines[id].(ledger.Quiescer).Quiesce(t.Context())
		}()
		synctest.Wait()
		for sent := range 8 {
			select {
			case <-quiesced:
				t.Fatal("Quiesce returned with attempts pending")
			default:
			}
			if sent < refused {
				calls <- engine.KindRefused.New("busy")
			} else {
				calls <- nil
			}
		}
		<-quiesced
		cluster.assign(id, 2)
		close(calls)
		ended := waitForEnd(t, cluster.nodes[0], status.ID)
		if total, maxPerItem := cluster.engine.starts(); ended.Completed != items || total != items || maxPerItem != 1 {
			t.Fatalf("ended as %+v after %d runs, %d of one item", ended, total, maxPerItem)
		}
	})
}

// TestNotRepeatableItemWithLostRunIsIndeterminate checks that an item that is not repeatable is
// not run again when its engine no longer has the run.
func TestNotRepeatableItemWithLostRunIsIndeterminate(t *testing.T) {
	runWithCluster(t, func(t *testing.T, cluster *testCluster) {
		cluster.engine.onToken = func(ctx context.Context, _ engine.Endpoint, _ engine.Request, token int) error {
			if token == 2 {
				return blockUntilDone(ctx)
			}
			return nil
		}
		input := submission("gone", 5)
		input.NotRepeatable = true
		status := mustSubmit(t, cluster.nodes[0], input)
		synctest.Wait()
		cluster.engine.forgetRuns()
		cluster.assign(partitionOf(t, status.ID), 2)
		ended := waitForEnd(t, cluster.nodes[0], status.ID)
		if total, _ := cluster.engine.starts(); ended.Failed != 5 || total != 5 {
			t.Fatalf("ended as %+v after %d runs", ended, total)
		}
		for _, result := range readResults(t, cluster.nodes[0], status.ID, 0) {
			if result.Outcome != string(outcome.Indeterminate) {
				t.Errorf("item %d is %s", result.Index, result.Outcome)
			}
		}
	})
}

// TestRequestMovesFromPausedOwnerToSuccessor checks that a request pending at a paused
// owner is sent to the new owner within a second.
func TestRequestMovesFromPausedOwnerToSuccessor(t *testing.T) {
	runWithCluster(t, func(t *testing.T, cluster *testCluster) {
		partition := cluster.nodes[0].PartitionOf(idempotencyKey("registry", "key"))
		owner := cluster.owners[partition]
		cluster.mutex.Lock()
		cluster.paused = owner
		cluster.mutex.Unlock()
		began := time.Now()
		claimed := make(chan error)
		go func() {
			_, err := cluster.nodes[2].claimer.Claim(t.Context(), "registry", "key", "f", "request", "replica-0")
			claimed <- err
		}()
		synctest.Wait()
		cluster.assign(partition, (owner+1)%2)
		if err := <-claimed; err != nil || time.Since(began) > time.Second {
			t.Fatalf("claimed after %v: %v", time.Since(began), err)
		}
	})
}
