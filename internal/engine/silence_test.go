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

// TestSilentConnectionOfARunIsGivenUp: the connection of a run goes silent without a reset, before its head or within its stream, while the
// engine answers others. Its state tells that from a run that waits its turn.
func TestSilentConnectionOfARunIsGivenUp(t *testing.T) {
	for _, test := range []struct {
		name string
		// state is what the engine says of the run; empty is that it knows none.
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
			release, asked, silenced := make(chan struct{}), make(chan struct{}, 1000), make(chan struct{})
			if !test.afterHead {
				close(silenced)
			}
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
				if request.Method == http.MethodGet {
					select {
					case <-silenced:
					default:
						// What was sent may not have been read yet, which would make the run look ahead of it.
						_, _ = fmt.Fprint(writer, `{"state":"queued","offset":0}`)
						return
					}
					asked <- struct{}{}
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
			client.quietLimit = 20 * time.Millisecond
			to := Endpoint{Replica: "r1", Address: netip.MustParseAddrPort(server.Listener.Addr().String())}
			ended := make(chan error, 1)
			go func() { ended <- readRun(t, client, to, silencer, test.afterHead, silenced) }()
			if !test.lost {
				for range 5 {
					select {
					case <-asked:
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

// readRun reads one chunk, where there is one, silences the connection, says so, and reads on to the end.
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
