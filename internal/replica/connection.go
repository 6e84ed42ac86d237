package replica

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	readBufferBytes = 8 << 10
	// idleDefault is how long a connection is kept where the replica names no time.
	idleDefault = 30 * time.Second
	// idleMargin is taken off the time that the replica names, so that the two ends do not cross.
	idleMargin = 900 * time.Millisecond
)

// connection is one HTTP/1.1 connection to a replica; one request uses it at a time.
type connection struct {
	net       net.Conn
	reader    *bufio.Reader
	idleUntil time.Time
}

func newConnection(raw net.Conn) *connection {
	return &connection{net: raw, reader: bufio.NewReaderSize(raw, readBufferBytes)}
}

func (c *connection) close() { _ = c.net.Close() }

// quiet says that the other end has neither closed the idle connection nor sent bytes that no request waits for.
func (c *connection) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	socket, is := c.net.(syscall.Conn)
	if !is {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	nothing := false
	err = raw.Read(func(descriptor uintptr) bool {
		var peeked [1]byte
		_, _, failure := syscall.Recvfrom(int(descriptor), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		nothing = failure == syscall.EAGAIN
		return true
	})
	return err == nil && nothing
}

// keepFor reads how long the replica keeps the connection idle; zero where it closes it.
func keepFor(answer *http.Response) time.Duration {
	if answer.Close {
		return 0
	}
	for _, part := range strings.Split(answer.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil {
			continue
		}
		return max(0, time.Duration(seconds)*time.Second-idleMargin)
	}
	return idleDefault
}
