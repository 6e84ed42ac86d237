// Package replicatest has replicas in memory that follow scripts.
package replicatest

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"

	"github.com/sloelift/sloelift/internal/replica"
)

// Headers are the names that the scripts use.
var Headers = replica.Headers{
	RequestID: "X-Id", Deadline: "X-Deadline", ExpectInstance: "X-Instance", NotRun: "X-Not-Run", Signature: "X-Signature",
	Load: "X-Load", LastEventID: "Last-Event-Id", PromptParts: "X-Parts", APIKey: "X-Key", Tenant: "X-Tenant",
}

// Script answers one request on a connection; false closes the connection.
type Script func(connection net.Conn, request *http.Request) (keep bool)

// Network is a network in memory with replicas that follow scripts.
type Network struct {
	mutex    sync.Mutex
	Scripts  map[netip.AddrPort]Script
	requests []*http.Request
	bodies   []string
	open     []net.Conn
	serving  sync.WaitGroup
}

// Listen fails: nothing is served here.
func (f *Network) Listen(context.Context, netip.AddrPort) (net.Listener, error) {
	return nil, errors.New("nothing listens here")
}

// Dial connects to the replica whose script stands at address.
func (f *Network) Dial(_ context.Context, address netip.AddrPort) (net.Conn, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	script := f.Scripts[address]
	if script == nil {
		return nil, errors.New("connection refused")
	}
	near, far := net.Pipe()
	f.open = append(f.open, near, far)
	f.serving.Go(func() { f.serve(far, script) })
	return near, nil
}

func (f *Network) serve(connection net.Conn, script Script) {
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

// CloseAll ends all connections and returns once all scripts have ended; a script that sleeps first has to wake. Nothing may connect meanwhile.
func (f *Network) CloseAll() {
	f.mutex.Lock()
	for _, connection := range f.open {
		_ = connection.Close()
	}
	f.mutex.Unlock()
	f.serving.Wait()
}

// Answer writes a whole answer with a length and the request's id.
func Answer(status int, headers, body string) Script {
	return func(connection net.Conn, request *http.Request) bool {
		_, err := fmt.Fprintf(connection, "HTTP/1.1 %d X\r\nX-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s",
			status, request.Header.Get("X-Id"), headers, len(body), body)
		return err == nil
	}
}

// Signed are the headers of a signed answer.
const Signed = "X-Signature: s1\r\n"

// Refuse promises that the request has not run.
func Refuse() Script { return Answer(503, "X-Not-Run: 1\r\n", "full") }

// Lose reads the request and closes the connection without an answer.
func Lose() Script { return func(net.Conn, *http.Request) bool { return false } }

// Hang never answers.
func Hang() Script {
	return func(connection net.Conn, _ *http.Request) bool {
		_, _ = connection.Read(make([]byte, 1))
		return false
	}
}

// Stream writes chunks of a stream of events; with whole it ends the stream, else it breaks off or, with hold, stops.
func Stream(signature string, whole, hold bool, chunks ...string) Script {
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

// Then uses first for the first request and rest for all others.
func Then(first, rest Script) Script {
	var once sync.Once
	return func(connection net.Conn, request *http.Request) bool {
		script := rest
		once.Do(func() { script = first })
		return script(connection, request)
	}
}

// Requests returns the requests that reached replicas, in order.
func (f *Network) Requests() []*http.Request {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return append([]*http.Request(nil), f.requests...)
}

// Bodies returns their bodies.
func (f *Network) Bodies() []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return append([]string(nil), f.bodies...)
}

// Connections returns how many connections were made.
func (f *Network) Connections() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.open) / 2
}
