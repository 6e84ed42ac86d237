package batch

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/sloelift/sloelift/internal/replica/replicatest"
)

// writeResponse writes a response with the request's id and the replica's signature in the place of %s.
func writeResponse(format string) replicatest.Script {
	return func(connection net.Conn, request *http.Request) bool {
		proven := "X-Id: " + request.Header.Get("X-Id") + "\r\n" + replicatest.Signed
		_, err := io.WriteString(connection, fmt.Sprintf(format, proven))
		return err == nil
	}
}

// TestResponseWithAnInvalidHeadIsNoResult: events behind the head of such a response are not those of the item.
func TestResponseWithAnInvalidHeadIsNoResult(t *testing.T) {
	const spoilt = "Content-Length: 17\r\n\r\nid: 1\ndata: bad\n\n"
	for name, response := range map[string]string{
		"status 000":               "HTTP/1.1 000 \r\n%s" + spoilt,
		"status 600":               "HTTP/1.1 600 X\r\n%s" + spoilt,
		"blank in a name":          "HTTP/1.1 200 OK\r\n%sX Odd: 1\r\n" + spoilt,
		"blank behind the framing": "HTTP/1.1 200 OK\r\n%sTransfer-Encoding : chunked\r\n" + spoilt,
	} {
		t.Run(name, func(t *testing.T) { expectDoneAfter(t, writeResponse(response)) })
	}
}
