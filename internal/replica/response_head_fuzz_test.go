package replica

import (
	"bytes"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
)

// bytesConn is a connection on which the given bytes have been received.
type bytesConn struct {
	net.Conn
	received *bytes.Reader
}

func (c bytesConn) Read(target []byte) (int, error) { return c.received.Read(target) }

// FuzzResponseHead checks that a head which is accepted is read by net/http as it stands: every line is a field with its name and value, and
// nothing is joined, dropped or left for the body.
func FuzzResponseHead(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nX-Id: i\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 200 OK\nx-id:i\nTransfer-Encoding: chunked\n\n4\r\nbody\r\n0\r\n\r\n",
		"HTTP/1.0 503 \r\nA: \r\nA:\tb\t\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX Odd: 1\r\nY: a\r\n b\r\n\r\n",
		"HTTP/1.1 000 \r\n: 1\r\n\r\r\n\r\n",
		"HTTP/1.1 204 X\r\nContent-Length: 0\r\nPragma: no-cache\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, received []byte) {
		used := newConnection(bytesConn{received: bytes.NewReader(received)})
		response, err := used.readHead(&http.Request{Method: http.MethodPost})
		if err != nil {
			return
		}
		head, _, found := strings.Cut(strings.ReplaceAll(string(received), "\r\n", "\n"), "\n\n")
		if !found {
			t.Fatalf("%q has no end of its head", received)
		}
		lines := strings.Split(head, "\n")
		if _, status, _ := strings.Cut(lines[0], " "); !strings.HasPrefix(status, response.Status[:len("200")]) {
			t.Errorf("status %q of the line %q", response.Status, lines[0])
		}
		fields := 0
		for _, line := range lines[1:] {
			name, value, _ := strings.Cut(line, ":")
			name, value = http.CanonicalHeaderKey(name), strings.Trim(value, " \t")
			if name == "Content-Length" || name == "Transfer-Encoding" || name == "Trailer" {
				continue // net/http removes these and keeps their meaning.
			}
			fields++
			if !slices.Contains(response.Header[name], value) {
				t.Errorf("the field %q has the values %q, without %q", name, response.Header[name], value)
			}
		}
		for name, values := range response.Header {
			if name != "Content-Length" && name != "Cache-Control" {
				fields -= len(values)
			}
		}
		if fields < 0 {
			t.Errorf("%q has fewer fields than %v", head, response.Header)
		}
	})
}
