package forward

import (
	"net"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sloelift/sloelift/internal/clock/clocktest"
	"github.com/sloelift/sloelift/internal/replica/replicatest"
	"github.com/sloelift/sloelift/internal/route"
)

// TestDeadlineOfARepeatCountsSuspension: the caller's deadline keeps running while this machine is suspended.
func TestDeadlineOfARepeatCountsSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		loseAfterSuspension := func(connection net.Conn, request *http.Request) bool {
			clocktest.Suspend(t, 3*time.Second)
			return replicatest.Lose()(connection, request)
		}
		edge := newEdgeUnderTest(t, route.Repeatable, false, map[string]replicatest.Script{"a": loseAfterSuspension, "b": replicatest.Answer(200, replicatest.Signed, "x")})
		edge.call(nil)
		edge.replicas.CloseAll()
		sent := edge.replicas.Requests()
		if len(sent) != 2 {
			t.Fatalf("%d attempts", len(sent))
		}
		if left, err := strconv.Atoi(sent[1].Header.Get("X-Deadline")); err != nil || left > 1000 {
			t.Errorf("the retry allows %q ms, want at most 1000", sent[1].Header.Get("X-Deadline"))
		}
	})
}
