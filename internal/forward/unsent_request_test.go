package forward

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/sloelift/sloelift/internal/replica/replicatest"
	"github.com/sloelift/sloelift/internal/route"
)

// TestAnswerThatEndsBeforeItsRequestIsNotPassedOnAsWhole: a replica answered a long request at once, with neither a length nor chunks, and
// closed the connection while the request was being sent. The caller got the part that had arrived as a complete answer.
func TestAnswerThatEndsBeforeItsRequestIsNotPassedOnAsWhole(t *testing.T) {
	sound := replicatest.Answer(http.StatusOK, replicatest.Signed, "whole")
	long := strings.Repeat("l", maxBufferedAnswerBytes+1)
	for name, test := range map[string]struct {
		kind        route.Kind
		first, next replicatest.Script
		status      int
		body        string
		aborted     bool
		sent        int
	}{
		"may run once only":  {route.NotRepeatable, replicatest.CloseDelimited(200, "part"), sound, http.StatusBadGateway, "given_up\n", false, 1},
		"may be repeated":    {route.Repeatable, replicatest.CloseDelimited(200, "part"), sound, http.StatusOK, "whole", false, 2},
		"failure":            {route.NotRepeatable, replicatest.CloseDelimited(413, "part"), sound, http.StatusBadGateway, "given_up\n", false, 1},
		"begun to be passed": {route.Repeatable, replicatest.CloseDelimited(200, long), sound, http.StatusOK, long, true, 1},
		"resumable stream": {
			route.Stream, replicatest.CloseDelimited(200, eventOne), replicatest.Stream("s", true, false, eventTwo), http.StatusOK, eventOne + eventTwo, false, 2,
		},
		"stream that may not be resumed": {route.Stream, replicatest.CloseDelimited(200, eventOne), sound, http.StatusOK, eventOne, true, 1},
		"long, after the request": {
			route.NotRepeatable, replicatest.AfterBody(replicatest.CloseDelimited(200, long)), sound, http.StatusOK, long, false, 1,
		},
		"refusal": {
			route.NotRepeatable, replicatest.Closing(replicatest.Raw("HTTP/1.1 503 X\r\nX-Not-Run: 1\r\n\r\nfull")), sound, http.StatusOK, "whole", false, 2,
		},
		"refusal of another instance": {
			route.NotRepeatable, replicatest.Closing(replicatest.Raw("HTTP/1.1 421 X\r\n" + anotherInstance + "\r\n")), sound, http.StatusOK, "whole", false, 2,
		},
		"length declared": {
			route.NotRepeatable, replicatest.Answer(413, replicatest.Signed, "too large"), sound, http.StatusRequestEntityTooLarge, "too large", false, 1,
		},
		"after the request": {
			route.NotRepeatable, replicatest.AfterBody(replicatest.CloseDelimited(200, "whole")), sound, http.StatusOK, "whole", false, 1,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				edge := newEdgeUnderTest(t, test.kind, name == "resumable stream", map[string]replicatest.Script{
					"a": test.first, "b": replicatest.AfterBody(test.next),
				})
				edge.replicas.AnswersEarly = true
				edge.routes.Offer(route.NewTable(2, edge.routes.Table().Routes, nil, route.Limits{MaxBodyBytes: 1 << 20}))
				recorded, aborted := edge.call(func(request *http.Request) {
					const length = 256 << 10
					request.Body, request.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("u", length))), length
				})
				edge.replicas.CloseAll()
				if recorded.Code != test.status || aborted != test.aborted {
					t.Errorf("status %d, aborted %t; want %d, %t", recorded.Code, aborted, test.status, test.aborted)
				}
				if got := recorded.Body.String(); got != test.body {
					t.Errorf("body %.40q of %d bytes, want %.40q of %d", got, len(got), test.body, len(test.body))
				}
				if got := len(edge.replicas.Requests()); got != test.sent {
					t.Errorf("%d requests reached replicas, want %d", got, test.sent)
				}
			})
		})
	}
}
