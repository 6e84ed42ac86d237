package forward

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/sloelift/sloelift/internal/replica/replicatest"
	"github.com/sloelift/sloelift/internal/route"
)

// cutAnswers are whole answers to the request "id-1", to be cut at any byte.
var cutAnswers = map[string]string{
	"length":                  "HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Signature: s1\r\nX-More: a\r\nContent-Length: 15\r\n\r\n" + eventOne,
	"length before the proof": "HTTP/1.1 200 OK\r\nContent-Length: 15\r\nX-Id: id-1\r\nX-Signature: s1\r\n\r\n" + eventOne,
	"chunks":                  "HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Signature: s1\r\nTransfer-Encoding: chunked\r\n\r\nf\r\n" + eventOne + "\r\n0\r\n\r\n",
	"trailer":                 "HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Signature: s1\r\nTransfer-Encoding: chunked\r\n\r\nf\r\n" + eventOne + "\r\n0\r\nX-After: 1\r\n\r\n",
	"interim head":            "HTTP/1.1 102 Processing\r\nX-More: a\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Signature: s1\r\nContent-Length: 15\r\n\r\n" + eventOne,
	"empty body":              "HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Signature: s1\r\nContent-Length: 0\r\n\r\n",
}

// TestAnswerCutAnywhereIsNotWhole: a replica that stops at any byte of its answer and closes the connection has not answered, on a new
// connection or one that was used before. It covers heads that stop, which must not become a 200 with an empty or short body.
func TestAnswerCutAnywhereIsNotWhole(t *testing.T) {
	for name, answer := range cutAnswers {
		for _, kind := range []route.Kind{route.NotRepeatable, route.Stream} {
			for _, kept := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, route kind %d, kept connection %t", name, kind, kept), func(t *testing.T) {
					for cut := range len(answer) {
						checkCut(t, kind, kept, answer[:cut])
					}
				})
			}
		}
	}
}

// checkCut checks that the answer reaches the caller as a failure or is broken off.
func checkCut(t *testing.T, kind route.Kind, kept bool, answer string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		script := replicatest.Closing(replicatest.Raw(answer))
		if kept {
			script = replicatest.Then(replicatest.Answer(http.StatusOK, replicatest.Signed, eventOne), script)
		}
		edge := newEdgeUnderTest(t, kind, false, map[string]replicatest.Script{"a": script})
		if kept {
			if recorded, aborted := edge.call(nil); recorded.Code != http.StatusOK || aborted {
				t.Fatalf("the answer before has status %d, aborted %t", recorded.Code, aborted)
			}
		}
		recorded, aborted := edge.call(nil)
		connections := edge.replicas.Connections()
		edge.replicas.CloseAll()
		if recorded.Code != http.StatusBadGateway && !aborted {
			t.Errorf("%q is passed on with status %d and body %q", answer, recorded.Code, recorded.Body)
		}
		if connections != 1 {
			t.Errorf("%d connections, want 1", connections)
		}
	})
}
