package network

import (
	"context"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"
)

func connectedPair(t *testing.T) (*Severable, net.Conn, net.Conn) {
	t.Helper()
	severable := NewSeverable(System{})
	t.Cleanup(severable.Sever)
	listener, err := severable.Listen(context.Background(), netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	address := netip.MustParseAddrPort(listener.Addr().String())
	dialed, err := System{}.Dial(context.Background(), address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = dialed.Close() })
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return severable, accepted, dialed
}

func TestSeverClosesConnectionsAndRefusesDials(t *testing.T) {
	severable, _, dialed := connectedPair(t)
	severable.Sever()
	if _, err := io.ReadAll(dialed); err == nil {
		t.Fatal("connection ended cleanly, want a reset")
	}
	if _, err := severable.Dial(context.Background(), netip.MustParseAddrPort("127.0.0.1:1")); err == nil {
		t.Fatal("want an error from a dial on a severed network")
	}
}

func TestPauseHoldsBytesBackUntilResume(t *testing.T) {
	severable, accepted, dialed := connectedPair(t)
	severable.Pause()
	written := make(chan struct{})
	go func() {
		_, _ = accepted.Write([]byte("x"))
		close(written)
	}()
	if err := dialed.SetReadDeadline(time.Now().Add(20 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if _, err := dialed.Read(make([]byte, 1)); err == nil {
		t.Fatal("a paused network delivered a byte")
	}
	severable.Resume()
	<-written
	if err := dialed.SetReadDeadline(time.Time{}); err != nil {
		t.Fatal(err)
	}
	if _, err := dialed.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
}

func TestSetReachableRefusesChosenPeers(t *testing.T) {
	severable, _, _ := connectedPair(t)
	severable.SetReachable(func(netip.AddrPort) bool { return false })
	if _, err := severable.Dial(context.Background(), netip.MustParseAddrPort("127.0.0.1:1")); err == nil {
		t.Fatal("dialed an unreachable peer, want an error")
	}
}
