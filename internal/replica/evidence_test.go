package replica_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/replica/replicatest"
)

// callWithScript returns a client and the handle of a replica that answers by script.
func callWithScript(t *testing.T, script replicatest.Script) (*replica.Client, *replica.Handle) {
	t.Helper()
	address := netip.MustParseAddrPort("127.0.0.1:1000")
	network := &replicatest.Network{Scripts: map[netip.AddrPort]replicatest.Script{address: script}}
	t.Cleanup(network.CloseAll)
	return replica.NewClient(network, replicatest.Headers), replica.NewHandle(replica.Info{ID: "a", Service: "s", Address: address, Slots: 1})
}

// callWithID is a request that must carry the given id.
func callWithID(id string) replica.Call {
	return replica.Call{Method: http.MethodPost, Target: "/", Host: "h", RequestID: id, Header: http.Header{"X-Id": {id}}}
}

// TestLateCopyOfARefusalIsNotTheNextAnswer: a refusal without an id may be followed by a copy of itself, which looks like the answer to
// the next request on the connection. That request ran, and was taken for refused.
func TestLateCopyOfARefusalIsNotTheNextAnswer(t *testing.T) {
	const refusal = "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	var refusedOn net.Conn
	client, handle := callWithScript(t, func(connection net.Conn, request *http.Request) bool {
		if refusedOn == nil || refusedOn == connection {
			refusedOn = connection
			_, err := io.WriteString(connection, refusal)
			return err == nil
		}
		return replicatest.Answer(http.StatusOK, replicatest.Signed, "")(connection, request)
	})
	first, err := client.Do(t.Context(), handle, callWithID("one"))
	if err != nil {
		t.Fatal(err)
	}
	first.Close(true)
	second, err := client.Do(t.Context(), handle, callWithID("two"))
	if err != nil || second.Status != http.StatusOK {
		t.Fatalf("the next request on the connection got %+v, error %v", second, err)
	}
	second.Close(true)
	if !handle.KeptAlive() {
		t.Error("the connection of an answer with an id is not kept")
	}
}

// TestLoadOfAnUnprovenAnswerIsIgnored: a spoilt answer's headers tell nothing about its replica.
func TestLoadOfAnUnprovenAnswerIsIgnored(t *testing.T) {
	client, handle := callWithScript(t, func(connection net.Conn, _ *http.Request) bool {
		_, _ = fmt.Fprint(connection, "HTTP/1.1 503 X\r\nX-Load: 9,9,9\r\nContent-Length: 0\r\n\r\n")
		return false
	})
	_, err := client.Do(t.Context(), handle, callWithID("one"))
	if !errors.Is(err, replica.ErrUnproven) || errors.Is(err, replica.ErrNotSent) {
		t.Errorf("error %v, want one of an unproven answer that may have run", err)
	}
	if handle.Occupancy(time.Now()) > 0 {
		t.Error("the load of the unproven answer was recorded")
	}
}
