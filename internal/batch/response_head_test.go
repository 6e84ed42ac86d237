package batch

import (
	"testing"

	"github.com/sloelift/sloelift/internal/replica/replicatest"
)

// TestResponseWithAnInvalidHeadIsNoResult: events behind the head of such a response are not those of the item.
func TestResponseWithAnInvalidHeadIsNoResult(t *testing.T) {
	const (
		proven = "X-Id: {id}\r\n" + replicatest.Signed
		spoilt = "Content-Length: 17\r\n\r\nid: 1\ndata: bad\n\n"
	)
	for name, response := range map[string]string{
		"status 000":               "HTTP/1.1 000 \r\n" + proven + spoilt,
		"status 600":               "HTTP/1.1 600 X\r\n" + proven + spoilt,
		"blank in a name":          "HTTP/1.1 200 OK\r\n" + proven + "X Odd: 1\r\n" + spoilt,
		"blank behind the framing": "HTTP/1.1 200 OK\r\n" + proven + "Transfer-Encoding : chunked\r\n" + spoilt,
	} {
		t.Run(name, func(t *testing.T) { expectDoneAfter(t, replicatest.Raw(response)) })
	}
}
