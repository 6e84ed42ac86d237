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

// TestFloodOfConnectionsLeavesRoom: callers that connect and send nothing, or a part of a request's head, do not keep others away.
func TestFloodOfConnectionsLeavesRoom(t *testing.T) {
	for name, sent := range map[string]string{"idle": "", "slow": "POST /p/x HTTP/1.1\r\nHost: h.exa"} {
		t.Run(name, func(t *testing.T) {
			const most = 8
			flooded := newGoneTest(t, silentScript, func(made *goneTest, _ *forward.Options) { made.fileDescriptors = 2 * most })
			var flood []net.Conn
			for range 5 * most {
				connection := flooded.connect()
				if _, err := io.WriteString(connection, sent); err != nil {
					t.Fatal(err)
				}
				flood = append(flood, connection)
			}
			flooded.send("a", 0)
			flooded.expectArrival("a")
			for _, connection := range flood[:2*most] {
				if _, err := io.Copy(io.Discard, connection); err != nil {
					t.Logf("a connection that waited long ends with %s", err)
				}
			}
		})
	}
}

// TestConnectionsInUseStay: where each connection serves a request, a new one goes, not one of those.
func TestConnectionsInUseStay(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _, _ = near.Close(), far.Close() }()
	dropped := 0
	limit := newConnectionLimit(2, func(time.Duration) { dropped++ })
	limit.change(near, http.StateNew)
	limit.set(near, true)
	limit.change(far, http.StateNew)
	limit.set(far, true)
	if dropped != 1 || limit.open[near] == nil || limit.open[far] != nil {
		t.Errorf("%d dropped, %d left; want the newer one dropped", dropped, len(limit.open))
	}
}

// TestSlowBodyEndsAtTheDeadline: a caller that does not send its body in the time that it allows is answered that its request did not run, on
// each kind of route.
func TestSlowBodyEndsAtTheDeadline(t *testing.T) {
	for _, path := range []string{"/p/x", "/jobs/x"} {
		t.Run(path, func(t *testing.T) {
			submitted := make(chan []byte, 1)
			slow := newGoneTest(t, silentScript, func(_ *goneTest, options *forward.Options) { options.Batch = recordingSubmitter{submitted} })
			connection := slow.connect()
			if _, err := io.WriteString(connection, "POST "+path+" HTTP/1.1\r\nHost: h.example\r\nX-Id: a\r\nX-Key: key\r\nX-Deadline: 50\r\nContent-Length: 4\r\n\r\nbo"); err != nil {
				t.Fatal(err)
			}
			if err := connection.SetReadDeadline(time.Now().Add(patience)); err != nil {
				t.Fatal(err)
			}
			response, err := http.ReadResponse(bufio.NewReader(connection), nil)
			if err != nil || response.StatusCode != http.StatusRequestTimeout {
				t.Errorf("answer %v, %v; want 408", response, err)
			}
			slow.expectNoArrival("a")
			if len(submitted) != 0 {
				t.Errorf("a part of a body was submitted: %q", <-submitted)
			}
		})
	}
}
