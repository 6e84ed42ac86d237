package job

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sloelift/sloelift/internal/outcome"
	"github.com/sloelift/sloelift/internal/session"
)

func TestKeyIsGrantedOnceAndAwaited(t *testing.T) {
	runWithCluster(t, func(t *testing.T, cluster *testCluster) {
		claims := make([]session.Claim, 2)
		var group sync.WaitGroup
		for number := range claims {
			group.Go(func() {
				claimer := cluster.nodes[number].claimer
				claim, err := claimer.Claim(t.Context(), "registry", "draft-7", "same", fmt.Sprintf("request-%d", number), "replica-1")
				if err != nil {
					t.Error(err)
					return
				}
				if claim.Granted {
					time.Sleep(time.Minute)
					_, err = claimer.Complete(t.Context(), "registry", "draft-7", session.Result{Outcome: "completed", Text: claim.RequestID})
				} else {
					claim, err = claimer.Await(t.Context(), "registry", "draft-7")
				}
				if err != nil {
					t.Error(err)
				}
				claims[number] = claim
			})
		}
		time.Sleep(20 * time.Second)
		cluster.assign(0, 2)
		cluster.assign(1, 2)
		group.Wait()
		if claims[0].Granted == claims[1].Granted {
			t.Fatalf("claims %+v", claims)
		}
		for _, claim := range claims {
			if !claim.Granted && (!claim.Done || claim.Result.Text != claim.RequestID) {
				t.Fatalf("awaited %+v", claim)
			}
		}
		_, err := cluster.nodes[0].claimer.Claim(t.Context(), "registry", "draft-7", "other", "request-9", "replica-1")
		wantReason(t, err, outcome.ReasonConflict)
		_, err = cluster.nodes[0].claimer.Await(t.Context(), "registry", "unknown")
		wantReason(t, err, outcome.ReasonNotFound)
	})
}

func TestFiles(t *testing.T) {
	runWithCluster(t, func(t *testing.T, cluster *testCluster) {
		content := strings.Repeat("one line of a ledger page\n", 40_000)
		file, err := cluster.nodes[0].files.Put(t.Context(), "registry", "pages.jsonl", "batch", strings.NewReader(content))
		if err != nil || file.Bytes != int64(len(content)) {
			t.Fatalf("put: %+v, %v", file, err)
		}
		var read strings.Builder
		if err := cluster.nodes[2].files.Read(t.Context(), "registry", file.ID, &read); err != nil || read.String() != content {
			t.Fatalf("read %d bytes: %v", read.Len(), err)
		}
		if listed, err := cluster.nodes[1].files.List(t.Context(), "registry", "", 0); err != nil || len(listed) != 1 {
			t.Fatalf("list: %v, %v", listed, err)
		}
		_, err = cluster.nodes[1].files.Get(t.Context(), "other", file.ID)
		wantReason(t, err, outcome.ReasonNotFound)
		if err := cluster.nodes[1].files.Delete(t.Context(), "registry", file.ID); err != nil {
			t.Fatal(err)
		}
		_, err = cluster.nodes[1].files.Get(t.Context(), "registry", file.ID)
		wantReason(t, err, outcome.ReasonNotFound)
	})
}

func TestFullStoresRefuseWithRetryAfter(t *testing.T) {
	runWithCluster(t, func(t *testing.T, cluster *testCluster) {
		full := outcome.New(outcome.NotRun, outcome.ReasonStorageFull, "full").After(7 * time.Second)
		for _, log := range cluster.logs {
			log.FailAppends(full)
		}
		for _, node := range cluster.nodes {
			began := time.Now()
			_, err := node.service.Submit(t.Context(), submission("full", 10))
			wantReason(t, err, outcome.ReasonStorageFull)
			if outcome.Of(err) != outcome.NotRun || outcome.As(err).RetryAfter != 7*time.Second || time.Since(began) > time.Second {
				t.Errorf("after %s: %v", time.Since(began), err)
			}
		}
	})
}
