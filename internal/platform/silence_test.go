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

// serviceAddress is the address on which serveInMemory serves.
var serviceAddress = netip.MustParseAddrPort("127.0.0.1:1")

// serveInMemory serves on serviceAddress, over a network whose connections can be silenced. The caller must close the server.
func serveInMemory(t *testing.T, handler http.HandlerFunc) (*http.Server, *networktest.Silencer) {
	t.Helper()
	wires := networktest.NewPipes()
	listener, err := wires.Listen(t.Context(), serviceAddress)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	return server, networktest.NewSilencer(wires)
}

// TestSilentConnectionsToTheServiceAreGivenUp: all idle connections to the key-value service go silent without a reset. After the first
// call that times out, all of them are closed, and the next call uses a new connection.
func TestSilentConnectionsToTheServiceAreGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server, silencer := serveInMemory(t, func(http.ResponseWriter, *http.Request) { time.Sleep(10 * time.Millisecond) })
		exchanger := NewExchanger(silencer, serviceAddress)
		const idleConnections = 5
		var calls sync.WaitGroup
		for range idleConnections {
			calls.Go(func() {
				if _, _, err := exchanger.Read(t.Context(), http.MethodGet, "/"); err != nil {
					t.Error(err)
				}
			})
		}
		calls.Wait()
		if silenced := silencer.Silence(); silenced != idleConnections {
			t.Fatalf("%d idle connections, want %d", silenced, idleConnections)
		}
		start := time.Now()
		for tries := 1; ; tries++ {
			if _, _, err := exchanger.Read(t.Context(), http.MethodGet, "/"); err == nil {
				break
			}
			if tries == 2 {
				t.Fatalf("%d calls in %s got no answer", tries, time.Since(start))
			}
		}
		exchanger.Close()
		_ = server.Close()
	})
}

// TestSilentConnectionToTheMachineListIsGivenUp: if the connection to the machine list goes silent, the list is read again well within
// the 2 s after which a leaving replica must get no more work.
func TestSilentConnectionToTheMachineListIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server, silencer := serveInMemory(t, func(writer http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(writer, "{}") })
		machines := NewMachineListHTTP(silencer, serviceAddress)
		if _, err := machines.List(t.Context()); err != nil {
			t.Fatal(err)
		}
		if silencer.Silence() != 1 {
			t.Fatal("no idle connection")
		}
		const allowed = 2 * time.Second
		start := time.Now()
		for {
			if _, err := machines.List(t.Context()); err == nil {
				break
			}
		}
		if took := time.Since(start); took > allowed/2 {
			t.Errorf("the machine list was read again only after %s", took)
		}
		machines.Close()
		_ = server.Close()
	})
}

// TestMachineListIsReadSoonAfterASilence: the service of the machine list is silent for a while and never answers the calls that began
// then. The list is read well within the 2 s after which a leaving replica must get no more work.
func TestMachineListIsReadSoonAfterASilence(t *testing.T) {
	const pollInterval, allowed = 500 * time.Millisecond, 2 * time.Second
	for silence := time.Second; silence <= 12*time.Second; silence += 700 * time.Millisecond {
		t.Run(silence.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				recovery := time.Now().Add(silence)
				server, wires := serveInMemory(t, func(writer http.ResponseWriter, request *http.Request) {
					if time.Now().Before(recovery) {
						<-request.Context().Done()
						return
					}
					_, _ = io.WriteString(writer, "{}")
				})
				machines := NewMachineListHTTP(wires, serviceAddress)
				for {
					if _, err := machines.List(t.Context()); err == nil {
						break
					}
					time.Sleep(pollInterval)
				}
				if took := time.Since(recovery); took > allowed-pollInterval {
					t.Errorf("the list was read %s after the recovery", took)
				}
				machines.Close()
				_ = server.Close()
				time.Sleep(maxAnswerTimeout)
			})
		})
	}
}
