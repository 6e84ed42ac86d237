package forward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"testing/synctest"

	"github.com/sloelift/sloelift/internal/replica/replicatest"
	"github.com/sloelift/sloelift/internal/route"
)

// writeResponse writes a response with the request's id and the replica's signature in the place of %s.
func writeResponse(format string) replicatest.Script {
	return func(connection net.Conn, request *http.Request) bool {
		proven := "X-Id: " + request.Header.Get("X-Id") + "\r\n" + replicatest.Signed
		_, err := io.WriteString(connection, fmt.Sprintf(format, proven))
		return err == nil && !strings.Contains(format, "Connection: close")
	}
}

// invalidHeads are responses that net/http reads and that are none.
var invalidHeads = map[string]string{
	"status 000":                 "HTTP/1.1 000 \r\n%sContent-Length: 4\r\n\r\nbody",
	"status 000 with empty body": "HTTP/1.1 000 \r\n%sContent-Length: 0\r\n\r\n",
	"status 600":                 "HTTP/1.1 600 X\r\n%sContent-Length: 0\r\n\r\n",
	"blank in a name":            "HTTP/1.1 200 OK\r\n%sX Odd: 1\r\nContent-Length: 0\r\n\r\n",
	"blank behind the framing":   "HTTP/1.1 200 OK\r\n%sConnection: close\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
	"chunks in HTTP/1.0":         "HTTP/1.0 200 OK\r\n%sConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"continued signature":        "HTTP/1.1 200 OK\r\n%s Content-Length: 5\r\nContent-Length: 0\r\n\r\n",
}

// TestResponseWithAnInvalidHeadIsNotPassedOn: callers got such a response as the replica's answer, or waited for another behind it until
// their deadline.
func TestResponseWithAnInvalidHeadIsNotPassedOn(t *testing.T) {
	for name, response := range invalidHeads {
		for kind, want := range map[route.Kind]struct{ status, sent int }{
			route.NotRepeatable: {http.StatusBadGateway, 1}, route.Repeatable: {http.StatusOK, 2}, route.Stream: {http.StatusOK, 2},
		} {
			t.Run(fmt.Sprintf("%s, route kind %d", name, kind), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					sound := replicatest.Answer(http.StatusOK, replicatest.Signed, "ok")
					if kind == route.Stream {
						sound = replicatest.Stream("s", true, false, eventOne)
					}
					edge := newEdgeUnderTest(t, kind, kind == route.Stream, map[string]replicatest.Script{"a": writeResponse(response), "b": sound})
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
