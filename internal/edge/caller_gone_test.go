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
		Routes: test.routes, Directory: directory, Picker: balance.NewPicker(directory, nil), Client: replica.NewClient(test.via, replicatest.Headers),
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

// TestReplicaStopsForACallerWhoLeft: whatever its request is doing at a replica, that ends by itself once the caller has left.
func TestReplicaStopsForACallerWhoLeft(t *testing.T) {
	for _, test := range []struct {
		name   string
		script func(net.Conn, *http.Request)
		// events are those that the caller reads before it leaves, runs are the replicas that its request comes to.
		events int
		runs   int
	}{
		{"waiting for the first event", silentScript, 0, 1},
		{"streaming", firstEvent, 1, 1},
		{"resumed elsewhere", eventThenBreak, 1, 2},
	} {
		for way, leave := range waysToLeave {
			t.Run(test.name+", "+way, func(t *testing.T) {
				gone := newGoneTest(t, test.script, nil)
				caller := gone.send("a", 0)
				for range test.runs {
					gone.expectArrival("a")
				}
				readEvents(t, caller, test.events)
				leave(caller)
				for range test.runs {
					gone.expectEnd("a")
				}
			})
		}
	}
}

// TestReplicaStopsForACallerWhoSentMoreAndLeft: the same where the caller has sent its next request, or a part of it, behind the one that is
// served, so that the end of its connection lies behind bytes that nobody reads yet.
func TestReplicaStopsForACallerWhoSentMoreAndLeft(t *testing.T) {
	for name, behind := range map[string]string{
		"a part":  "POST /p/y HTTP/1.1\r\nHost: h.example\r\n",
		"a whole": "GET /p/y HTTP/1.1\r\nHost: h.example\r\nX-Key: key\r\nX-Id: behind\r\n\r\n",
	} {
		for way, leave := range waysToLeave {
			t.Run(name+", "+way, func(t *testing.T) {
				gone := newGoneTest(t, firstEvent, nil)
				caller := gone.send("a", 0)
				gone.expectArrival("a")
				readEvents(t, caller, 1)
				if _, err := io.WriteString(caller, behind); err != nil {
					t.Fatal(err)
				}
				leave(caller)
				gone.expectEnd("a")
			})
		}
	}
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

// TestNothingIsSentForACallerWhoLeft: a caller who leaves before its request was sent to a replica has nothing run there.
func TestNothingIsSentForACallerWhoLeft(t *testing.T) {
	for _, test := range []struct {
		name string
		// prepare has requests wait in this state until their caller is gone, and calls reached.
		prepare func(gone *goneTest, options *forward.Options, reached func())
	}{
		{"choosing a replica", func(_ *goneTest, options *forward.Options, reached func()) {
			options.Refresh = func(ctx context.Context) {
				reached()
				<-ctx.Done()
			}
		}},
		{"waiting for the tenant's limit", func(_ *goneTest, options *forward.Options, reached func()) {
			options.Quota = waitingQuota{asked: reached}
		}},
		{"connecting", func(gone *goneTest, _ *forward.Options, reached func()) {
			gone.via.dial = func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
				reached()
				<-ctx.Done()
				// The connection is there all the same.
				return gone.via.System.Dial(context.Background(), address)
			}
		}},
		{"held by the gate", func(_ *goneTest, options *forward.Options, reached func()) {
			options.Gate = forward.NewGate(options.Directory, fullDemand{reached: reached})
		}},
	} {
		for way, leave := range waysToLeave {
			t.Run(test.name+", "+way, func(t *testing.T) {
				reached := make(chan struct{}, 64)
				gone := newGoneTest(t, silentScript, func(made *goneTest, options *forward.Options) {
					test.prepare(made, options, func() {
						select {
						case reached <- struct{}{}:
						default:
						}
					})
				})
				if test.name == "held by the gate" {
					gone.send("before", 0)
					gone.expectArrival("before")
				}
				caller := gone.send("a", 0)
				await(t, reached, "the request to come so far")
				leave(caller)
				gone.awaitLog(`"request":"a"`)
				gone.expectNoArrival("a")
			})
		}
	}
}

// TestNothingIsSentWithoutTheWholeBody: a caller who leaves while it sends its body has nothing run.
func TestNothingIsSentWithoutTheWholeBody(t *testing.T) {
	for way, leave := range waysToLeave {
		t.Run(way, func(t *testing.T) {
			gone := newGoneTest(t, silentScript, nil)
			caller := gone.send("a", 2)
			leave(caller)
			_, _ = io.Copy(io.Discard, caller)
			gone.send("after", 0)
			gone.expectArrival("after")
			gone.expectNoArrival("a")
		})
	}
}

// TestNothingIsSentForACallerWhoLeftBeforeTheConfiguration: a request waits at a process that has just started until that knows its routes.
func TestNothingIsSentForACallerWhoLeftBeforeTheConfiguration(t *testing.T) {
	for way, leave := range waysToLeave {
		t.Run(way, func(t *testing.T) {
			gone := newGoneTest(t, silentScript, func(made *goneTest, options *forward.Options) {
				made.routes = route.NewHolder()
				options.Routes = made.routes
			})
			leave(gone.send("a", 0))
			gone.awaitLog(`"request":"a"`)
			gone.routes.Offer(goneTable(1))
			gone.send("after", 0)
			gone.expectArrival("after")
			gone.expectNoArrival("a")
		})
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
