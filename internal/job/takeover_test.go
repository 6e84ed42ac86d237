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
	for _, marked := range []bool{false, true} {
		t.Run(fmt.Sprintf("marked=%t", marked), func(t *testing.T) {
			run(t, func(t *testing.T, cluster *testCluster) {
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
				wanted := submission("takeover", items)
				wanted.NotRepeatable = marked
				status := mustSubmit(t, cluster.nodes[0], wanted)
				synctest.Wait()
				partition := partitionOf(t, status.ID)
				cluster.own(partition, 2)
				if err := cluster.logs[partition].Compact(cluster.machines[partition]); err != nil {
					t.Fatal(err)
				}
				cluster.own(partition, 1)
				close(hold)
				ended := finish(t, cluster.nodes[0], status.ID)
				if ended.Completed != items {
					t.Fatalf("ended as %+v", ended)
				}
				checkAnswers(t, results(t, cluster.nodes[0], status.ID, 0), 0, items)
				if _, most := cluster.engine.starts(); marked && most != 1 {
					t.Fatalf("a marked item ran %d times", most)
				}
			})
		})
	}
}

func TestPlannedHandoverLeavesNoAttemptWithoutItsCall(t *testing.T) {
	run(t, func(t *testing.T, cluster *testCluster) {
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
		wanted := submission("handover", items)
		wanted.NotRepeatable = true
		status := mustSubmit(t, cluster.nodes[0], wanted)
		synctest.Wait()
		id := partitionOf(t, status.ID)
		quiet := make(chan struct{})
		go func() {
			defer close(quiet)
			cluster.machines[id].(ledger.Quiescer).Quiesce(t.Context())
		}()
		synctest.Wait()
		for sent := range 8 {
			select {
			case <-quiet:
				t.Fatal("quiet with attempts under way")
			default:
			}
			if sent < refused {
				calls <- engine.KindRefused.New("busy")
			} else {
				calls <- nil
			}
		}
		<-quiet
		cluster.own(id, 2)
		close(calls)
		ended := finish(t, cluster.nodes[0], status.ID)
		if total, most := cluster.engine.starts(); ended.Completed != items || total != items || most != 1 {
			t.Fatalf("ended as %+v after %d runs, %d of one item", ended, total, most)
		}
	})
}

func TestMarkedItemWhoseRunIsGoneIsIndeterminate(t *testing.T) {
	run(t, func(t *testing.T, cluster *testCluster) {
		cluster.engine.onToken = func(ctx context.Context, _ engine.Endpoint, _ engine.Request, token int) error {
			if token == 2 {
				return waitUntil(ctx)
			}
			return nil
		}
		wanted := submission("gone", 5)
		wanted.NotRepeatable = true
		status := mustSubmit(t, cluster.nodes[0], wanted)
		synctest.Wait()
		cluster.engine.forgetRuns()
		cluster.own(partitionOf(t, status.ID), 2)
		ended := finish(t, cluster.nodes[0], status.ID)
		if total, _ := cluster.engine.starts(); ended.Failed != 5 || total != 5 {
			t.Fatalf("ended as %+v after %d runs", ended, total)
		}
		for _, result := range results(t, cluster.nodes[0], status.ID, 0) {
			if result.Outcome != string(outcome.Indeterminate) {
				t.Errorf("item %d is %s", result.Index, result.Outcome)
			}
		}
	})
}

func TestRequestLeavesAPausedOwnerForItsSuccessor(t *testing.T) {
	run(t, func(t *testing.T, cluster *testCluster) {
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
		cluster.own(partition, (owner+1)%2)
		if err := <-claimed; err != nil || time.Since(began) > time.Second {
			t.Fatalf("claimed after %v: %v", time.Since(began), err)
		}
	})
}
