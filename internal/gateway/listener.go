package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sloelift/sloelift/internal/outcome"
)

// Answers that are written to the connection without net/http, before it is closed.
var (
	tooManyConnectionsAnswer = rawAnswer("503 Service Unavailable", "Retry-After: 1\r\nX-Should-Retry: true\r\n",
		outcome.New(outcome.NotRun, outcome.ReasonOverloaded, "too many connections"))
	slowHeaderAnswer = rawAnswer("408 Request Timeout", "",
		outcome.New(outcome.NotRun, reasonSlowHeader, "the header came too slowly"))
)

// rawAnswer returns a complete HTTP answer with an error body. Each header in headers ends with a
// line end.
func rawAnswer(status, headers string, failure *outcome.Error) []byte {
	body, _ := json.Marshal(newErrorBody(failure))
	return fmt.Appendf(nil, "HTTP/1.1 %s\r\nContent-Type: application/json\r\n%sConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		status, headers, len(body), body)
}

// rawAnswerTimeout bounds the write of a raw answer.
const rawAnswerTimeout = 100 * time.Millisecond

// boundedListener accepts at most a fixed number of connections at a time. A connection above that
// gets an error answer and is closed, instead of waiting in the accept queue without notice.
type boundedListener struct {
	net.Listener
	slots chan struct{}
}

// Accept returns the next connection within the limit.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		connection, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.slots <- struct{}{}:
			return &slotConnection{Conn: connection, release: sync.OnceFunc(func() { <-l.slots })}, nil
		default:
			rejectConnection(connection)
		}
	}
}

func rejectConnection(connection net.Conn) {
	writeRawAnswer(connection, tooManyConnectionsAnswer)
	_ = connection.Close()
}

func writeRawAnswer(connection net.Conn, answer []byte) {
	_ = connection.SetWriteDeadline(time.Now().Add(rawAnswerTimeout))
	_, _ = connection.Write(answer)
}

// slotConnection is a connection within the limit. It also answers a caller whose request header
// came too slowly, to which net/http would send no answer.
type slotConnection struct {
	net.Conn
	release func()
	// received is set once a byte of the next request was received, serving while a handler runs.
	received atomic.Bool
	serving  atomic.Bool
}

// Read implements net.Conn.
func (c *slotConnection) Read(into []byte) (int, error) {
	count, err := c.Conn.Read(into)
	if count > 0 {
		c.received.Store(true)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.received.Load() && !c.serving.Load() {
		writeRawAnswer(c.Conn, slowHeaderAnswer)
	}
	return count, err
}

// connectionKey is the context key of a request's connection.
type connectionKey struct{}

// connectionContext adds the connection to the context of its requests. It is the server's
// ConnContext.
func connectionContext(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, connection)
}

// markServing wraps next to set serving on a request's connection while the request is served.
func markServing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if connection, ok := r.Context().Value(connectionKey{}).(*slotConnection); ok {
			connection.serving.Store(true)
			// Clear the write deadline of an earlier request on this connection.
			_ = connection.SetWriteDeadline(time.Time{})
			defer func() {
				connection.received.Store(false)
				connection.serving.Store(false)
			}()
		}
		next.ServeHTTP(w, r)
	})
}

// Close closes the connection and releases its slot.
func (c *slotConnection) Close() error {
	defer c.release()
	return c.Conn.Close()
}
