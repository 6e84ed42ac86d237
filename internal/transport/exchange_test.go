package transport

import (
	"bytes"
	"context"
	"net/netip"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	transportpb "github.com/sloelift/sloelift/api/proto/transport"
	"github.com/sloelift/sloelift/internal/outcome"
)

// recordingLink records the frames queued for the peer.
type recordingLink struct{ frames []*Outgoing }

func (*recordingLink) Peer() netip.AddrPort { return netip.MustParseAddrPort("127.0.0.1:1") }

func (l *recordingLink) Enqueue(_ context.Context, frame *Outgoing) error {
	l.frames = append(l.frames, frame)
	return nil
}

// Guards against a request that arrives while the node stops and starts a handler after Wait
// has returned; it must be answered as not run.
func TestRequestAfterWaitIsRefused(t *testing.T) {
	counters, err := NewCounters(prometheus.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	exchange := NewExchange(counters)
	exchange.Handle("test.echo", func() proto.Message { return &transportpb.Hello{} },
		func(context.Context, netip.AddrPort, proto.Message) (proto.Message, error) {
			t.Error("the handler ran")
			return &transportpb.Hello{}, nil
		})
	exchange.Wait()
	link := &recordingLink{}
	request := &transportpb.Frame{Kind: transportpb.Frame_KIND_REQUEST, RequestId: 1, Method: "test.echo"}
	if err := exchange.Receive(t.Context(), link, request, 0); err != nil {
		t.Fatal(err)
	}
	answer, _, err := ReadFrame(bytes.NewReader(link.frames[0].Encoded))
	if err != nil {
		t.Fatal(err)
	}
	if got := answer.GetError().GetOutcome(); got != string(outcome.NotRun) {
		t.Fatalf("outcome %q", got)
	}
}
