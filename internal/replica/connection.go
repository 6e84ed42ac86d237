package replica

import (
	"bufio"
	"fmt"
	"io"
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
	// maxHeadBytes limits the status line and headers of a response: four times what callers may send by default.
	maxHeadBytes = 64 << 10
	// idleMargin is subtracted from the replica's timeout, so that no request is sent while the replica closes the connection.
	idleMargin = 900 * time.Millisecond
)

// connection is one HTTP/1.1 connection to a replica; one request uses it at a time.
type connection struct {
	net net.Conn
	// source is what reader reads from.
	source    *headLimiter
	reader    *bufio.Reader
	idleUntil time.Time
}

func newConnection(raw net.Conn) *connection {
	source := &headLimiter{source: raw}
	return &connection{net: raw, source: source, reader: bufio.NewReaderSize(source, readBufferBytes)}
}

// readHead reads the status line and headers of a response to request. The body is not limited.
func (c *connection) readHead(request *http.Request) (*http.Response, error) {
	c.source.limit(maxHeadBytes)
	defer c.source.unlimit()
	return http.ReadResponse(c.reader, request)
}

// errHeadTooLarge means that a response's status line and headers exceed maxHeadBytes, or do not end.
var errHeadTooLarge = fmt.Errorf("the head of the response exceeds %d bytes", maxHeadBytes)

// headLimiter limits how much is read from source while the head of a response is read: net/http sets no limit of its own.
type headLimiter struct {
	source  io.Reader
	limited bool
	left    int
}

func (l *headLimiter) limit(most int) { l.limited, l.left = true, most }

func (l *headLimiter) unlimit() { l.limited = false }

// Read implements io.Reader.
func (l *headLimiter) Read(target []byte) (int, error) {
	if !l.limited {
		return l.source.Read(target)
	}
	if l.left <= 0 {
		return 0, errHeadTooLarge
	}
	count, err := l.source.Read(target[:min(len(target), l.left)])
	l.left -= count
	return count, err
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
