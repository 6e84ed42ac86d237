package edge

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/balance"
	"github.com/sloelift/sloelift/internal/forward"
	"github.com/sloelift/sloelift/internal/network/networktest"
	"github.com/sloelift/sloelift/internal/region"
	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/replica/replicatest"
	"github.com/sloelift/sloelift/internal/route"
)

// pipeNetwork listens in memory and dials scripted replicas.
type pipeNetwork struct {
	*replicatest.Network
	pipes *networktest.Pipes
}

func (n *pipeNetwork) Listen(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
	return n.pipes.Listen(ctx, address)
}

// get sends one GET on a new connection and returns its status, or 0 if there is no answer.
func (n *pipeNetwork) get(address netip.AddrPort, path string) int {
	return n.getWithin(address, path, "")
}

// getWithin is get with the time that the caller waits, in milliseconds.
func (n *pipeNetwork) getWithin(address netip.AddrPort, path, deadline string) int {
	connection, err := n.pipes.Dial(context.Background(), address)
	if err != nil {
		return 0
	}
	defer func() { _ = connection.Close() }()
	request, _ := http.NewRequest(http.MethodGet, "http://h.example"+path, nil)
	request.Header.Set(replicatest.Headers.RequestID, "id-1")
	request.Header.Set(replicatest.Headers.Deadline, deadline)
	if request.Write(connection) != nil {
		return 0
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), request)
	if err != nil {
		return 0
	}
	return response.StatusCode
}

var (
	callers   = netip.MustParseAddrPort("127.0.0.1:8080")
	readiness = netip.MustParseAddrPort("127.0.0.1:8081")
	replicaAt = netip.MustParseAddrPort("127.0.0.1:9000")
)

func newServerUnderTest(t *testing.T, script replicatest.Script) (*Server, *pipeNetwork, *route.Holder) {
	t.Helper()
	network := &pipeNetwork{
		Network: &replicatest.Network{Scripts: map[netip.AddrPort]replicatest.Script{replicaAt: script}},
		pipes:   networktest.NewPipes(),
	}
	directory, routes := replica.NewDirectory(), route.NewHolder()
	directory.Replace([]replica.Info{{ID: "a", Service: "s", Address: replicaAt, Slots: 4}})
	metrics, err := forward.NewMetrics(prometheus.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	handler := forward.NewHandler(forward.Options{
		Routes: routes, Directory: directory, Picker: balance.NewPicker(directory, region.Topology{}, nil), Client: replica.NewClient(network, replicatest.Headers),
		Logger: zerolog.Nop(), Metrics: metrics,
	})
	server := NewServer(Options{
		Handler: handler, Logger: zerolog.Nop(), Network: network, Grace: 8 * time.Second,
		Addresses: Addresses{Callers: callers, Readiness: readiness, ReadyPath: "/ready"},
	})
	if err := server.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	return server, network, routes
}

func testTable() *route.Table {
	return route.NewTable(1, []*route.Route{{
		Name: "r", Host: "h.example", Prefix: "/p/", Kind: route.NotRepeatable, Attempts: 1, Backends: []route.Backend{{Service: "s", Weight: 1}},
	}}, nil, route.Limits{})
}

func TestReadyOnlyWithAConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server, network, routes := newServerUnderTest(t, replicatest.Refuse())
		if status := network.get(readiness, "/ready"); status != http.StatusServiceUnavailable {
			t.Errorf("ready answers %d without a configuration", status)
		}
		routes.Offer(testTable())
		if status := network.get(readiness, "/ready"); status != http.StatusOK {
			t.Errorf("ready answers %d with a configuration", status)
		}
		server.Stop(t.Context())
		network.CloseAll()
	})
}

// TestPlannedStop checks that a stopping server is not ready at once, completes the request in
// flight, and stops within the grace period.
func TestPlannedStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := func(connection net.Conn, request *http.Request) bool {
			time.Sleep(4 * time.Second)
			return replicatest.Answer(200, replicatest.Signed, "whole")(connection, request)
		}
		server, network, routes := newServerUnderTest(t, slow)
		routes.Offer(testTable())
		answered := make(chan int, 1)
		go func() { answered <- network.get(callers, "/p/x") }()
		time.Sleep(time.Second)
		started := time.Now()
		stopped := make(chan struct{})
		go func() {
			server.Stop(t.Context())
			close(stopped)
		}()
		time.Sleep(10 * time.Millisecond)
		if status := network.get(readiness, "/ready"); status != http.StatusServiceUnavailable {
			t.Errorf("ready answers %d while the process stops", status)
		}
		if status := <-answered; status != http.StatusOK {
			t.Errorf("the request in flight was answered with %d", status)
		}
		<-stopped
		if took := time.Since(started); took > 8*time.Second {
			t.Errorf("the stop took %s", took)
		}
		network.CloseAll()
	})
}
