package batch

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	batchpb "github.com/sloelift/sloelift/api/proto/batch"
	"github.com/sloelift/sloelift/internal/replica/replicatest"
)

// TestItemOutlivesAnAnswerCutAnywhere: a replica that stops at any byte of its answer to an item and closes the connection has not done it:
// neither an empty nor a short text is listed.
func TestItemOutlivesAnAnswerCutAnywhere(t *testing.T) {
	const proven = "X-Id: j-0\r\n" + replicatest.Signed
	for name, answer := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\n" + proven + "Content-Length: 30\r\n\r\n" + eventOne + eventTwo,
		"trailer": "HTTP/1.1 200 OK\r\n" + proven + "Transfer-Encoding: chunked\r\n\r\n" +
			"f\r\n" + eventOne + "\r\nf\r\n" + eventTwo + "\r\n0\r\nX-After: 1\r\n\r\n",
		"interim head": "HTTP/1.1 102 Processing\r\nX-More: a\r\n\r\nHTTP/1.1 200 OK\r\n" + proven + "Content-Length: 30\r\n\r\n" + eventOne + eventTwo,
	} {
		t.Run(name, func(t *testing.T) {
			for cut := range len(answer) {
				checkItemAfterCut(t, answer[:cut])
			}
		})
	}
}

// checkItemAfterCut checks the result of an item whose first run gets the given answer.
func checkItemAfterCut(t *testing.T, answer string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		resumed := func(connection net.Conn, request *http.Request) bool {
			events := map[string]string{"": eventOne + eventTwo, "1": eventTwo, "2": ""}[request.Header.Get("Last-Event-Id")]
			return replicatest.Stream("s", true, false, events)(connection, request)
		}
		owner := startOwner(t, singleReplica(timesThen(1, replicatest.Closing(replicatest.Raw(answer)), resumed)))
		defer owner.stop()
		owner.mustSubmit(t, testSubmission("j", 1))
		result := owner.results(t, "j", 1, 10*time.Second)[0]
		if result.State != batchpb.State_STATE_SUCCEEDED || result.Text != "a\nb" {
			t.Errorf("after %q the item is %s with the text %q", answer, result.State, result.Text)
		}
	})
}
