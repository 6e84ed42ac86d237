package batch

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// slowReplica makes an event each pace, count in all, behind the one that a request names, until the caller closes the connection.
func slowReplica(count int, pace time.Duration) func(connection net.Conn, request *http.Request) bool {
	return func(connection net.Conn, request *http.Request) bool {
		_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
			request.Header.Get("X-Id"))
		last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
		for number := last + 1; number <= count; number++ {
			time.Sleep(pace)
			event := fmt.Sprintf("id: %d\ndata: %d\n\n", number, number)
			if _, err := fmt.Fprintf(connection, "%x\r\n%s\r\n", len(event), event); err != nil {
				return false
			}
		}
		_, err := connection.Write([]byte("0\r\n\r\n"))
		return err == nil
	}
}

// TestItemsRunUnderLeases: a long item is run in parts, each under a deadline that ends soon after its owner would be lost; together they
// are the whole text.
func TestItemsRunUnderLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const events = 50
		owner := own(t, only(slowReplica(events, 100*time.Millisecond)))
		owner.mustSubmit(t, batchOf("j", 1))
		result := owner.results(t, "j", 1, 20*time.Second)[0]
		var want []string
		for number := range events {
			want = append(want, strconv.Itoa(number+1))
		}
		if result.Text != strings.Join(want, "\n") {
			t.Errorf("text is %q", result.Text)
		}
		owner.end()
		runs := owner.replicas.Requests()
		if len(runs) < 4 || len(runs) > 6 {
			t.Errorf("%d runs of an item of 5 s", len(runs))
		}
		for number, run := range runs {
			deadline, err := strconv.Atoi(run.Header.Get("X-Deadline"))
			if err != nil || time.Duration(deadline)*time.Millisecond > longestLease || (number > 0) != (run.Header.Get("Last-Event-Id") != "") {
				t.Errorf("run %d has %v", number, run.Header)
			}
		}
	})
}

func TestLeaseIsAsShortAsItsBeginAllows(t *testing.T) {
	for _, test := range []struct{ resume, want time.Duration }{
		{0, leastLease}, {10 * time.Millisecond, leastLease}, {30 * time.Millisecond, 3 * time.Second}, {time.Second, longestLease},
	} {
		term := &leaseTerm{}
		if test.resume > 0 {
			term.observe(test.resume)
		}
		if got := term.length(); got != test.want {
			t.Errorf("a begin of %s gives a lease of %s, want %s", test.resume, got, test.want)
		}
	}
}
