package engine

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	"go.uber.org/goleak"

	"github.com/sloelift/sloelift/internal/network"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func serveEngine(t *testing.T, handler http.HandlerFunc) (*HTTPClient, Endpoint) {
	server := httptest.NewServer(handler)
	client := NewHTTPClient()
	t.Cleanup(func() {
		client.Close()
		server.Close()
	})
	return client, Endpoint{Replica: "r1", Address: netip.MustParseAddrPort(server.Listener.Addr().String())}
}

// closedPort returns an address that refuses connections.
func closedPort(t *testing.T) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return netip.MustParseAddrPort(listener.Addr().String())
}

func TestGenerateSendsHeadersAndReadsTheAnswer(t *testing.T) {
	client, endpoint := serveEngine(t, func(w http.ResponseWriter, r *http.Request) {
		got := fmt.Sprint(r.URL.Path, " ", r.Header.Get(HeaderRequestID), " ", r.Header.Get(HeaderPriority),
			" ", r.Header.Get(HeaderResumeOffset), " ", r.Header.Get(HeaderAttachOnly))
		fmt.Fprintf(w, "id: 5\ndata: {\"id\":\"cmpl-q1\",\"choices\":[{\"text\":%q,\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n", got)
	})
	stream, err := client.Generate(t.Context(), endpoint, Request{
		ID: "q1", Operation: OperationChat, Priority: 7, Offset: 4, AttachOnly: true, Body: []byte(`{}`),
	})
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	chunk, err := stream.Next()
	if err != nil || chunk.Text != "/v1/chat/completions q1 7 4 true" || chunk.Offset != 4 {
		t.Fatalf("%+v, %v", chunk, err)
	}
	if _, err := stream.Next(); !errors.Is(err, io.EOF) {
		t.Fatal(err)
	}
}

// TestGenerateKinds checks the error kind of each status, which determines whether the request may
// have run.
func TestGenerateKinds(t *testing.T) {
	cases := []struct {
		name       string
		status     int
		header     string
		attachOnly bool
		kind       *errorx.Type
	}{
		{"overloaded", 429, HeaderNotRun, false, KindRefused},
		{"overloaded without the word", 429, "", false, KindLost},
		{"stopping", 503, HeaderNotRun, false, KindRefused},
		{"proxy error", 502, "", false, KindLost},
		{"failed", 500, "", false, KindLost},
		{"invalid", 422, "", false, KindInvalid},
		{"too large", 413, "", false, KindInvalid},
		{"model absent", 404, HeaderNotRun, false, KindRefused},
		{"other path", 404, "", false, KindLost},
		{"no run", 404, HeaderNotRun, true, KindNoSuchRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			client, endpoint := serveEngine(t, func(w http.ResponseWriter, _ *http.Request) {
				if c.header != "" {
					w.Header().Set(c.header, "true")
				}
				http.Error(w, "no", c.status)
			})
			_, err := client.Generate(t.Context(), endpoint, Request{Operation: OperationChat, AttachOnly: c.attachOnly})
			if !errorx.IsOfType(err, c.kind) {
				t.Fatalf("got %v, want kind %v", err, c.kind)
			}
		})
	}
}

func TestGenerateEndsWithTheNodesNetwork(t *testing.T) {
	severable := network.NewSeverable(network.System{})
	_, endpoint := serveEngine(t, func(w http.ResponseWriter, r *http.Request) {
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	})
	client := NewHTTPClientOver(severable)
	defer client.Close()
	stream, err := client.Generate(t.Context(), endpoint, Request{Operation: OperationChat})
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	severable.Sever()
	if _, err := stream.Next(); !errorx.IsOfType(err, KindLost) {
		t.Fatalf("stream of a severed node: %v", err)
	}
	if _, err := client.Generate(t.Context(), endpoint, Request{Operation: OperationChat}); !errorx.IsOfType(err, KindNotSent) {
		t.Fatalf("request of a severed node: %v", err)
	}
}

func TestGenerateTellsNotSentFromLost(t *testing.T) {
	client := NewHTTPClient()
	defer client.Close()
	_, err := client.Generate(t.Context(), Endpoint{Address: closedPort(t)}, Request{Operation: OperationChat})
	if !errorx.IsOfType(err, KindNotSent) {
		t.Fatalf("refused connection: %v", err)
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err = client.Generate(ended, Endpoint{Address: closedPort(t)}, Request{Operation: OperationChat}); !errorx.IsOfType(err, KindNotSent) {
		t.Fatalf("ended context: %v", err)
	}
	dropping, endpoint := serveEngine(t, func(w http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) })
	if _, err = dropping.Generate(t.Context(), endpoint, Request{Operation: OperationChat}); !errorx.IsOfType(err, KindLost) {
		t.Fatalf("dropped connection: %v", err)
	}
	crossed, endpoint := serveEngine(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(HeaderRequestID, "another")
	})
	if _, err = crossed.Generate(t.Context(), endpoint, Request{ID: "q1", Operation: OperationChat}); !errorx.IsOfType(err, KindLost) {
		t.Fatalf("crossed answer: %v", err)
	}
}

// TestGenerateWaitingIsLost checks that a request is not reported as not run if the caller
// disconnects while the engine has it.
func TestGenerateWaitingIsLost(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	client, endpoint := serveEngine(t, func(_ http.ResponseWriter, r *http.Request) {
		// The server detects that the caller disconnected only after it has read the body.
		_, _ = io.Copy(io.Discard, r.Body)
		cancel()
		<-r.Context().Done()
	})
	_, err := client.Generate(ctx, endpoint, Request{Operation: OperationChat})
	if !errorx.IsOfType(err, KindLost) {
		t.Fatal(err)
	}
}

func TestControlCalls(t *testing.T) {
	client, endpoint := serveEngine(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.Method + " " + r.URL.String() {
		case "DELETE /v1/requests/q1":
			fmt.Fprint(w, `{"id":"q1","state":"finished","offset":6}`)
		case "GET /load":
			fmt.Fprint(w, `{"sequence":3,"running":2}`)
		case "GET /cache/events?from=9":
			fmt.Fprint(w, `{"events":[{"sequence":9,"kind":"stored","blocks":[1]}],"next":10}`)
		case "GET /kv/q1", "POST /kv":
			fmt.Fprint(w, "cache")
		case "POST /orders":
			w.WriteHeader(http.StatusConflict)
		default:
			w.WriteHeader(http.StatusNotFound)
		}
	})
	ctx := t.Context()
	if result, err := client.Cancel(ctx, endpoint, "q1"); err != nil || result != (CancelResult{Found: true, Finished: true, Offset: 6}) {
		t.Fatal(result, err)
	}
	if result, err := client.Cancel(ctx, endpoint, "q2"); err != nil || result.Found {
		t.Fatal(result, err)
	}
	if report, err := client.Load(ctx, endpoint); err != nil || report.Running != 2 {
		t.Fatal(report, err)
	}
	if events, err := client.CacheEvents(ctx, endpoint, 9); err != nil || events.Next != 10 || len(events.Events) != 1 {
		t.Fatal(events, err)
	}
	if cache, err := client.ExportCache(ctx, endpoint, "q1"); err != nil || string(cache) != "cache" {
		t.Fatal(cache, err)
	}
	if err := client.ImportCache(ctx, endpoint, []byte("cache")); err != nil {
		t.Fatal(err)
	}
	if err := client.Order(ctx, endpoint, Order{Fence: 1, Kind: OrderSetRole}); !errorx.IsOfType(err, KindFenced) {
		t.Fatal(err)
	}
}

// BenchmarkStream measures the time to decode one chunk.
func BenchmarkStream(b *testing.B) {
	var events strings.Builder
	const chunks = 1000
	for token := range chunks {
		fmt.Fprintf(&events, "id: %d\ndata: {\"id\":\"q1\",\"object\":\"chat.completion.chunk\",\"created\":1700000000,\"model\":\"clerk\","+
			"\"choices\":[{\"index\":0,\"delta\":{\"content\":\" token\"},\"finish_reason\":null}]}\n\n", token+1)
	}
	b.ReportAllocs()
	for done := 0; b.Loop(); done++ {
		stream := newEventStream(io.NopCloser(strings.NewReader(events.String())), func() {}, func(int) {}, "q1", 0)
		for range chunks {
			if _, err := stream.Next(); err != nil {
				b.Fatal(err)
			}
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/chunks, "ns/chunk")
}
