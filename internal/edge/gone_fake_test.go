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

// patience bounds the wait for what must happen; a test that passes does not wait for it.
const patience = 10 * time.Second

// recordingNetwork is the system's network on ports of its choice.
type recordingNetwork struct {
	network.System
	mutex     sync.Mutex
	listeners map[netip.AddrPort]net.Listener
	// dial replaces Dial where it is set.
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

// socketReplica is a replica on a socket that serves by a script, and tells which requests came and that a connection has ended.
type socketReplica struct {
	listener net.Listener
	arrived  chan string
	ended    chan string
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

// silentScript sends nothing.
func silentScript(net.Conn, *http.Request) {}

// firstEvent sends the head and one event of a stream.
func firstEvent(connection net.Conn, request *http.Request) {
	_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: x\n\n\r\n",
		request.Header.Get(replicatest.Headers.RequestID))
}

// eventThenBreak sends one event and breaks off, but for a request that goes on behind it.
func eventThenBreak(connection net.Conn, request *http.Request) {
	if request.Header.Get(replicatest.Headers.LastEventID) == "" {
		firstEvent(connection, request)
		_ = connection.(*net.TCPConn).CloseWrite()
	}
}

// waitingQuota decides on nothing until the caller is gone.
type waitingQuota struct{ asked func() }

func (q waitingQuota) Admit(ctx context.Context, _ *tenant.Tenant, _ int64) quota.Verdict {
	q.asked()
	<-ctx.Done()
	return quota.Verdict{Admitted: true}
}

func (waitingQuota) GiveBack(*tenant.Tenant) {}

// recordingSubmitter takes submissions.
type recordingSubmitter struct{ submitted chan []byte }

func (r recordingSubmitter) Submit(writer http.ResponseWriter, _ *http.Request, _ forward.Authenticated, body []byte) {
	r.submitted <- body
	writer.WriteHeader(http.StatusAccepted)
}

// fullDemand has other nodes' callers want far more than there is.
type fullDemand struct{ reached func() }

func (d fullDemand) OthersDemand(string, time.Time) (loadshare.Demand, bool) {
	return loadshare.Demand{InUse: 1000, Waiting: 1000}, true
}

// KeepFresh is called while requests are held.
func (d fullDemand) KeepFresh() { d.reached() }

// goneTest is an edge on sockets before two replicas.
type goneTest struct {
	t        *testing.T
	via      *recordingNetwork
	server   *Server
	routes   *route.Holder
	replicas []*socketReplica
	// log holds the log's lines.
	log             chan string
	fileDescriptors int
}

// Write takes a log line.
func (g *goneTest) Write(line []byte) (int, error) {
	g.log <- string(line)
	return len(line), nil
}

func newGoneTest(t *testing.T, script func(net.Conn, *http.Request), change func(*goneTest, *forward.Options)) *goneTest {
	t.Helper()
	test := &goneTest{t: t, via: &recordingNetwork{listeners: map[netip.AddrPort]net.Listener{}}, routes: route.NewHolder(), log: make(chan string, 1024)}
	directory := replica.NewDirectory()
	var infos []replica.Info
	for index := range 2 {
		started := startReplica(t, script)
		test.replicas = append(test.replicas, started)
		infos = append(infos, replica.Info{ID: fmt.Sprint("i", index), Service: "s", Address: started.address(), Slots: 1})
	}
	directory.Replace(infos)
	metrics, err := forward.NewMetrics(prometheus.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	options := forward.Options{
		Routes: test.routes, Directory: directory, Picker: balance.NewPicker(directory, region.Topology{}, nil), Client: replica.NewClient(test.via, replicatest.Headers),
		Logger: zerolog.New(test), Metrics: metrics,
	}
	test.routes.Offer(goneTable(1))
	if change != nil {
		change(test, &options)
	}
	test.server = NewServer(Options{
		Handler: forward.NewHandler(options), Logger: zerolog.Nop(), Network: test.via, Grace: time.Millisecond, FileDescriptors: test.fileDescriptors,
		Addresses: Addresses{Callers: callers, Readiness: readiness, ReadyPath: "/ready"},
	})
	if err := test.server.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { test.server.Stop(context.Background()) })
	return test
}

func goneTable(version int64) *route.Table {
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

// send connects and sends a request, of which the last bytes are left out.
func (g *goneTest) send(id string, left int) *net.TCPConn {
	g.t.Helper()
	connection := g.connect()
	text := "POST /p/x HTTP/1.1\r\nHost: h.example\r\nX-Id: " + id + "\r\nX-Key: key\r\nX-Deadline: 60000\r\nContent-Length: 4\r\n\r\nbody"
	if _, err := io.WriteString(connection, text[:len(text)-left]); err != nil {
		g.t.Fatal(err)
	}
	return connection
}

// connect opens a connection as a caller does.
func (g *goneTest) connect() *net.TCPConn {
	g.t.Helper()
	g.via.mutex.Lock()
	address := g.via.listeners[callers].Addr().String()
	g.via.mutex.Unlock()
	connection, err := net.Dial("tcp", address)
	if err != nil {
		g.t.Fatal(err)
	}
	g.t.Cleanup(func() { _ = connection.Close() })
	return connection.(*net.TCPConn)
}

// expect waits for an event of any replica.
func (g *goneTest) expect(what string, pick func(*socketReplica) chan string, id string) {
	g.t.Helper()
	timer := time.NewTimer(patience)
	defer timer.Stop()
	for {
		select {
		case got := <-pick(g.replicas[0]):
			if got == id {
				return
			}
		case got := <-pick(g.replicas[1]):
			if got == id {
				return
			}
		case <-timer.C:
			g.t.Fatalf("request %s: %s did not happen", id, what)
		}
	}
}

func (g *goneTest) expectArrival(id string) {
	g.t.Helper()
	g.expect("the arrival at a replica", func(r *socketReplica) chan string { return r.arrived }, id)
}

func (g *goneTest) expectEnd(id string) {
	g.t.Helper()
	g.expect("the end of the replica's work", func(r *socketReplica) chan string { return r.ended }, id)
}

// waysToLeave are those by which a caller leaves.
var waysToLeave = map[string]func(*net.TCPConn){
	"closed":      func(connection *net.TCPConn) { _ = connection.Close() },
	"half closed": func(connection *net.TCPConn) { _ = connection.CloseWrite() },
	"reset": func(connection *net.TCPConn) {
		_ = connection.SetLinger(0)
		_ = connection.Close()
	},
}

// readEvents reads so many events of a stream.
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
	case <-time.After(patience):
		t.Fatalf("waited in vain for %s", what)
	}
}

// awaitLog waits for a log line that has text in it.
func (g *goneTest) awaitLog(text string) {
	g.t.Helper()
	timer := time.NewTimer(patience)
	defer timer.Stop()
	for {
		select {
		case line := <-g.log:
			if strings.Contains(line, text) {
				return
			}
		case <-timer.C:
			g.t.Fatalf("no log line with %s", text)
		}
	}
}

// expectNoArrival fails where a request has come to a replica.
func (g *goneTest) expectNoArrival(id string) {
	g.t.Helper()
	for _, each := range g.replicas {
		for range len(each.arrived) {
			if got := <-each.arrived; got == id {
				g.t.Errorf("request %s came to a replica after its caller had left", id)
			}
		}
	}
}
