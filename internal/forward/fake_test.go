package forward

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/balance"
	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/route"
)

var testHeaders = replica.Headers{
	RequestID: "X-Id", Deadline: "X-Deadline", ExpectInstance: "X-Instance", NotRun: "X-Not-Run", Signature: "X-Signature",
	Load: "X-Load", LastEventID: "Last-Event-Id", PromptParts: "X-Parts",
}

// exchangeScript answers one request on a connection; false closes the connection.
type exchangeScript func(connection net.Conn, request *http.Request) (keep bool)

// fakeReplicas is a network in memory with replicas that follow scripts.
type fakeReplicas struct {
	mutex    sync.Mutex
	scripts  map[netip.AddrPort]exchangeScript
	requests []*http.Request
	bodies   []string
	open     []net.Conn
}

func (f *fakeReplicas) Listen(context.Context, netip.AddrPort) (net.Listener, error) {
	return nil, errors.New("nothing listens here")
}

func (f *fakeReplicas) Dial(_ context.Context, address netip.AddrPort) (net.Conn, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	script := f.scripts[address]
	if script == nil {
		return nil, errors.New("connection refused")
	}
	near, far := net.Pipe()
	f.open = append(f.open, near, far)
	go f.serve(far, script)
	return near, nil
}

func (f *fakeReplicas) serve(connection net.Conn, script exchangeScript) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		f.mutex.Lock()
		f.requests = append(f.requests, request)
		f.bodies = append(f.bodies, string(body))
		f.mutex.Unlock()
		if !script(connection, request) {
			return
		}
	}
}

func (f *fakeReplicas) closeAll() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, connection := range f.open {
		_ = connection.Close()
	}
}

// answer writes a whole answer with a length and the request's id.
func answer(status int, headers, body string) exchangeScript {
	return func(connection net.Conn, request *http.Request) bool {
		_, err := fmt.Fprintf(connection, "HTTP/1.1 %d X\r\nX-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s",
			status, request.Header.Get("X-Id"), headers, len(body), body)
		return err == nil
	}
}

const signed = "X-Signature: s1\r\n"

func refuse() exchangeScript { return answer(503, "X-Not-Run: 1\r\n", "full") }

// lose reads the request and closes the connection without an answer.
func lose() exchangeScript { return func(net.Conn, *http.Request) bool { return false } }

// hang never answers.
func hang() exchangeScript {
	return func(connection net.Conn, _ *http.Request) bool {
		_, _ = connection.Read(make([]byte, 1))
		return false
	}
}

// stream writes chunks of a stream of events; with whole it ends the stream, else it breaks off or, with hold, stops.
func stream(signature string, whole, hold bool, chunks ...string) exchangeScript {
	return func(connection net.Conn, request *http.Request) bool {
		_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
			request.Header.Get("X-Id"), signature)
		for _, chunk := range chunks {
			if _, err := fmt.Fprintf(connection, "%x\r\n%s\r\n", len(chunk), chunk); err != nil {
				return false
			}
		}
		if hold {
			_, _ = connection.Read(make([]byte, 1))
			return false
		}
		if whole {
			_, err := io.WriteString(connection, "0\r\n\r\n")
			return err == nil
		}
		return false
	}
}

// edgeUnderTest is a handler before two replicas, of which "a" is always preferred.
type edgeUnderTest struct {
	*Handler
	replicas  *fakeReplicas
	directory *replica.Directory
	routes    *route.Holder
}

func newEdgeUnderTest(t *testing.T, kind route.Kind, resumable bool, scripts map[string]exchangeScript) *edgeUnderTest {
	t.Helper()
	fake := &fakeReplicas{scripts: map[netip.AddrPort]exchangeScript{}}
	t.Cleanup(fake.closeAll)
	directory := replica.NewDirectory()
	var infos []replica.Info
	for index, id := range []string{"a", "b"} {
		address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(1000+index))
		if scripts[id] != nil {
			fake.scripts[address] = scripts[id]
		}
		infos = append(infos, replica.Info{ID: id, Service: "s", Zone: map[string]string{"a": "near", "b": "far"}[id], Address: address, Slots: 8})
	}
	directory.Replace(infos)
	routes := route.NewHolder()
	routes.Offer(route.NewTable(1, []*route.Route{{
		Name: "r", Host: "h.example", Prefix: "/p/", Kind: kind, Resumable: resumable, Attempts: 2, Timeout: 4 * time.Second,
		Objective: 200 * time.Millisecond, GapObjective: 250 * time.Millisecond, Backends: []route.Backend{{Service: "s", Weight: 1}},
	}}, nil, route.Limits{MaxBodyBytes: 1000}))
	metrics, err := NewMetrics(prometheus.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	handler := NewHandler(Options{
		Routes: routes, Picker: balance.NewPicker(directory, func() float64 { return 0 }), Client: replica.NewClient(fake, testHeaders),
		Zone: "near", Logger: zerolog.Nop(), Metrics: metrics,
	})
	return &edgeUnderTest{Handler: handler, replicas: fake, directory: directory, routes: routes}
}

// call sends one request; aborted says that the answer was broken off.
func (e *edgeUnderTest) call(change func(*http.Request)) (recorded *httptest.ResponseRecorder, aborted bool) {
	request := httptest.NewRequest(http.MethodPost, "http://h.example/p/x?q=1", strings.NewReader("body"))
	request.Header.Set("X-Id", "id-1")
	request.Header.Set("X-Deadline", "5000")
	if change != nil {
		change(request)
	}
	recorded = httptest.NewRecorder()
	defer func() {
		if failure := recover(); failure != nil {
			if failure != http.ErrAbortHandler {
				panic(failure)
			}
			aborted = true
		}
	}()
	e.ServeHTTP(recorded, request)
	return recorded, false
}
