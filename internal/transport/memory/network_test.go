package memory

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"github.com/sloelift/sloelift/internal/transport"
)

var (
	addressA = netip.MustParseAddrPort("10.0.0.1:1")
	addressB = netip.MustParseAddrPort("10.0.0.2:1")
)

func newText() *wrapperspb.StringValue { return &wrapperspb.StringValue{} }

// newPair returns a caller and a server that echoes requests and records them in served.
func newPair(t *testing.T, network *Network) (caller, server *Transport, served chan string) {
	t.Helper()
	served = make(chan string, 100)
	ends := make([]*Transport, 2)
	for index, address := range []netip.AddrPort{addressA, addressB} {
		end, err := NewTransport(network, address, prometheus.NewRegistry())
		if err != nil {
			t.Fatal(err)
		}
		transport.Handle(end, "test.echo", newText, func(_ context.Context, from netip.AddrPort, request *wrapperspb.StringValue) (*wrapperspb.StringValue, error) {
			served <- from.String() + " " + request.GetValue()
			return request, nil
		})
		end.Start()
		t.Cleanup(end.Stop)
		ends[index] = end
	}
	return ends[0], ends[1], served
}

func call(t *testing.T, caller *Transport, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	return caller.Call(ctx, addressB, "test.echo", wrapperspb.String("x"), newText())
}

func TestCallTakesTheDelayOfBothWays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := NewNetwork(1)
		network.SetConditions(func(netip.AddrPort, netip.AddrPort) Conditions { return Conditions{Delay: 20 * time.Millisecond} })
		caller, _, served := newPair(t, network)
		start := time.Now()
		if err := call(t, caller, time.Second); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(start); took != 40*time.Millisecond {
			t.Errorf("call took %s, want 40ms", took)
		}
		if got := <-served; got != addressA.String()+" x" {
			t.Errorf("served %q", got)
		}
	})
}

func TestCutAndLossLeaveNoAnswer(t *testing.T) {
	for name, conditions := range map[string]Conditions{"cut": {Cut: true}, "loss": {Loss: 1}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := NewNetwork(1)
				network.SetConditions(func(netip.AddrPort, netip.AddrPort) Conditions { return conditions })
				caller, _, served := newPair(t, network)
				if err := call(t, caller, time.Second); !errorx.IsOfType(err, transport.KindNoAnswer) {
					t.Errorf("got %v", err)
				}
				if len(served) != 0 {
					t.Error("a lost request was served")
				}
			})
		})
	}
}

func TestLossIsAboutTheShareAskedFor(t *testing.T) {
	network := NewNetwork(7)
	lost := 0
	for range 10000 {
		if network.randomFloat() < 0.05 {
			lost++
		}
	}
	if lost < 400 || lost > 600 {
		t.Errorf("lost %d of 10000", lost)
	}
}

func TestPauseHoldsTrafficAndStopRefusesIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := NewNetwork(1)
		caller, server, served := newPair(t, network)
		network.Pause(addressB)
		if err := call(t, caller, time.Second); !errorx.IsOfType(err, transport.KindNoAnswer) {
			t.Errorf("paused: %v", err)
		}
		if len(served) != 0 {
			t.Error("a paused node served a request")
		}
		network.Resume(addressB)
		synctest.Wait()
		if len(served) != 1 {
			t.Errorf("after the pause %d were served, want 1", len(served))
		}
		server.Stop()
		if err := call(t, caller, time.Second); !errorx.IsOfType(err, transport.KindNotSent) {
			t.Errorf("stopped: %v", err)
		}
	})
}
