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
	// maxIdleSeconds bounds the timeout that a Keep-Alive header can name.
	maxIdleSeconds = 24 * 60 * 60
	// maxHeadBytes limits the status line and headers of a response: four times what callers may send by default.
	maxHeadBytes = 64 << 10
	// idleMargin is subtracted from the replica's timeout, so that no request is sent while the replica closes the connection.
	idleMargin = 900 * time.Millisecond
)

// connection is one HTTP/1.1 connection to a replica; one request uses it at a time.
type connection struct {
	net net.Conn
	// source is what reader reads from.
	source    *headRecorder
	reader    *bufio.Reader
	idleUntil time.Time
}

func newConnection(raw net.Conn) *connection {
	source := &headRecorder{source: raw}
	return &connection{net: raw, source: source, reader: bufio.NewReaderSize(source, readBufferBytes)}
}

// readHead reads the status line and headers of a response to request, and checks them. The body is not limited.
func (c *connection) readHead(request *http.Request) (*http.Response, error) {
	// Peeking at what is buffered neither reads nor fails.
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	c.source.begin(buffered, maxHeadBytes)
	response, err := http.ReadResponse(c.reader, request)
	received := c.source.end()
	if err != nil {
		return nil, err
	}
	// What is still buffered is behind the head.
	if err := checkResponseHead(received[:len(received)-c.reader.Buffered()]); err != nil {
		return nil, err
	}
	return response, nil
}

// errHeadTooLarge means that a response's status line and headers exceed maxHeadBytes, or do not end.
var errHeadTooLarge = fmt.Errorf("the head of the response exceeds %d bytes", maxHeadBytes)

// headRecorder limits and records what is read from source while the head of a response is read: net/http sets no limit of its own, and
// does not return what it has read.
type headRecorder struct {
	source io.Reader
	// recording is true between begin and end; left is how many more bytes may be read until end, received what was read since begin.
	recording bool
	left      int
	received  []byte
}

// begin starts the recording with before, the bytes that were received but not consumed, and allows most bytes more.
func (r *headRecorder) begin(before []byte, most int) {
	r.recording, r.left, r.received = true, most, append([]byte(nil), before...)
}

// end ends the recording and returns it. Further bytes are not limited.
func (r *headRecorder) end() []byte {
	received := r.received
	r.recording, r.received = false, nil
	return received
}

// Read implements io.Reader.
func (r *headRecorder) Read(target []byte) (int, error) {
	if !r.recording {
		return r.source.Read(target)
	}
	if r.left <= 0 {
		return 0, errHeadTooLarge
	}
	count, err := r.source.Read(target[:min(len(target), r.left)])
	r.left -= count
	r.received = append(r.received, target[:count]...)
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
		return max(0, time.Duration(min(seconds, maxIdleSeconds))*time.Second-idleMargin)
	}
	return defaultIdleTimeout
}
