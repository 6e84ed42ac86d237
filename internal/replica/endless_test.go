package replica_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/replica/replicatest"
)

// writeEndlessly writes prefix and then piece again and again, until the other end closes the connection or most bytes are
// written. It returns the number of bytes written.
func writeEndlessly(connection net.Conn, prefix, piece string, most int) int {
	written, err := io.WriteString(connection, prefix)
	repeated := bytes.Repeat([]byte(piece), 4096/len(piece))
	for err == nil && written < most {
		var count int
		count, err = connection.Write(repeated)
		written += count
	}
	return written
}

// TestAnswerWithoutEndIsCutOff guards the memory of edges and owners against a replica whose answer has a status line, a head, a
// chunk extension or a trailer without end: such bytes were collected until the request's time-out.
func TestAnswerWithoutEndIsCutOff(t *testing.T) {
	const (
		// most is what may be read of a head, or beside a body, that does not end.
		most    = 256 << 10
		written = 16 << 20
		head    = "HTTP/1.1 200 OK\r\nX-Id: i\r\n"
		chunked = head + "Transfer-Encoding: chunked\r\n"
	)
	for name, answer := range map[string]struct{ prefix, piece string }{
		"status line":       {"HTTP/1.1 200 ", "x"},
		"status line alone": {"", "x"},
		"header line":       {head + "X-Long: ", "x"},
		"header lines":      {head, "X-More: y\r\n"},
		"continued line":    {head + "X-Long: y\r\n", " z\r\n"},
		"interim responses": {"", "HTTP/1.1 102 Processing\r\nX-More: y\r\n\r\n"},
		"chunk extension":   {chunked + "\r\n1;x=", "y"},
		"chunk length":      {chunked + "\r\n", "0"},
		"trailer":           {chunked + "Trailer: X-More\r\n\r\n1\r\na\r\n0\r\n", "X-More: y\r\n"},
		"other's head":      {strings.Replace(head, "X-Id: i", "X-Id: other", 1), "X-More: y\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			address := netip.MustParseAddrPort("127.0.0.1:1000")
			sent := make(chan int, 1)
			network := &replicatest.Network{Scripts: map[netip.AddrPort]replicatest.Script{
				address: func(connection net.Conn, _ *http.Request) bool {
					sent <- writeEndlessly(connection, answer.prefix, answer.piece, written)
					return false
				},
			}}
			defer network.CloseAll()
			handle := replica.NewHandle(replica.Info{ID: "a", Service: "s", Address: address, Slots: 1})
			client := replica.NewClient(network, replicatest.Headers)
			received, err := client.Do(t.Context(), handle, replica.Call{Method: http.MethodGet, Target: "/", Host: "h", RequestID: "i"})
			if err == nil {
				_, err = io.Copy(io.Discard, received.Body)
				received.Close(err == nil)
			}
			if err == nil {
				t.Error("an answer without end is complete")
			}
			select {
			case count := <-sent:
				if count > most {
					t.Errorf("%d bytes were read, want %d at most", count, most)
				}
			case <-time.After(10 * time.Second):
				t.Error("the connection is not closed")
			}
		})
	}
}

// TestLongHeadIsRead: a head that ends is read, also one that is long and one behind interim responses on a used connection.
func TestLongHeadIsRead(t *testing.T) {
	address := netip.MustParseAddrPort("127.0.0.1:1000")
	long := "X-Long: " + strings.Repeat("x", 32<<10) + "\r\n"
	answered := replicatest.Answer(http.StatusOK, replicatest.Signed+long+"Keep-Alive: timeout=5\r\n", strings.Repeat("b", 1<<20))
	network := &replicatest.Network{Scripts: map[netip.AddrPort]replicatest.Script{
		address: func(connection net.Conn, request *http.Request) bool {
			_, err := io.WriteString(connection, strings.Repeat("HTTP/1.1 102 Processing\r\n"+long+"\r\n", 4))
			return err == nil && answered(connection, request)
		},
	}}
	defer network.CloseAll()
	handle := replica.NewHandle(replica.Info{ID: "a", Service: "s", Address: address, Slots: 1})
	client := replica.NewClient(network, replicatest.Headers)
	for range 3 {
		answer, err := client.Do(t.Context(), handle, replica.Call{Method: http.MethodGet, Target: "/", Host: "h", RequestID: "i", Header: http.Header{"X-Id": {"i"}}})
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(answer.Body)
		answer.Close(err == nil)
		if err != nil || len(body) != 1<<20 {
			t.Fatalf("%d bytes of the body, error %v", len(body), err)
		}
	}
}
