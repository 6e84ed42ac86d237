package transport

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"github.com/sloelift/sloelift/internal/network"
	"github.com/sloelift/sloelift/internal/network/networktest"
)

var (
	serverAddress = netip.MustParseAddrPort("127.0.0.1:1")
	clientAddress = netip.MustParseAddrPort("127.0.0.1:2")
)

// TestSilentConnectionIsReplaced: a connection that goes silent without a reset is detected by the calls or one-way messages sent
// over it, and replaced.
func TestSilentConnectionIsReplaced(t *testing.T) {
	for _, test := range []struct {
		name string
		send func(t *testing.T, client *TCP)
	}{
		{"calls", func(t *testing.T, client *TCP) {
			ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
			defer cancel()
			_ = client.Call(ctx, serverAddress, "test.note", wrapperspb.String("call"), newText())
		}},
		{"one-way messages", func(t *testing.T, client *TCP) {
			if err := client.Send(serverAddress, "test.note", wrapperspb.String("message")); err != nil {
				t.Error(err)
			}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				wires := networktest.NewPipes()
				var noted atomic.Int32
				server := startOver(t, wires, serverAddress, &noted)
				silencer := networktest.NewSilencer(wires)
				client := startOver(t, silencer, clientAddress, &noted)
				test.send(t, client)
				time.Sleep(time.Second)
				if noted.Load() != 1 || silencer.Silence() != 1 {
					t.Fatal("no connection to silence")
				}
				for start := time.Now(); time.Since(start) < 2500*time.Millisecond; time.Sleep(200 * time.Millisecond) {
					test.send(t, client)
				}
				before := noted.Load()
				test.send(t, client)
				time.Sleep(time.Second)
				if noted.Load() == before {
					t.Error("2.5 s after the connection went silent it is still in use")
				}
				client.Stop()
				server.Stop()
			})
		})
	}
}

// TestPeerSlowToAnswerKeepsItsConnection: a connection is not taken for silent while a long call runs on it.
func TestPeerSlowToAnswerKeepsItsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wires := networktest.NewPipes()
		var noted atomic.Int32
		server := startOver(t, wires, serverAddress, &noted)
		client := startOver(t, wires, clientAddress, &noted)
		if err := client.Call(t.Context(), serverAddress, "test.slow", wrapperspb.String("call"), newText()); err != nil {
			t.Errorf("a call that takes 20 s: %v", err)
		}
		client.Stop()
		server.Stop()
	})
}

// TestListenerGoesOnAfterAnError: a failed accept, for example when file descriptors have run out, does not stop the listener.
func TestListenerGoesOnAfterAnError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wires := networktest.NewPipes()
		wires.FailFirstAccept = true
		var noted atomic.Int32
		server := startOver(t, wires, serverAddress, &noted)
		client := startOver(t, wires, clientAddress, &noted)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		if err := client.Call(ctx, serverAddress, "test.note", wrapperspb.String("call"), newText()); err != nil {
			t.Errorf("call after a connection could not be accepted: %v", err)
		}
		client.Stop()
		server.Stop()
	})
}

// startOver starts a node on the network via. Its method test.note counts calls, and test.slow answers after 20 s.
func startOver(t *testing.T, via network.Network, address netip.AddrPort, noted *atomic.Int32) *TCP {
	t.Helper()
	node, err := NewTCPOver(via, "n", address, prometheus.NewRegistry(), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	Handle(node, "test.note", newText, func(context.Context, netip.AddrPort, *wrapperspb.StringValue) (*wrapperspb.StringValue, error) {
		noted.Add(1)
		return newText(), nil
	})
	Handle(node, "test.slow", newText, func(context.Context, netip.AddrPort, *wrapperspb.StringValue) (*wrapperspb.StringValue, error) {
		time.Sleep(20 * time.Second)
		return newText(), nil
	})
	if err := node.Start(); err != nil {
		t.Fatal(err)
	}
	return node
}
