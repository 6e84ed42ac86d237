package replica_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sloelift/sloelift/internal/network"
	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/replica/replicatest"
)

// serveConnections answers each connection to a new listener by serve, which must not close it, and returns the listener's address.
func serveConnections(t *testing.T, serve func(connection *net.TCPConn)) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = accepted.Close() }()
				serve(accepted.(*net.TCPConn))
			}()
		}
	}()
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

// upload sends a long request to the replica at address and returns the body of the answer, with the error that ended it.
func upload(t *testing.T, via network.Network, address netip.AddrPort) (string, error) {
	t.Helper()
	client := replica.NewClient(via, replicatest.Headers)
	call := callWithID("i")
	call.Body = []byte(strings.Repeat("u", 8<<20))
	answer, err := client.Do(t.Context(), replica.NewHandle(replica.Info{ID: "a", Service: "s", Address: address, Slots: 1}), call)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(answer.Body)
	answer.Close(err == nil)
	return string(body), err
}

// closeDelimitedHead is the head of an answer to the request "i" whose end is that of its connection.
const closeDelimitedHead = "HTTP/1.1 200 OK\r\nX-Id: i\r\n" + replicatest.Signed + "\r\n"

// TestResetDuringTheRequestIsNoEndOfTheAnswer: a replica that answered a long request at once and then reset the connection was taken to
// have answered in full. The kernel reports a reset to one of reader and writer, and the other reads the end of the stream.
func TestResetDuringTheRequestIsNoEndOfTheAnswer(t *testing.T) {
	const plays = 40
	address := serveConnections(t, func(connection *net.TCPConn) {
		_, _ = io.WriteString(connection, closeDelimitedHead+"part")
		// The replica reads on for a moment, so that the client is writing when the connection is reset.
		_ = connection.SetReadDeadline(time.Now().Add(500 * time.Microsecond))
		_, _ = io.Copy(io.Discard, connection)
		_ = connection.SetLinger(0)
	})
	for range plays {
		if body, err := upload(t, network.System{}, address); err == nil {
			t.Fatalf("%q is a complete answer", body)
		}
	}
}

// endedConn is a connection on which an answer ends, as by an orderly close, at endsAfter, while the body of the request is taken until
// takes and the write then returns writeError. Both times count from the first read and write.
type endedConn struct {
	net.Conn
	answer           io.Reader
	endsAfter, takes time.Duration
	writeError       error
	closed           chan struct{}
}

func (c *endedConn) Read(target []byte) (int, error) {
	count, err := c.answer.Read(target)
	if err != nil {
		time.Sleep(c.endsAfter)
	}
	return count, err
}

func (c *endedConn) Write(written []byte) (int, error) {
	if strings.HasPrefix(string(written), http.MethodPost) {
		return len(written), nil
	}
	select {
	case <-time.After(c.takes):
		return len(written), c.writeError
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

func (c *endedConn) Close() error {
	close(c.closed)
	return nil
}

// singleConnection is a network that dials one connection.
type singleConnection struct {
	network.Network
	connection net.Conn
}

func (n singleConnection) Dial(context.Context, netip.AddrPort) (net.Conn, error) {
	return n.connection, nil
}

// TestEndOfAnAnswerBesideThatOfItsRequest forces the orders in which an answer and the write of its request end: the answer is whole if the
// replica soon takes the rest of the request, and otherwise fails within a bounded time.
func TestEndOfAnAnswerBesideThatOfItsRequest(t *testing.T) {
	const bound = time.Second
	for name, test := range map[string]struct {
		endsAfter, takes time.Duration
		writeError       error
		whole            bool
	}{
		"request written before":            {time.Millisecond, 0, nil, true},
		"request written behind":            {0, bound - time.Millisecond, nil, true},
		"request written too late":          {0, bound + time.Millisecond, nil, false},
		"request never written":             {0, time.Hour, nil, false},
		"write reset before the end":        {time.Millisecond, 0, syscall.ECONNRESET, false},
		"write reset behind the end":        {0, time.Millisecond, syscall.ECONNRESET, false},
		"write reset long behind the end":   {0, bound - time.Millisecond, syscall.ECONNRESET, false},
		"pipe broken before the end":        {time.Millisecond, 0, syscall.EPIPE, false},
		"write timed out behind the answer": {0, time.Millisecond, syscall.ETIMEDOUT, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				connection := &endedConn{
					answer: strings.NewReader(closeDelimitedHead + "whole"), endsAfter: test.endsAfter, takes: test.takes, writeError: test.writeError,
					closed: make(chan struct{}),
				}
				began := time.Now()
				body, err := upload(t, singleConnection{connection: connection}, netip.AddrPort{})
				if took := time.Since(began); took > bound+test.endsAfter {
					t.Errorf("the answer ends after %s", took)
				}
				if (err == nil) != test.whole || test.whole && body != "whole" {
					t.Errorf("the answer is %q with error %v", body, err)
				}
				if errors.Is(err, replica.ErrNotSent) {
					t.Errorf("error %v says that the request has not run", err)
				}
			})
		})
	}
}

// TestAnswerBeforeTheEndOfItsRequest covers answers that a replica gives before it has the whole request: one whose framing marks its end
// is whole.
func TestAnswerBeforeTheEndOfItsRequest(t *testing.T) {
	const body = "too large"
	for name, test := range map[string]struct {
		script replicatest.Script
		whole  bool
	}{
		"with a length":                     {replicatest.Answer(http.StatusRequestEntityTooLarge, replicatest.Signed, body), true},
		"with a length, then closed":        {replicatest.Closing(replicatest.Answer(http.StatusRequestEntityTooLarge, replicatest.Signed, body)), true},
		"in chunks, then closed":            {replicatest.Closing(replicatest.Stream("s", true, false, body)), true},
		"in chunks without the last one":    {replicatest.Stream("s", false, false, body), false},
		"close-delimited":                   {replicatest.CloseDelimited(http.StatusOK, body), false},
		"close-delimited failure":           {replicatest.CloseDelimited(http.StatusRequestEntityTooLarge, body), false},
		"close-delimited after the request": {replicatest.AfterBody(replicatest.CloseDelimited(http.StatusOK, body)), true},
	} {
		t.Run(name, func(t *testing.T) {
			address := netip.MustParseAddrPort("127.0.0.1:1000")
			fake := &replicatest.Network{Scripts: map[netip.AddrPort]replicatest.Script{address: test.script}, AnswersEarly: true}
			defer fake.CloseAll()
			client, handle := replica.NewClient(fake, replicatest.Headers), replica.NewHandle(replica.Info{ID: "a", Service: "s", Address: address, Slots: 1})
			call := callWithID("i")
			call.Body = []byte(strings.Repeat("u", 256<<10))
			answer, err := client.Do(t.Context(), handle, call)
			if err != nil {
				t.Fatal(err)
			}
			received, err := io.ReadAll(answer.Body)
			answer.Close(err == nil)
			if (err == nil) != test.whole || test.whole && string(received) != body {
				t.Errorf("the answer is %q with error %v", received, err)
			}
		})
	}
}
