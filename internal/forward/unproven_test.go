package forward

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/sloelift/sloelift/internal/replica/replicatest"
	"github.com/sloelift/sloelift/internal/route"
)

// anotherInstance is the header line in which another instance than the expected one names itself.
const anotherInstance = "X-Responder: another\r\n"

// answerWithoutID writes a complete response without the request's id; headers are extra header lines, each ending in CRLF.
func answerWithoutID(status int, headers string) replicatest.Script {
	return func(connection net.Conn, _ *http.Request) bool {
		_, err := fmt.Fprintf(connection, "HTTP/1.1 %d X\r\n%sContent-Length: 0\r\n\r\n", status, headers)
		return err == nil
	}
}

// TestFailureWithoutEvidenceIsNotPassedOn guards the promise of a 503, 429, 408 and 421 that the request has not run: a response without
// the request's id and without the replica's signature, sent after a run, reached the caller as this promise, and a caller that
// trusted it made the request run twice.
func TestFailureWithoutEvidenceIsNotPassedOn(t *testing.T) {
	scripts := map[string]func(status int) replicatest.Script{
		"bare":            func(status int) replicatest.Script { return answerWithoutID(status, "") },
		"with an id only": func(status int) replicatest.Script { return replicatest.Answer(status, "", "") },
		"signed, without an id": func(status int) replicatest.Script {
			return answerWithoutID(status, replicatest.Signed)
		},
		"of the expected instance": func(status int) replicatest.Script { return answerWithoutID(status, "X-Responder: a\r\n") },
	}
	for name, script := range scripts {
		for _, status := range []int{408, 421, 429, 503, 400, 404, 500, 504, 301} {
			t.Run(fmt.Sprintf("%d %s", status, name), func(t *testing.T) {
				expectAnswer(t, route.NotRepeatable, script(status), http.StatusBadGateway, 1)
				expectAnswer(t, route.Repeatable, script(status), http.StatusOK, 2)
			})
		}
	}
}

// TestSignedFailureIsNoPromise: only the guarantee of a replica makes these statuses a promise, and its signature alone is none.
func TestSignedFailureIsNoPromise(t *testing.T) {
	for _, status := range []int{408, 429, 503} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			expectAnswer(t, route.NotRepeatable, replicatest.Answer(status, replicatest.Signed, ""), http.StatusBadGateway, 1)
		})
	}
}

// TestRefusalWithEvidenceIsRunElsewhere covers the refusals of sound replicas, which need neither an id nor a signature.
func TestRefusalWithEvidenceIsRunElsewhere(t *testing.T) {
	for name, script := range map[string]replicatest.Script{
		"503 without an id":          answerWithoutID(503, "X-Not-Run: 1\r\n"),
		"503 with an id":             replicatest.Answer(503, "X-Not-Run: 1\r\n", ""),
		"429 without an id":          answerWithoutID(429, "X-Not-Run: 1\r\n"),
		"421 of another instance":    answerWithoutID(421, anotherInstance),
		"421 with the guarantee":     answerWithoutID(421, "X-Not-Run: 1\r\n"),
		"421 of the replica, signed": replicatest.Answer(421, replicatest.Signed, ""),
	} {
		t.Run(name, func(t *testing.T) { expectAnswer(t, route.NotRepeatable, script, http.StatusOK, 2) })
	}
}

// TestProvenFailureIsPassedOn: a failure with the request's id and the replica's signature is the replica's answer.
func TestProvenFailureIsPassedOn(t *testing.T) {
	for _, status := range []int{301, 400, 404, 413, 422, 500, 504} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			expectAnswer(t, route.NotRepeatable, replicatest.Answer(status, replicatest.Signed, ""), status, 1)
		})
	}
}

// TestMalformedRequestIsNotRunElsewhere: every replica would refuse it.
func TestMalformedRequestIsNotRunElsewhere(t *testing.T) {
	expectAnswer(t, route.NotRepeatable, answerWithoutID(400, "X-Not-Run: 1\r\n"), http.StatusBadRequest, 1)
}

// expectAnswer checks the status that a caller gets if its first replica answers by script and its second one soundly, and how many
// replicas got the request.
func expectAnswer(t *testing.T, kind route.Kind, script replicatest.Script, status, sent int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		edge := newEdgeUnderTest(t, kind, false, map[string]replicatest.Script{
			"a": script, "b": replicatest.Answer(http.StatusOK, replicatest.Signed, "ok"),
		})
		recorded, _ := edge.call(nil)
		edge.replicas.CloseAll()
		if got := len(edge.replicas.Requests()); recorded.Code != status || got != sent {
			t.Errorf("status %d after %d requests to replicas, want %d after %d", recorded.Code, got, status, sent)
		}
	})
}
