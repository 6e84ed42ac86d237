package batch

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	batchpb "github.com/sloelift/sloelift/api/proto/batch"
	"github.com/sloelift/sloelift/internal/replica/replicatest"
)

// timesThen uses first for the first count items sent and rest for all other requests.
func timesThen(count int64, first, rest replicatest.Script) replicatest.Script {
	var items atomic.Int64
	return func(connection net.Conn, request *http.Request) bool {
		if request.Method == http.MethodPost && items.Add(1) <= count {
			return first(connection, request)
		}
		return rest(connection, request)
	}
}

// answerWithHead writes a complete response with the given header lines, each ending in CRLF, and body.
func answerWithHead(status int, headers, body string) replicatest.Script {
	return func(connection net.Conn, _ *http.Request) bool {
		_, err := fmt.Fprintf(connection, "HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s", status, headers, len(body), body)
		return err == nil
	}
}

// expectDoneAfter checks that an item is listed with its whole text although its first runs got the answers of spoilt.
func expectDoneAfter(t *testing.T, spoilt replicatest.Script) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		sound := replicatest.Stream("s", true, false, eventOne, eventTwo)
		owner := startOwner(t, singleReplica(timesThen(testAttempts, spoilt, sound)))
		defer owner.stop()
		owner.mustSubmit(t, testSubmission("j", 1))
		result := owner.results(t, "j", 1, 20*time.Second)[0]
		if result.State != batchpb.State_STATE_SUCCEEDED || result.Text != "a\nb" {
			t.Errorf("the item is %s with the text %q", result.State, result.Text)
		}
	})
}

// TestItemIsNotGivenUpForAFailureWithoutEvidence: a 422 or 500 with neither the item's id nor a signature, from a replica that spoils
// its answers, made a sound item a dead letter.
func TestItemIsNotGivenUpForAFailureWithoutEvidence(t *testing.T) {
	for name, headers := range map[string]string{"bare": "", "signed, without an id": replicatest.Signed} {
		for _, status := range []int{422, 500} {
			t.Run(fmt.Sprintf("%d %s", status, name), func(t *testing.T) { expectDoneAfter(t, answerWithHead(status, headers, "")) })
		}
	}
	for _, status := range []int{422, 500} {
		t.Run(fmt.Sprintf("%d unsigned", status), func(t *testing.T) { expectDoneAfter(t, replicatest.Answer(status, "", "")) })
	}
}

// TestProvenVerdictOnAnItemCounts: a 422 with the item's id and the replica's signature says that no replica can do the item.
func TestProvenVerdictOnAnItemCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := startOwner(t, singleReplica(replicatest.Answer(http.StatusUnprocessableEntity, replicatest.Signed, "")))
		defer owner.stop()
		owner.mustSubmit(t, testSubmission("j", 1))
		result := owner.results(t, "j", 1, 5*time.Second)[0]
		if result.State != batchpb.State_STATE_DEAD_LETTER || countPosts(owner) != 1 {
			t.Errorf("the item is %s after %d runs, want a dead letter after one", result.State, countPosts(owner))
		}
	})
}

// TestAnswerWithoutSignatureIsNoResult: a complete 200 without the replica's signature was listed as the result of its item, with an
// empty text.
func TestAnswerWithoutSignatureIsNoResult(t *testing.T) {
	for name, spoilt := range map[string]replicatest.Script{
		"empty":             replicatest.Answer(http.StatusOK, "", ""),
		"with an event":     replicatest.Answer(http.StatusOK, "", eventOne),
		"signed by no one":  replicatest.Answer(http.StatusOK, "X-Signature:\r\n", eventOne),
		"signed without id": answerWithHead(http.StatusOK, replicatest.Signed, ""),
		"with a guarantee":  replicatest.Answer(http.StatusOK, "X-Not-Run: 1\r\n", ""),
	} {
		t.Run(name, func(t *testing.T) { expectDoneAfter(t, spoilt) })
	}
}
