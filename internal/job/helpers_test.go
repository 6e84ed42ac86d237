package job

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sloelift/sloelift/internal/engine"
	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/outcome"
)

// completeAnswer is the text of every complete answer of fakeEngine.
const completeAnswer = "t0 t1 t2 t3 "

// itemLines returns a JSONL input with count items.
func itemLines(count int) string {
	var lines strings.Builder
	for index := range count {
		fmt.Fprintf(&lines,
			`{"custom_id":"item-%d","method":"POST","url":"/v1/chat/completions","body":{"model":"small","messages":[{"role":"user","content":"page %d"}]}}`+"\n",
			index, index)
	}
	return lines.String()
}

func submission(key string, items int) Submission {
	return Submission{
		Tenant: "registry", ClientKey: key, Service: "assist", Priority: "overnight", Operation: engine.OperationChat,
		Deadline: time.Hour, Retention: time.Hour, Items: strings.NewReader(itemLines(items)),
	}
}

// runWithCluster runs body in virtual time (a synctest bubble), with a cluster of three nodes.
func runWithCluster(t *testing.T, body func(t *testing.T, cluster *testCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, 3)
		defer cluster.stop()
		body(t, cluster)
	})
}

func mustSubmit(t *testing.T, node *testNode, input Submission) Status {
	t.Helper()
	status, err := node.service.Submit(t.Context(), input)
	if err != nil {
		t.Fatalf("submit: %v", err)
	}
	return status
}

// waitForEnd polls the status at node until the job has ended, for at most 600 s.
func waitForEnd(t *testing.T, node *testNode, id string) Status {
	t.Helper()
	return waitForEndAt(t, node.service, id)
}

func waitForEndAt(t *testing.T, jobs Service, id string) Status {
	t.Helper()
	for range 600 {
		status, err := jobs.Status(t.Context(), "registry", id)
		if err != nil {
			t.Fatalf("status: %v", err)
		}
		if !status.EndedAt.IsZero() {
			return status
		}
		time.Sleep(time.Second)
	}
	t.Fatal("the job did not end")
	return Status{}
}

func readResults(t *testing.T, node *testNode, id string, from int) []ItemResult {
	t.Helper()
	return readResultsAt(t, node.service, id, from)
}

func readResultsAt(t *testing.T, jobs Service, id string, from int) []ItemResult {
	t.Helper()
	var all []ItemResult
	err := jobs.Results(t.Context(), "registry", id, from, func(result ItemResult) error {
		all = append(all, result)
		return nil
	})
	if err != nil {
		t.Fatalf("results: %v", err)
	}
	return all
}

// checkAnswers checks that the results are those of the items from first to total-1, in
// order, each with the complete answer.
func checkAnswers(t *testing.T, all []ItemResult, first, total int) {
	t.Helper()
	if len(all) != total-first {
		t.Fatalf("%d results, want %d", len(all), total-first)
	}
	for offset, result := range all {
		var body completion
		if err := json.Unmarshal(result.Body, &body); err != nil {
			t.Fatal(err)
		}
		if result.Index != first+offset || result.CustomID != fmt.Sprintf("item-%d", result.Index) || result.Status != statusCompleted {
			t.Fatalf("result %d is %+v", first+offset, result)
		}
		if got := body.Choices[0].Message.Content; got != completeAnswer {
			t.Fatalf("answer of item %d is %q", result.Index, got)
		}
	}
}

func partitionOf(t *testing.T, id string) ledger.PartitionID {
	t.Helper()
	partition, err := partitionOfID(jobPrefix, id, testPartitions)
	if err != nil {
		t.Fatal(err)
	}
	return partition
}

func wantReason(t *testing.T, err error, reason outcome.Reason) {
	t.Helper()
	if err == nil || outcome.As(err).Reason != reason {
		t.Fatalf("error is %v, want %s", err, reason)
	}
}
