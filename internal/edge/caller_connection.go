package edge

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// maxReadAhead bounds the bytes that are read past the request being served.
const maxReadAhead = 64 << 10

// callerListener accepts connections whose end is detected while a request is served.
type callerListener struct{ net.Listener }

// Accept waits for the next connection.
func (l callerListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConnection{Conn: connection, onEnd: func() {}}, nil
}

// callerConnection is a caller's connection. While a request is served, net/http detects the end of
// the connection with a read of one byte, and stops doing so if that returns the first byte of a
// pipelined request: replicas would continue to work for a caller that sent it and disconnected.
// From there on the connection itself reads ahead.
type callerConnection struct {
	net.Conn
	// onEnd is called when the end of the connection is detected; it is set before the first read.
	onEnd func()

	// mutex guards the fields below.
	mutex sync.Mutex
	// deadline is the read deadline set by the server.
	deadline time.Time
	// readEnded is closed when reading ahead has ended; nil if it has not begun.
	readEnded chan struct{}
	// readBytes holds the bytes read ahead. readError is the error that ended reading ahead, nil if the
	// server's next read ended it.
	readBytes []byte
	readError error
}

// connectionContext returns a context for the requests of a connection, which carries the connection and
// is cancelled when it ends. It is the server's ConnContext.
func connectionContext(ctx context.Context, connection net.Conn) context.Context {
	ctx = context.WithValue(ctx, connectionKey{}, connection)
	caller, ok := connection.(*callerConnection)
	if !ok {
		return ctx
	}
	ctx, caller.onEnd = context.WithCancel(ctx)
	return ctx
}

// Read implements net.Conn for the server; it returns the bytes read ahead first.
func (c *callerConnection) Read(into []byte) (int, error) {
	if count, done, err := c.takeReadAhead(into); done {
		return count, err
	}
	count, err := c.Conn.Read(into)
	if count == 1 && len(into) == 1 && err == nil {
		c.readAhead()
	}
	return count, err
}

// takeReadAhead stops reading ahead and returns the bytes or the error that it resulted in; done is
// false if there is neither.
func (c *callerConnection) takeReadAhead(into []byte) (count int, done bool, err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.readEnded != nil {
		// An expired deadline ends the pending read. Setting it fails only on a closed connection,
		// where that read has ended as well.
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
		readEnded := c.readEnded
		c.mutex.Unlock()
		<-readEnded
		c.mutex.Lock()
		c.readEnded = nil
		_ = c.Conn.SetReadDeadline(c.deadline)
	}
	if len(c.readBytes) > 0 {
		count = copy(into, c.readBytes)
		c.readBytes = c.readBytes[count:]
		return count, true, nil
	}
	return 0, c.readError != nil, c.readError
}

// readAhead starts a goroutine that reads up to about maxReadAhead bytes, until a read fails or
// takeReadAhead ends it.
func (c *callerConnection) readAhead() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	ended := make(chan struct{})
	c.readEnded = ended
	go func() {
		defer close(ended)
		for buffer := make([]byte, 1<<10); ; {
			count, err := c.Conn.Read(buffer)
			c.mutex.Lock()
			c.readBytes = append(c.readBytes, buffer[:count]...)
			full := len(c.readBytes) >= maxReadAhead
			if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
				c.readError = err
			}
			failed := c.readError != nil
			c.mutex.Unlock()
			if failed {
				c.onEnd()
			}
			if full || err != nil {
				return
			}
		}
	}()
}

// SetReadDeadline sets the server's read deadline. While reading ahead, it takes effect afterwards.
func (c *callerConnection) SetReadDeadline(deadline time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.deadline = deadline
	if c.readEnded != nil {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// SetDeadline sets the server's read and write deadlines.
func (c *callerConnection) SetDeadline(deadline time.Time) error {
	if err := c.SetReadDeadline(deadline); err != nil {
		return err
	}
	return c.SetWriteDeadline(deadline)
}

// Close closes the connection and cancels the context of its requests.
func (c *callerConnection) Close() error {
	c.onEnd()
	return c.Conn.Close()
}
