package edge

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/balance"
	"github.com/sloelift/sloelift/internal/forward"
	"github.com/sloelift/sloelift/internal/loadshare"
	"github.com/sloelift/sloelift/internal/network"
	"github.com/sloelift/sloelift/internal/quota"
	"github.com/sloelift/sloelift/internal/region"
	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/replica/replicatest"
	"github.com/sloelift/sloelift/internal/route"
	"github.com/sloelift/sloelift/internal/tenant"
)

// eventTimeout is the timeout of an expected event; a passing test does not wait that long.
const eventTimeout = 10 * time.Second

// recordingNetwork is the system's network, listening on ports chosen by the system.
type recordingNetwork struct {
	network.System
	mutex     sync.Mutex
	listeners map[netip.AddrPort]net.Listener
	// dial replaces Dial if set.
	dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
}

func (n *recordingNetwork) Listen(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
	listener, err := n.System.Listen(ctx, netip.MustParseAddrPort("127.0.0.1:0"))
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.listeners[address] = listener
	return listener, err
}

func (n *recordingNetwork) Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	if n.dial != nil {
		return n.dial(ctx, address)
	}
	return n.System.Dial(ctx, address)
}

// socketReplica is a replica that listens on a TCP socket and serves by a script.
type socketReplica struct {
	listener net.Listener
	// arrived receives the id of each request, ended the id when its connection has ended.
	arrived chan string
	ended   chan string
}

func startReplica(t *testing.T, script func(connection net.Conn, request *http.Request)) *socketReplica {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	started := &socketReplica{listener: listener, arrived: make(chan string, 16), ended: make(chan string, 16)}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go started.serve(connection, script)
		}
	}()
	return started
}

func (r *socketReplica) serve(connection net.Conn, script func(connection net.Conn, request *http.Request)) {
	defer func() { _ = connection.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(connection))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	id := request.Header.Get(replicatest.Headers.RequestID)
	r.arrived <- id
	script(connection, request)
	_, _ = connection.Read(make([]byte, 1))
	r.ended <- id
}

func (r *socketReplica) address() netip.AddrPort {
	return r.listener.Addr().(*net.TCPAddr).AddrPort()
}

// silentScript is a script that sends nothing.
func silentScript(net.Conn, *http.Request) {}

// firstEvent is a script that sends the header and one event of a stream.
func firstEvent(connection net.Conn, request *http.Request) {
	_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: x\n\n\r\n",
		request.Header.Get(replicatest.Headers.RequestID))
}

// eventThenBreak is a script that sends one event and closes the connection for writing; to a
// request that resumes the stream it sends nothing.
func eventThenBreak(connection net.Conn, request *http.Request) {
	if request.Header.Get(replicatest.Headers.LastEventID) == "" {
		firstEvent(connection, request)
		_ = connection.(*net.TCPConn).CloseWrite()
	}
}

// waitingQuota is a quota that blocks until the caller has disconnected, and then admits.
type waitingQuota struct{ asked func() }

func (q waitingQuota) Admit(ctx context.Context, _ *tenant.Tenant, _ int64) quota.Verdict {
	q.asked()
	<-ctx.Done()
	return quota.Verdict{Admitted: true}
}

func (waitingQuota) GiveBack(*tenant.Tenant) {}

// recordingSubmitter accepts submissions and records their bodies.
type recordingSubmitter struct{ submitted chan []byte }

func (r recordingSubmitter) Submit(writer http.ResponseWriter, _ *http.Request, _ forward.AuthenticatedRequest, body []byte) {
	r.submitted <- body
	writer.WriteHeader(http.StatusAccepted)
}

// fullDemand reports a demand of other nodes that far exceeds the capacity.
type fullDemand struct{ reached func() }

func (d fullDemand) OthersDemand(string, time.Time) (loadshare.Demand, bool) {
	return loadshare.Demand{InUse: 1000, Waiting: 1000}, true
}

// KeepFresh is called while requests are held.
func (d fullDemand) KeepFresh() { d.reached() }

// edgeHarness is a Server in front of two replicas, all on TCP sockets.
type edgeHarness struct {
	t        *testing.T
	network  *recordingNetwork
	server   *Server
	routes   *route.Holder
	replicas []*socketReplica
	// log receives the log lines of the handler.
	log             chan string
	fileDescriptors int
}

// Write implements io.Writer for the logger.
func (h *edgeHarness) Write(line []byte) (int, error) {
	h.log <- string(line)
	return len(line), nil
}

func newEdgeHarness(t *testing.T, script func(net.Conn, *http.Request), configure func(*edgeHarness, *forward.Options)) *edgeHarness {
	t.Helper()
	harness := &edgeHarness{
		t:       t,
		network: &recordingNetwork{listeners: map[netip.AddrPort]net.Listener{}},
		routes:  route.NewHolder(),
		log:     make(chan string, 1024),
	}
	directory := replica.NewDirectory()
	var infos []replica.Info
	for index := range 2 {
		started := startReplica(t, script)
		harness.replicas = append(harness.replicas, started)
		infos = append(infos, replica.Info{ID: fmt.Sprint("i", index), Service: "s", Version: "v1", Address: started.address(), Slots: 1})
	}
	directory.Replace(infos)
	metrics, err := forward.NewMetrics(prometheus.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	options := forward.Options{
		Routes:    harness.routes,
		Directory: directory,
		Picker:    balance.NewPicker(directory, region.Topology{}, nil),
		Client:    replica.NewClient(harness.network, replicatest.Headers),
		Logger:    zerolog.New(harness),
		Metrics:   metrics,
	}
	harness.routes.Offer(harnessTable(1))
	if configure != nil {
		configure(harness, &options)
	}
	harness.server = NewServer(Options{
		Handler:         forward.NewHandler(options),
		Logger:          zerolog.Nop(),
		Network:         harness.network,
		Grace:           time.Millisecond,
		FileDescriptors: harness.fileDescriptors,
		Addresses:       Addresses{Callers: callers, Readiness: readiness, ReadyPath: "/ready"},
	})
	if err := harness.server.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { harness.server.Stop(context.Background()) })
	return harness
}

func harnessTable(version int64) *route.Table {
	table := route.NewTable(version, []*route.Route{{
		Name: "r", Host: "h.example", Prefix: "/p/", Kind: route.Stream, Resumable: true, Attempts: 2, Backends: []route.Backend{{Service: "s", Weight: 1}},
	}, {
		Name: "b", Host: "h.example", Prefix: "/jobs/", Kind: route.Batch, Backends: []route.Backend{{Service: "s", Weight: 1}},
	}}, nil, route.Limits{})
	table.Tenants = tenant.NewDirectory([]tenant.Declaration{{
		Tenant: tenant.Tenant{Name: "t", Limit: tenant.Limit{RequestsPerSecond: 1, Burst: 1}}, APIKeys: []string{"key"},
	}})
	return table
}

// send connects and sends a request without its last omitted bytes.
func (h *edgeHarness) send(id string, omitted int) *net.TCPConn {
	h.t.Helper()
	connection := h.connect()
	text := "POST /p/x HTTP/1.1\r\nHost: h.example\r\nX-Id: " + id + "\r\nX-Key: key\r\nX-Deadline: 60000\r\nContent-Length: 4\r\n\r\nbody"
	if _, err := io.WriteString(connection, text[:len(text)-omitted]); err != nil {
		h.t.Fatal(err)
	}
	return connection
}

// connect opens a connection to the callers' listener.
func (h *edgeHarness) connect() *net.TCPConn {
	h.t.Helper()
	h.network.mutex.Lock()
	address := h.network.listeners[callers].Addr().String()
	h.network.mutex.Unlock()
	connection, err := net.Dial("tcp", address)
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { _ = connection.Close() })
	return connection.(*net.TCPConn)
}

// expect waits until either replica sends id on the channel that pick returns.
func (h *edgeHarness) expect(what string, pick func(*socketReplica) chan string, id string) {
	h.t.Helper()
	timer := time.NewTimer(eventTimeout)
	defer timer.Stop()
	for {
		select {
		case got := <-pick(h.replicas[0]):
			if got == id {
				return
			}
		case got := <-pick(h.replicas[1]):
			if got == id {
				return
			}
		case <-timer.C:
			h.t.Fatalf("request %s: %s did not happen", id, what)
		}
	}
}

func (h *edgeHarness) expectArrival(id string) {
	h.t.Helper()
	h.expect("the arrival at a replica", func(r *socketReplica) chan string { return r.arrived }, id)
}

func (h *edgeHarness) expectEnd(id string) {
	h.t.Helper()
	h.expect("the end of the replica's work", func(r *socketReplica) chan string { return r.ended }, id)
}

// waysToDisconnect holds the ways in which a caller can disconnect.
var waysToDisconnect = map[string]func(*net.TCPConn){
	"closed":      func(connection *net.TCPConn) { _ = connection.Close() },
	"half closed": func(connection *net.TCPConn) { _ = connection.CloseWrite() },
	"reset": func(connection *net.TCPConn) {
		_ = connection.SetLinger(0)
		_ = connection.Close()
	},
}

// readEvents reads count events of a stream.
func readEvents(t *testing.T, from io.Reader, count int) {
	t.Helper()
	reader := bufio.NewReader(from)
	for seen := 0; seen < count; {
		line, err := reader.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		if strings.HasPrefix(line, "data:") {
			seen++
		}
	}
}

func await(t *testing.T, event chan struct{}, what string) {
	t.Helper()
	select {
	case <-event:
	case <-time.After(eventTimeout):
		t.Fatalf("timeout while waiting for %s", what)
	}
}

// awaitLog waits for a log line that contains text.
func (h *edgeHarness) awaitLog(text string) {
	h.t.Helper()
	timer := time.NewTimer(eventTimeout)
	defer timer.Stop()
	for {
		select {
		case line := <-h.log:
			if strings.Contains(line, text) {
				return
			}
		case <-timer.C:
			h.t.Fatalf("timeout while waiting for a log line with %s", text)
		}
	}
}

// expectNoArrival fails the test if a request with this id has arrived at a replica.
func (h *edgeHarness) expectNoArrival(id string) {
	h.t.Helper()
	for _, socket := range h.replicas {
		for range len(socket.arrived) {
			if got := <-socket.arrived; got == id {
				h.t.Errorf("request %s arrived at a replica after its caller had disconnected", id)
			}
		}
	}
}
