package forward

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sloelift/sloelift/internal/replica/replicatest"
	"github.com/sloelift/sloelift/internal/route"
)

// proven are the fields by which a response is the replica's answer.
const proven = "X-Id: {id}\r\n" + replicatest.Signed

// invalidHeads are responses that net/http reads and that are none.
var invalidHeads = map[string]replicatest.Script{
	"status 000":                 replicatest.Raw("HTTP/1.1 000 \r\n" + proven + "Content-Length: 4\r\n\r\nbody"),
	"status 000 with empty body": replicatest.Raw("HTTP/1.1 000 \r\n" + proven + "Content-Length: 0\r\n\r\n"),
	"status 600":                 replicatest.Raw("HTTP/1.1 600 X\r\n" + proven + "Content-Length: 0\r\n\r\n"),
	"blank in a name":            replicatest.Raw("HTTP/1.1 200 OK\r\n" + proven + "X Odd: 1\r\nContent-Length: 0\r\n\r\n"),
	"blank behind the framing":   replicatest.Closing(replicatest.Raw("HTTP/1.1 200 OK\r\n" + proven + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n")),
	"chunks in HTTP/1.0":         replicatest.Closing(replicatest.Raw("HTTP/1.0 200 OK\r\n" + proven + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n")),
	"continued signature":        replicatest.Raw("HTTP/1.1 200 OK\r\n" + proven + " Content-Length: 5\r\nContent-Length: 0\r\n\r\n"),
}

// TestResponseWithAnInvalidHeadIsNotPassedOn: callers got such a response as the replica's answer, or waited for another behind it until
// their deadline.
func TestResponseWithAnInvalidHeadIsNotPassedOn(t *testing.T) {
	for name, script := range invalidHeads {
		for kind, want := range map[route.Kind]struct{ status, sent int }{
			route.NotRepeatable: {http.StatusBadGateway, 1}, route.Repeatable: {http.StatusOK, 2}, route.Stream: {http.StatusOK, 2},
		} {
			t.Run(fmt.Sprintf("%s, route kind %d", name, kind), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					sound := replicatest.Answer(http.StatusOK, replicatest.Signed, "ok")
					if kind == route.Stream {
						sound = replicatest.Stream("s", true, false, eventOne)
					}
					edge := newEdgeUnderTest(t, kind, kind == route.Stream, map[string]replicatest.Script{"a": script, "b": sound})
					began := time.Now()
					recorded, aborted := edge.call(nil)
					if took := time.Since(began); took > time.Second {
						t.Errorf("the caller waited for %s", took)
					}
					edge.replicas.CloseAll()
					if got := len(edge.replicas.Requests()); recorded.Code != want.status || aborted || got != want.sent {
						t.Errorf("status %d, aborted %t, after %d requests to replicas; want %d after %d", recorded.Code, aborted, got, want.status, want.sent)
					}
				})
			})
		}
	}
}
