package forward

import (
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sloelift/sloelift/internal/replica/replicatest"
	"github.com/sloelift/sloelift/internal/route"
)

// delayed runs a script after a wait.
func delayed(wait time.Duration, script replicatest.Script) replicatest.Script {
	return func(connection net.Conn, request *http.Request) bool {
		time.Sleep(wait)
		return script(connection, request)
	}
}

// TestSilentAttemptIsKeptWhileNoOtherMayFollow: with an exhausted retry budget, a late answer is better than none.
func TestSilentAttemptIsKeptWhileNoOtherMayFollow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		edge := newEdgeUnderTest(t, route.Stream, true, map[string]replicatest.Script{
			"a": delayed(600*time.Millisecond, replicatest.Stream("s", true, false, "id: 1\ndata: x\n\n")), "b": replicatest.Hang(),
		})
		for edge.Handler.budget.take() {
		}
		edge.Handler.budget.limiter.SetLimit(0)
		recorded, aborted := edge.call(nil)
		if recorded.Code != http.StatusOK || aborted {
			t.Errorf("status %d, aborted %v: the attempt was cancelled although the budget allows no other", recorded.Code, aborted)
		}
		if requests := len(edge.replicas.Requests()); requests != 1 {
			t.Errorf("%d attempts, want 1", requests)
		}
		edge.replicas.CloseAll()
		time.Sleep(time.Second)
	})
}

// TestSilentConnectionsToAReplicaAreGivenUpTogether covers idle connections to a replica that all go silent without a reset, while new
// ones work. The first request on one of them detects it, and no later request is sent on another.
func TestSilentConnectionsToAReplicaAreGivenUpTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stream := delayed(10*time.Millisecond, replicatest.Stream("s", true, false, "id: 1\ndata: x\n\n"))
		edge := newEdgeUnderTest(t, route.Stream, true, map[string]replicatest.Script{"a": stream, "b": stream})
		const kept = 6
		var calls sync.WaitGroup
		for range kept {
			calls.Go(func() { edge.call(nil) })
		}
		calls.Wait()
		if silenced := edge.silencer.Silence(); silenced < kept {
			t.Fatalf("%d connections are kept, want %d", silenced, kept)
		}
		late := 0
		for range 2 * kept {
			// Answers to other requests show that the zone is reachable, so that idle connections are used.
			edge.directory.View().Find("a").NoteAnswer()
			began := time.Now()
			recorded, aborted := edge.call(nil)
			if recorded.Code != http.StatusOK || aborted {
				t.Errorf("status %d, aborted %v", recorded.Code, aborted)
			}
			if time.Since(began) > 200*time.Millisecond {
				late++
			}
			time.Sleep(2 * time.Second)
		}
		if late > 1 {
			t.Errorf("%d requests were sent on silent connections", late)
		}
		edge.replicas.CloseAll()
		time.Sleep(time.Second)
	})
}
