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

// Answers of the listener itself, sent before the connection is closed.
var (
	fullAnswer = rawAnswer("503 Service Unavailable", "Retry-After: 1\r\nX-Should-Retry: true\r\n",
		outcome.New(outcome.NotRun, outcome.ReasonOverloaded, "too many connections"))
	slowHeaderAnswer = rawAnswer("408 Request Timeout", "",
		outcome.New(outcome.NotRun, reasonSlowHeader, "the header came too slowly"))
)

// rawAnswer is a whole HTTP answer with an error body; headers end with a line end each.
func rawAnswer(status, headers string, failure *outcome.Error) []byte {
	body, _ := json.Marshal(errorBodyOf(failure))
	return fmt.Appendf(nil, "HTTP/1.1 %s\r\nContent-Type: application/json\r\n%sConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		status, headers, len(body), body)
}

// rawAnswerTimeout bounds the write of such an answer.
const rawAnswerTimeout = 100 * time.Millisecond

// boundedListener accepts at most a fixed number of connections at a time. Those above
// it are told so and closed; they never wait unseen.
type boundedListener struct {
	net.Listener
	slots chan struct{}
}

// Accept returns the next connection within the bound.
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
			refuse(connection)
		}
	}
}

func refuse(connection net.Conn) {
	writeRaw(connection, fullAnswer)
	_ = connection.Close()
}

func writeRaw(connection net.Conn, answer []byte) {
	_ = connection.SetWriteDeadline(time.Now().Add(rawAnswerTimeout))
	_, _ = connection.Write(answer)
}

// slotConnection is a connection within the bound. It also tells a caller whose header
// came too slowly, which net/http would leave without an answer.
type slotConnection struct {
	net.Conn
	release func()
	// begun is set once a byte of the next request has come, serving while a handler runs.
	begun   atomic.Bool
	serving atomic.Bool
}

// Read reads on.
func (c *slotConnection) Read(into []byte) (int, error) {
	count, err := c.Conn.Read(into)
	if count > 0 {
		c.begun.Store(true)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.begun.Load() && !c.serving.Load() {
		writeRaw(c.Conn, slowHeaderAnswer)
	}
	return count, err
}

type connectionKey struct{}

// withConnection is an http.Server's ConnContext.
func withConnection(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, connection)
}

// markServing tells each request's connection while the request is served.
func markServing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if connection, is := r.Context().Value(connectionKey{}).(*slotConnection); is {
			connection.serving.Store(true)
			// An earlier request of this connection may have left its deadline.
			_ = connection.SetWriteDeadline(time.Time{})
			defer func() {
				connection.begun.Store(false)
				connection.serving.Store(false)
			}()
		}
		next.ServeHTTP(w, r)
	})
}

// Close gives the slot back.
func (c *slotConnection) Close() error {
	defer c.release()
	return c.Conn.Close()
}
