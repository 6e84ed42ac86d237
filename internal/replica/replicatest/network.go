// Package replicatest provides in-memory replicas for tests, whose responses follow scripts.
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
	"strings"
	"sync"

	"github.com/sloelift/sloelift/internal/replica"
)

// Headers are the header names that the scripts use.
var Headers = replica.Headers{
	RequestID: "X-Id", Deadline: "X-Deadline", ExpectInstance: "X-Instance", NotRun: "X-Not-Run", Instance: "X-Responder", Signature: "X-Signature",
	Load: "X-Load", LastEventID: "Last-Event-Id", Resumes: "X-Resumes", PromptParts: "X-Parts", APIKey: "X-Key", Tenant: "X-Tenant",
}

// Script answers one request on a connection; the connection is closed if it returns false.
type Script func(connection net.Conn, request *http.Request) (keep bool)

// Network is an in-memory network of scripted replicas.
type Network struct {
	mutex sync.Mutex
	// Scripts holds the script of each replica by its address.
	Scripts map[netip.AddrPort]Script
	// AnswersEarly makes scripts run before the bodies of requests are read. A script may read request.Body.
	AnswersEarly bool
	requests     []*http.Request
	bodies       []string
	open         []net.Conn
	serving      sync.WaitGroup
}

// Listen always fails: the network only has the scripted replicas.
func (f *Network) Listen(context.Context, netip.AddrPort) (net.Listener, error) {
	return nil, errors.New("replicatest: Listen is not supported")
}

// SetScript changes the script of the replica at address for connections made from now on.
func (f *Network) SetScript(address netip.AddrPort, script Script) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.Scripts[address] = script
}

// Dial connects to the scripted replica at address.
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
		var body []byte
		if !f.AnswersEarly {
			if body, err = io.ReadAll(request.Body); err != nil {
				return
			}
		}
		f.mutex.Lock()
		f.requests = append(f.requests, request)
		f.bodies = append(f.bodies, string(body))
		f.mutex.Unlock()
		if !script(connection, request) {
			return
		}
		// An answer given early leaves a part of the body, behind which the next request begins.
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
	}
}

// CloseConnections closes all connections that are open now.
func (f *Network) CloseConnections() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, connection := range f.open {
		_ = connection.Close()
	}
}

// CloseAll closes all connections and waits until all scripts have returned, including those that sleep. Dial must not be called
// concurrently.
func (f *Network) CloseAll() {
	f.CloseConnections()
	f.serving.Wait()
}

// Answer writes a complete response with a Content-Length and the request's id; headers are extra header lines, each ending in CRLF.
func Answer(status int, headers, body string) Script {
	return func(connection net.Conn, request *http.Request) bool {
		_, err := fmt.Fprintf(connection, "HTTP/1.1 %d X\r\nX-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s",
			status, request.Header.Get("X-Id"), headers, len(body), body)
		return err == nil
	}
}

// Signed is the header line of a signed response.
const Signed = "X-Signature: s1\r\n"

// Refuse responds with status 503 and the header that guarantees that the request has not run.
func Refuse() Script { return Answer(503, "X-Not-Run: 1\r\n", "full") }

// Lose closes the connection without a response after the request has been read.
func Lose() Script { return func(net.Conn, *http.Request) bool { return false } }

// Hang never responds; it returns when the connection is closed.
func Hang() Script {
	return func(connection net.Conn, _ *http.Request) bool {
		_, _ = connection.Read(make([]byte, 1))
		return false
	}
}

// Stream writes an event stream in chunks. With hold, it then leaves the connection open without sending more; with whole, it ends the
// stream properly; otherwise it closes the connection in mid-stream.
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

// Raw writes response as it is, but for the request's id in the place of "{id}".
func Raw(response string) Script {
	return func(connection net.Conn, request *http.Request) bool {
		_, err := io.WriteString(connection, strings.ReplaceAll(response, "{id}", request.Header.Get("X-Id")))
		return err == nil
	}
}

// Closing closes the connection after the answer of script.
func Closing(script Script) Script {
	return func(connection net.Conn, request *http.Request) bool {
		script(connection, request)
		return false
	}
}

// CloseDelimited writes an answer that declares neither a length nor chunks, and ends it by closing the connection.
func CloseDelimited(status int, body string) Script {
	return func(connection net.Conn, request *http.Request) bool {
		_, _ = fmt.Fprintf(connection, "HTTP/1.1 %d X\r\nX-Id: %s\r\n%s\r\n%s", status, request.Header.Get("X-Id"), Signed, body)
		return false
	}
}

// AfterBody reads the request's body and then answers by script.
func AfterBody(script Script) Script {
	return func(connection net.Conn, request *http.Request) bool {
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return false
		}
		return script(connection, request)
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

// Bodies returns the bodies of Requests, in the same order.
func (f *Network) Bodies() []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return append([]string(nil), f.bodies...)
}

// Connections returns the number of connections made so far.
func (f *Network) Connections() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.open) / 2
}
