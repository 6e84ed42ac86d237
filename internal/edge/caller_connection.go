package edge

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// maxReadAhead bounds the bytes that are read behind a request that is served.
const maxReadAhead = 64 << 10

// callerListener gives out connections whose end is noticed while a request is served.
type callerListener struct{ net.Listener }

// Accept waits for the next connection.
func (l callerListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConnection{Conn: accepted, gone: func() {}}, nil
}

// callerConnection is a caller's connection. While a request is served, net/http looks for the end of its connection with a read of one
// byte, and looks no further where that brings the first byte of the next request: replicas would work on for a caller who sent
// that and left. From there on the connection itself reads ahead.
type callerConnection struct {
	net.Conn
	// gone is called when the end is found; it is set before the first read.
	gone func()

	// mutex guards the fields below.
	mutex sync.Mutex
	// deadline is the server's own for reads.
	deadline time.Time
	// reading is closed when reading ahead has ended; nil where it has not begun.
	reading chan struct{}
	// ahead is what was read; failure ended it, where the server did not.
	ahead   []byte
	failure error
}

// withCaller has a request's context end with its caller's connection, and carry it.
func withCaller(ctx context.Context, connection net.Conn) context.Context {
	ctx = context.WithValue(ctx, connectionKey{}, connection)
	caller, is := connection.(*callerConnection)
	if !is {
		return ctx
	}
	ctx, caller.gone = context.WithCancel(ctx)
	return ctx
}

// Read reads for the server.
func (c *callerConnection) Read(into []byte) (int, error) {
	if count, done, err := c.takeAhead(into); done {
		return count, err
	}
	count, err := c.Conn.Read(into)
	if count == 1 && len(into) == 1 && err == nil {
		c.readAhead()
	}
	return count, err
}

// takeAhead ends the reading ahead and gives out what it brought; done is false where that is nothing.
func (c *callerConnection) takeAhead(into []byte) (count int, done bool, err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.reading != nil {
		// A connection that takes no deadline has ended, and with it the reading.
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
		reading := c.reading
		c.mutex.Unlock()
		<-reading
		c.mutex.Lock()
		c.reading = nil
		_ = c.Conn.SetReadDeadline(c.deadline)
	}
	if len(c.ahead) > 0 {
		count = copy(into, c.ahead)
		c.ahead = c.ahead[count:]
		return count, true, nil
	}
	return 0, c.failure != nil, c.failure
}

// readAhead begins to read ahead.
func (c *callerConnection) readAhead() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	ended := make(chan struct{})
	c.reading = ended
	go func() {
		defer close(ended)
		for buffer := make([]byte, 1<<10); ; {
			count, err := c.Conn.Read(buffer)
			c.mutex.Lock()
			c.ahead = append(c.ahead, buffer[:count]...)
			full := len(c.ahead) >= maxReadAhead
			if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
				c.failure = err
			}
			failed := c.failure != nil
			c.mutex.Unlock()
			if failed {
				c.gone()
			}
			if full || err != nil {
				return
			}
		}
	}()
}

// SetReadDeadline sets the server's deadline for reads.
func (c *callerConnection) SetReadDeadline(deadline time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.deadline = deadline
	if c.reading != nil {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// SetDeadline sets the server's deadline for reads and writes.
func (c *callerConnection) SetDeadline(deadline time.Time) error {
	if err := c.SetReadDeadline(deadline); err != nil {
		return err
	}
	return c.SetWriteDeadline(deadline)
}

// Close closes the connection.
func (c *callerConnection) Close() error {
	c.gone()
	return c.Conn.Close()
}
