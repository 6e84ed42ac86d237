package engine

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	"github.com/sloelift/sloelift/internal/network"
	"github.com/sloelift/sloelift/internal/network/networktest"
)

// TestSilentConnectionOfARunIsGivenUp has the connection of a run go silent without a reset, before
// the response header or within the stream, while the engine answers on other connections. The state
// of the run distinguishes this from a run that is queued.
func TestSilentConnectionOfARunIsGivenUp(t *testing.T) {
	for _, test := range []struct {
		name string
		// state is the engine's answer about the run; empty means that it has no such run.
		state     string
		afterHead bool
		lost      bool
	}{
		{"ahead of what came", `{"state":"running","offset":9}`, true, true},
		{"ended", `{"state":"finished","offset":1}`, true, true},
		{"never arrived", "", false, true},
		{"waits its turn", `{"state":"queued","offset":0}`, false, false},
		{"makes its next token", `{"state":"running","offset":1}`, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			release, stateRequests, silenced := make(chan struct{}), make(chan struct{}, 1000), make(chan struct{})
			if !test.afterHead {
				close(silenced)
			}
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
				if request.Method == http.MethodGet {
					select {
					case <-silenced:
					default:
						// The client may not have read the sent chunk yet; with test.state the run would
						// then seem to be ahead of the connection.
						_, _ = fmt.Fprint(writer, `{"state":"queued","offset":0}`)
						return
					}
					stateRequests <- struct{}{}
					if test.state == "" {
						http.NotFound(writer, request)
						return
					}
					_, _ = fmt.Fprint(writer, test.state)
					return
				}
				if test.afterHead {
					_, _ = fmt.Fprint(writer, "id: 1\ndata: {\"id\":\"q1\",\"choices\":[{\"text\":\"a\"}]}\n\n")
					writer.(http.Flusher).Flush()
				}
				<-release
			}))
			defer server.Close()
			defer close(release)
			silencer := networktest.NewSilencer(network.System{})
			client := NewHTTPClientOver(silencer)
			defer client.Close()
			client.silenceTimeout = 20 * time.Millisecond
			to := Endpoint{Replica: "r1", Address: netip.MustParseAddrPort(server.Listener.Addr().String())}
			ended := make(chan error, 1)
			go func() { ended <- readRun(t, client, to, silencer, test.afterHead, silenced) }()
			if !test.lost {
				for range 5 {
					select {
					case <-stateRequests:
					case err := <-ended:
						t.Fatalf("the run was given up: %v", err)
					}
				}
				select {
				case err := <-ended:
					t.Fatalf("the run was given up: %v", err)
				default:
				}
				return
			}
			if err := <-ended; !errorx.IsOfType(err, KindLost) {
				t.Fatalf("got %v, want a lost run", err)
			}
		})
	}
}

// readRun reads one chunk if afterHead is set, silences the connection, closes silenced, and reads
// until the stream fails.
func readRun(t *testing.T, client *HTTPClient, to Endpoint, silencer *networktest.Silencer, afterHead bool, silenced chan<- struct{}) error {
	stream, err := client.Generate(t.Context(), to, Request{ID: "q1", Operation: OperationChat, Body: []byte(`{}`)})
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	if afterHead {
		if _, err := stream.Next(); err != nil {
			return err
		}
	}
	silencer.Silence()
	if afterHead {
		close(silenced)
	}
	_, err = stream.Next()
	return err
}
