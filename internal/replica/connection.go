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
	// defaultIdleTimeout applies if the replica's Keep-Alive header names no timeout.
	defaultIdleTimeout = 30 * time.Second
	// idleMargin is subtracted from the replica's timeout, so that no request is sent while the replica closes the connection.
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

// reusable reports whether the replica has neither closed the idle connection nor sent unsolicited bytes on it.
func (c *connection) reusable() bool {
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
	empty := false
	err = raw.Read(func(descriptor uintptr) bool {
		var peeked [1]byte
		_, _, errno := syscall.Recvfrom(int(descriptor), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = errno == syscall.EAGAIN
		return true
	})
	return err == nil && empty
}

// idleTimeout returns how long the connection may stay idle after answer; 0 if the replica closes it.
func idleTimeout(answer *http.Response) time.Duration {
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
	return defaultIdleTimeout
}
