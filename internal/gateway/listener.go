package gateway

import (
	"net"
	"strconv"
	"sync"
	"time"
)

// fullBody is the error body that a connection above the bound gets, before it is closed.
const fullBody = `{"error":{"message":"too many connections","type":"server_error","param":null,"code":"overloaded","outcome":"not_run"}}`

var fullAnswer = []byte("HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nRetry-After: 1\r\n" +
	"Connection: close\r\nContent-Length: " + strconv.Itoa(len(fullBody)) + "\r\n\r\n" + fullBody)

// fullAnswerTimeout bounds the write of fullAnswer.
const fullAnswerTimeout = 100 * time.Millisecond

// boundedListener accepts at most a fixed number of connections at a time. Those above
// it are told so and closed; they never wait unseen.
type boundedListener struct {
	net.Listener
	slots chan struct{}
}

func newBoundedListener(listener net.Listener, limit int) *boundedListener {
	return &boundedListener{Listener: listener, slots: make(chan struct{}, limit)}
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
	_ = connection.SetWriteDeadline(time.Now().Add(fullAnswerTimeout))
	_, _ = connection.Write(fullAnswer)
	_ = connection.Close()
}

type slotConnection struct {
	net.Conn
	release func()
}

// Close gives the slot back.
func (c *slotConnection) Close() error {
	defer c.release()
	return c.Conn.Close()
}
