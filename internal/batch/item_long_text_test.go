package batch

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	batchpb "github.com/sloelift/sloelift/api/proto/batch"
	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/replica/replicatest"
)

// streamOfBytes writes a signed stream of events with about size bytes of data. It then ends the stream, or leaves the connection open if
// hold is set.
func streamOfBytes(size int, hold bool) replicatest.Script {
	const eventBytes = 32 << 10
	data := strings.Repeat("x", eventBytes)
	return func(connection net.Conn, request *http.Request) bool {
		_, err := fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nX-Id: %s\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
			request.Header.Get("X-Id"), replicatest.Signed)
		for number := 1; err == nil && number <= size/eventBytes; number++ {
			head := fmt.Sprintf("id: %d\ndata: ", number)
			_, err = fmt.Fprintf(connection, "%x\r\n%s%s\n\n\r\n", len(head)+len(data)+2, head, data)
		}
		if err == nil && hold {
			_, err = connection.Read(make([]byte, 1))
		}
		if err == nil {
			_, err = io.WriteString(connection, "0\r\n\r\n")
		}
		return err == nil
	}
}

// TestItemIsDoneAfterATextThatNoRecordHolds: a text longer than a record was kept. Each append of it failed, for good, and the item was
// never listed.
func TestItemIsDoneAfterATextThatNoRecordHolds(t *testing.T) {
	for name, hold := range map[string]bool{"answer ends": false, "answer goes on": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				service, fleet, network, routes := newService(singleReplica(replicatest.Then(
					streamOfBytes(2*ledger.MaxRecordBytes, hold), replicatest.Stream("s", true, false, eventOne, eventTwo))))
				// The text is not too long beside others, only for a record.
				service.options.MaxBytes = 64 * ledger.MaxRecordBytes
				owner := startPartition(t, unconfined, service, fleet, network, routes)
				defer owner.stop()
				owner.mustSubmit(t, testSubmission("long", 1))
				for number := range 60 {
					owner.mustSubmit(t, testSubmission(fmt.Sprintf("other-%d", number), 1))
					time.Sleep(50 * time.Millisecond)
				}
				result := owner.results(t, "long", 1, 10*time.Second)[0]
				if result.State != batchpb.State_STATE_SUCCEEDED || result.Text != "a\nb" {
					t.Errorf("the item is %s with a text of %d bytes", result.State, len(result.Text))
				}
			})
		})
	}
}
