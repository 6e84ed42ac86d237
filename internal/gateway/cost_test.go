package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/sloelift/sloelift/internal/engine"
	"github.com/sloelift/sloelift/internal/session"
)

// stepTime is the duration of one engine step.
const stepTime = 3400 * time.Microsecond

// answerTokens is the length of the answers in the benchmarks.
const answerTokens = 64

// trivialEngine answers within the process, with one chunk for each token.
type trivialEngine struct{ engine.Client }

func (trivialEngine) Generate(context.Context, engine.Endpoint, engine.Request) (engine.Stream, error) {
	return &trivialStream{}, nil
}

type trivialStream struct{ sent int }

func (s *trivialStream) Next() (engine.Chunk, error) {
	if s.sent == answerTokens {
		return engine.Chunk{}, io.EOF
	}
	chunk := engine.Chunk{Offset: s.sent, Tokens: 1, Text: " token"}
	s.sent++
	if s.sent == answerTokens {
		chunk.FinishReason, chunk.Usage = "stop", &engine.Usage{CompletionTokens: answerTokens}
	}
	return chunk, nil
}

func (s *trivialStream) Close() error { return nil }

func newBenchmarkServer(client engine.Client, endpoints ...engine.Endpoint) *Server {
	cluster := newTestCluster()
	cluster.fleet.endpoints = append([]engine.Endpoint{}, endpoints...)
	runner := session.NewEngineRunner(session.Dependencies{
		Limiter: cluster.fleet, Router: cluster.fleet, Client: client, Fleet: cluster.fleet, Reporter: cluster.fleet,
		Claimer: cluster.claimer, Registerer: prometheus.NewRegistry(), Logger: zerolog.Nop(),
	})
	return NewServer(Dependencies{
		Address: netip.MustParseAddrPort("127.0.0.1:0"), Limits: cluster.limits, Configuration: fixedConfiguration{testSnapshot()},
		Runner: runner, Jobs: cluster.jobs, Files: cluster.files, Registerer: prometheus.NewRegistry(), Logger: zerolog.Nop(),
	})
}

// chatBody returns a chat request with a prompt of 2 kB.
func chatBody(stream bool) string {
	return fmt.Sprintf(`{"model":"clerk","max_tokens":64,"stream":%t,"messages":[{"role":"system","content":"%s"},{"role":"user","content":"Is it spelled so?"}]}`,
		stream, strings.Repeat("Confirm the spelling of names. ", 64))
}

// discardResponse is a ResponseWriter without a connection.
type discardResponse struct {
	header http.Header
	status int
}

func (d *discardResponse) Header() http.Header             { return d.header }
func (d *discardResponse) WriteHeader(status int)          { d.status = status }
func (d *discardResponse) Write(body []byte) (int, error)  { return len(body), nil }
func (d *discardResponse) Flush()                          {}
func (d *discardResponse) SetReadDeadline(time.Time) error { return nil }

func (d *discardResponse) SetWriteDeadline(time.Time) error { return nil }

func newChatRequest(ctx context.Context, url, body string) *http.Request {
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+registryKey)
	return request
}

// BenchmarkHandler measures the CPU time of gateway and session alone, without sockets and with an
// engine in the process. One operation is one request with an answer of 64 tokens.
func BenchmarkHandler(b *testing.B) {
	for _, stream := range []bool{false, true} {
		b.Run(fmt.Sprintf("stream=%t", stream), func(b *testing.B) {
			server := newBenchmarkServer(trivialEngine{}, engine.Endpoint{Replica: "r1"})
			body := chatBody(stream)
			b.ReportAllocs()
			for b.Loop() {
				response := &discardResponse{header: http.Header{}, status: http.StatusOK}
				server.server.Handler.ServeHTTP(response, newChatRequest(b.Context(), "", body))
				if response.status != http.StatusOK {
					b.Fatal(response.status)
				}
			}
		})
	}
}

// BenchmarkLoopback measures the latency of concurrent streamed requests, directly to an engine and
// through the gateway. Callers, gateway and engine share the process.
func BenchmarkLoopback(b *testing.B) {
	fake := newFakeEngine(b, answerTokens)
	client := engine.NewHTTPClient()
	defer client.Close()
	server := newBenchmarkServer(client, fake.endpoint("r1"))
	if err := server.Start(); err != nil {
		b.Fatal(err)
	}
	for _, c := range []struct {
		pace    time.Duration
		callers int
	}{{0, 1}, {stepTime, 1}, {stepTime, 100}} {
		fake.pace = c.pace
		name := fmt.Sprintf("pace=%s/callers=%d/", c.pace, c.callers)
		b.Run(name+"engine", func(b *testing.B) { loopback(b, fake.server.URL, c.callers) })
		b.Run(name+"gateway", func(b *testing.B) { loopback(b, "http://"+server.Address().String(), c.callers) })
	}
	if err := server.Stop(context.Background()); err != nil {
		b.Fatal(err)
	}
}

// processorTime returns the CPU time used by the process so far; unlike elapsed time, it hardly
// depends on the load of the machine.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// loopback sends b.N requests, distributed over the callers.
func loopback(b *testing.B, url string, callers int) {
	transport := &http.Transport{MaxIdleConnsPerHost: callers}
	defer transport.CloseIdleConnections()
	first, total := hdrhistogram.New(1, 10_000_000, 3), hdrhistogram.New(1, 10_000_000, 3)
	var mutex sync.Mutex
	var group errgroup.Group
	var next atomic.Int64
	cpuBefore := processorTime()
	for range callers {
		group.Go(func() error {
			for number := next.Add(1); number <= int64(b.N); number = next.Add(1) {
				started := time.Now()
				timeToFirst, err := streamOnce(b.Context(), transport, url, fmt.Sprint("q", number))
				if err != nil {
					return err
				}
				mutex.Lock()
				_ = first.RecordValue(timeToFirst.Microseconds())
				_ = total.RecordValue(time.Since(started).Microseconds())
				mutex.Unlock()
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64((processorTime()-cpuBefore).Microseconds())/float64(b.N), "cpu-µs/op")
	b.ReportMetric(float64(first.ValueAtQuantile(50)), "first-p50-µs")
	b.ReportMetric(float64(first.ValueAtQuantile(99)), "first-p99-µs")
	b.ReportMetric(float64(total.ValueAtQuantile(50)), "total-p50-µs")
	b.ReportMetric(float64(total.ValueAtQuantile(99)), "total-p99-µs")
}

// streamOnce reads one streamed answer and returns the time to its first event.
func streamOnce(ctx context.Context, transport *http.Transport, url, id string) (time.Duration, error) {
	started := time.Now()
	request := newChatRequest(ctx, url, chatBody(true))
	request.Header.Set(engine.HeaderRequestID, id)
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	reader := bufio.NewReader(response.Body)
	if _, err := reader.ReadString('\n'); err != nil || response.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("%s: %w", response.Status, err)
	}
	timeToFirst := time.Since(started)
	_, err = io.Copy(io.Discard, reader)
	return timeToFirst, err
}
