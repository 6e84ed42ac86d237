package replica

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"testing"
)

// FuzzHead checks that what a call's head contains is read back as one request with the same parts, or is not written at all.
func FuzzHead(f *testing.F) {
	for _, seed := range []struct{ method, target, host, name, value string }{
		{"POST", "/a/b?c=d", "h.example", "X-Id", "i"},
		{"GET", "/a HTTP/1.1\r\nHost: h\r\n\r\nPOST /b", "h.example", "X-Id", "i"},
		{"POST", "/a", "h\r\nX-Other: y", "X-Id", "i"},
		{"POST", "/a", "h.example", "X-Id: j\r\nX-Other", "i"},
		{"POST", "/a", "h.example", "X-Id", "i\r\n\r\nPOST /b HTTP/1.1\r\n"},
		{"POST /b HTTP/1.1\r\n", "/a", "h.example", "X-Id", "i"},
		{"POST", "/\x00\x7f", "h.example", "X-Id", "\ti "},
		{"POST", "/a", "h.example", "Content-Length", "0"},
		{"POST", "/a", "h.example", "transfer-encoding", "chunked"},
		{"POST", "/\u00e4", "h.example:80", "X-Id", "\u00e4"},
	} {
		f.Add(seed.method, seed.target, seed.host, seed.name, seed.value)
	}
	f.Fuzz(func(t *testing.T, method, target, host, name, value string) {
		var buffer bytes.Buffer
		call := Call{Method: method, Target: target, Host: host, Header: http.Header{name: {value}}, Body: []byte("body")}
		if err := writeHead(&buffer, call); err != nil {
			if buffer.Len() > 0 {
				t.Errorf("%d bytes of an invalid head are written", buffer.Len())
			}
			return
		}
		buffer.Write(call.Body)
		reader := bufio.NewReader(&buffer)
		request, err := http.ReadRequest(reader)
		if err != nil {
			// net/http reads fewer targets than may be sent.
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil || string(body) != "body" || request.Method != method || request.RequestURI != target || len(request.Header) > 2 {
			t.Errorf("read back as %q %q with %d headers and the body %q, %v", request.Method, request.RequestURI, len(request.Header), body, err)
		}
		if rest, _ := io.ReadAll(reader); len(rest) > 0 {
			t.Errorf("%q stands behind the request", rest)
		}
	})
}
