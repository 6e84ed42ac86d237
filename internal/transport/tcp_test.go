package transport

import (
	"context"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"github.com/sloelift/sloelift/internal/outcome"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// logBuffer passes each log line to the test.
type logBuffer struct {
	lines chan string
}

func (l *logBuffer) Write(line []byte) (int, error) {
	l.lines <- string(line)
	return len(line), nil
}

func newNode(t *testing.T, address netip.AddrPort, prepare func(*TCP)) (*TCP, *logBuffer) {
	t.Helper()
	log := &logBuffer{lines: make(chan string, 100)}
	tcp, err := NewTCP("n", address, prometheus.NewRegistry(), zerolog.New(log))
	if err != nil {
		t.Fatal(err)
	}
	if prepare != nil {
		prepare(tcp)
	}
	if err := tcp.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(tcp.Stop)
	return tcp, log
}

func newText() *wrapperspb.StringValue { return &wrapperspb.StringValue{} }

func handleEcho(tcp *TCP) {
	Handle(tcp, "test.echo", newText, func(_ context.Context, from netip.AddrPort, request *wrapperspb.StringValue) (*wrapperspb.StringValue, error) {
		return wrapperspb.String(request.GetValue() + " from " + from.String()), nil
	})
	Handle(tcp, "test.refuse", newText, func(context.Context, netip.AddrPort, *wrapperspb.StringValue) (*wrapperspb.StringValue, error) {
		return nil, outcome.New(outcome.NotRun, outcome.ReasonNotOwner, "elsewhere").After(1500 * time.Millisecond)
	})
}

func TestCallCarriesAnswerAndListenAddress(t *testing.T) {
	server, _ := newNode(t, loopback, handleEcho)
	client, _ := newNode(t, loopback, nil)
	answer := newText()
	if err := client.Call(t.Context(), server.Address(), "test.echo", wrapperspb.String("hello"), answer); err != nil {
		t.Fatal(err)
	}
	if want := "hello from " + client.Address().String(); answer.GetValue() != want {
		t.Fatalf("answer %q, want %q", answer.GetValue(), want)
	}
	sent := testutil.ToFloat64(client.counters.bytes.WithLabelValues("test.echo", DirectionSent))
	received := testutil.ToFloat64(server.counters.bytes.WithLabelValues("test.echo", DirectionReceived))
	if sent == 0 || sent != received {
		t.Fatalf("client counted %v bytes sent, server %v received", sent, received)
	}
}

func TestOutcomeSurvivesTheHop(t *testing.T) {
	server, _ := newNode(t, loopback, handleEcho)
	client, _ := newNode(t, loopback, nil)
	err := client.Call(t.Context(), server.Address(), "test.refuse", newText(), newText())
	typed := outcome.As(err)
	if typed.Outcome != outcome.NotRun || typed.Reason != outcome.ReasonNotOwner || typed.RetryAfter != 1500*time.Millisecond {
		t.Fatalf("got %#v", typed)
	}
	err = client.Call(t.Context(), server.Address(), "test.absent", newText(), newText())
	if outcome.Of(err) != outcome.NotRun {
		t.Fatalf("unknown method: %v", err)
	}
}

func TestGivenUpCallCancelsTheHandler(t *testing.T) {
	started, ended := make(chan struct{}), make(chan error, 1)
	server, _ := newNode(t, loopback, func(tcp *TCP) {
		Handle(tcp, "test.wait", newText, func(ctx context.Context, _ netip.AddrPort, _ *wrapperspb.StringValue) (*wrapperspb.StringValue, error) {
			close(started)
			<-ctx.Done()
			ended <- ctx.Err()
			return nil, ctx.Err()
		})
	})
	client, _ := newNode(t, loopback, nil)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-started
		cancel()
	}()
	err := client.Call(ctx, server.Address(), "test.wait", newText(), newText())
	if !errorx.IsOfType(err, KindNoAnswer) {
		t.Fatalf("got %v, want no answer", err)
	}
	if err := <-ended; err != context.Canceled {
		t.Fatalf("handler ended with %v", err)
	}
}

func TestCallToUnreachablePeerIsNotSent(t *testing.T) {
	client, _ := newNode(t, loopback, nil)
	gone, _ := newNode(t, loopback, nil)
	gone.Stop()
	for range 3 {
		err := client.Call(t.Context(), gone.Address(), "test.echo", newText(), newText())
		if !errorx.IsOfType(err, KindNotSent) {
			t.Fatalf("got %v, want not sent", err)
		}
	}
}

func TestCallReachesARestartedPeer(t *testing.T) {
	server, _ := newNode(t, loopback, handleEcho)
	client, _ := newNode(t, loopback, nil)
	if err := client.Call(t.Context(), server.Address(), "test.echo", newText(), newText()); err != nil {
		t.Fatal(err)
	}
	server.Stop()
	newNode(t, server.Address(), handleEcho)
	// The first calls may still use the broken connection; each fails at once.
	for {
		err := client.Call(t.Context(), server.Address(), "test.echo", newText(), newText())
		if err == nil {
			return
		}
		if !errorx.IsOfType(err, KindNotSent) && !errorx.IsOfType(err, KindNoAnswer) {
			t.Fatal(err)
		}
	}
}

func TestTooLargeIsNotSent(t *testing.T) {
	server, _ := newNode(t, loopback, handleEcho)
	client, _ := newNode(t, loopback, nil)
	large := wrapperspb.String(strings.Repeat("x", MaxFrameBytes))
	err := client.Call(t.Context(), server.Address(), "test.echo", large, newText())
	if !errorx.IsOfType(err, KindTooLarge) {
		t.Fatalf("got %v", err)
	}
}

func TestMalformedFrameClosesTheConnectionWithOneLine(t *testing.T) {
	server, log := newNode(t, loopback, handleEcho)
	hello, err := encodeHello("x", netip.MustParseAddrPort("127.0.0.1:9"))
	if err != nil {
		t.Fatal(err)
	}
	for name, bytes := range map[string][]byte{
		"no hello first": {0, 0, 0, 2, 8, 3},
		"huge length":    append(hello[:len(hello):len(hello)], 0xff, 0xff, 0xff, 0xff),
		"bad protobuf":   append(hello[:len(hello):len(hello)], 0, 0, 0, 1, 0xff),
		"second hello":   append(hello[:len(hello):len(hello)], hello...),
	} {
		connection, err := net.Dial("tcp", server.Address().String())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := connection.Write(bytes); err != nil {
			t.Fatal(err)
		}
		readToEnd(connection)
		if line := <-log.lines; !strings.Contains(line, "malformed") {
			t.Fatalf("%s: log line %q", name, line)
		}
		if len(log.lines) != 0 {
			t.Fatalf("%s: more than one line", name)
		}
	}
}

func readToEnd(connection net.Conn) {
	defer connection.Close()
	buffer := make([]byte, 1024)
	for {
		if _, err := connection.Read(buffer); err != nil {
			return
		}
	}
}

func TestFullQueueRefusesOneWayMessages(t *testing.T) {
	queue := newSendQueue()
	frame := &Outgoing{Encoded: make([]byte, MaxFrameBytes)}
	accepted := 0
	for queue.put(expiredContext, loopback, frame) == nil {
		accepted++
	}
	if accepted != queueBytes/MaxFrameBytes {
		t.Fatalf("queue accepted %d frames", accepted)
	}
	queue.failAll(context.Canceled)
	if err := queue.put(expiredContext, loopback, frame); err != nil {
		t.Fatalf("a queue that was emptied refused a frame: %v", err)
	}
}
