package edge

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sloelift/sloelift/internal/forward"
)

// TestFloodOfConnectionsLeavesRoom checks that many connections which send nothing, or only a part
// of a request header, do not block other callers.
func TestFloodOfConnectionsLeavesRoom(t *testing.T) {
	for name, sent := range map[string]string{"idle": "", "slow": "POST /p/x HTTP/1.1\r\nHost: h.exa"} {
		t.Run(name, func(t *testing.T) {
			const maxConnections = 8
			harness := newEdgeHarness(t, silentScript, func(configured *edgeHarness, _ *forward.Options) {
				configured.fileDescriptors = 2 * maxConnections
			})
			var flood []net.Conn
			for range 5 * maxConnections {
				connection := harness.connect()
				if _, err := io.WriteString(connection, sent); err != nil {
					t.Fatal(err)
				}
				flood = append(flood, connection)
			}
			harness.send("a", 0)
			harness.expectArrival("a")
			for _, connection := range flood[:2*maxConnections] {
				if _, err := io.Copy(io.Discard, connection); err != nil {
					t.Logf("the oldest idle connections end with %s", err)
				}
			}
		})
	}
}

// TestConnectionsInUseStay checks that a new connection is closed if all others are serving
// requests.
func TestConnectionsInUseStay(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _, _ = near.Close(), far.Close() }()
	dropped := 0
	limit := newConnectionLimit(2, func(time.Duration) { dropped++ })
	limit.connectionState(near, http.StateNew)
	limit.setServing(near, true)
	limit.connectionState(far, http.StateNew)
	limit.setServing(far, true)
	if dropped != 1 || limit.open[near] == nil || limit.open[far] != nil {
		t.Errorf("%d dropped, %d left; want the newer one dropped", dropped, len(limit.open))
	}
}

// TestSlowBodyEndsAtTheDeadline checks, for each kind of route, that a caller that does not send its
// body before its deadline gets the answer that its request did not run.
func TestSlowBodyEndsAtTheDeadline(t *testing.T) {
	for _, path := range []string{"/p/x", "/jobs/x"} {
		t.Run(path, func(t *testing.T) {
			submitted := make(chan []byte, 1)
			harness := newEdgeHarness(t, silentScript, func(_ *edgeHarness, options *forward.Options) { options.Batch = recordingSubmitter{submitted} })
			connection := harness.connect()
			if _, err := io.WriteString(connection, "POST "+path+" HTTP/1.1\r\nHost: h.example\r\nX-Id: a\r\nX-Key: key\r\nX-Deadline: 50\r\nContent-Length: 4\r\n\r\nbo"); err != nil {
				t.Fatal(err)
			}
			if err := connection.SetReadDeadline(time.Now().Add(eventTimeout)); err != nil {
				t.Fatal(err)
			}
			response, err := http.ReadResponse(bufio.NewReader(connection), nil)
			if err != nil || response.StatusCode != http.StatusRequestTimeout {
				t.Errorf("answer %v, %v; want 408", response, err)
			}
			harness.expectNoArrival("a")
			if len(submitted) != 0 {
				t.Errorf("a part of a body was submitted: %q", <-submitted)
			}
		})
	}
}
