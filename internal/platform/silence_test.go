package platform

import (
	"io"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sloelift/sloelift/internal/network/networktest"
)

// servedAt is the address of serveInMemory.
var servedAt = netip.MustParseAddrPort("127.0.0.1:1")

// serveInMemory serves at servedAt, over a network whose connections can go silent. The server must be closed.
func serveInMemory(t *testing.T, handler http.HandlerFunc) (*http.Server, *networktest.Silencer) {
	t.Helper()
	wires := networktest.NewPipes()
	listener, err := wires.Listen(t.Context(), servedAt)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	return server, networktest.NewSilencer(wires)
}

// TestSilentConnectionsToTheServiceAreGivenUp: all kept connections to the key-value service go silent without a reset. The first call that
// gets no answer shows it, and the next one takes a new connection.
func TestSilentConnectionsToTheServiceAreGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server, silencer := serveInMemory(t, func(http.ResponseWriter, *http.Request) { time.Sleep(10 * time.Millisecond) })
		exchanger := NewExchanger(silencer, servedAt)
		const kept = 5
		var calls sync.WaitGroup
		for range kept {
			calls.Go(func() {
				if _, _, err := exchanger.Read(t.Context(), http.MethodGet, "/"); err != nil {
					t.Error(err)
				}
			})
		}
		calls.Wait()
		if silenced := silencer.Silence(); silenced != kept {
			t.Fatalf("%d connections are kept, want %d", silenced, kept)
		}
		began := time.Now()
		for tries := 1; ; tries++ {
			if _, _, err := exchanger.Read(t.Context(), http.MethodGet, "/"); err == nil {
				break
			}
			if tries == 2 {
				t.Fatalf("%d calls in %s got no answer", tries, time.Since(began))
			}
		}
		exchanger.Close()
		_ = server.Close()
	})
}

// TestSilentConnectionToTheMachineListIsGivenUp: the machine list is known again within the time in which a leaving replica must get no more
// work.
func TestSilentConnectionToTheMachineListIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server, silencer := serveInMemory(t, func(writer http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(writer, "{}") })
		machines := NewMachineListHTTP(silencer, servedAt)
		if _, err := machines.List(t.Context()); err != nil {
			t.Fatal(err)
		}
		if silencer.Silence() != 1 {
			t.Fatal("no connection is kept")
		}
		const allowed = 2 * time.Second
		began := time.Now()
		for {
			if _, err := machines.List(t.Context()); err == nil {
				break
			}
		}
		if took := time.Since(began); took > allowed/2 {
			t.Errorf("the machine list is known again after %s", took)
		}
		machines.Close()
		_ = server.Close()
	})
}
