package forward

import (
	"net"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/replica/replicatest"
	"github.com/sloelift/sloelift/internal/route"
)

// TestRunAtReplicaThatAnswersAgainCountsAsAttempt guards against more runs than the route allows. A run whose replica is taken to have ended
// does not count as an attempt, since an ended replica runs nothing. A replica that refuses connections for a moment and then answers has
// run the request like any other. Before its run was counted, a request with two allowed attempts ran on three live
// replicas, and with up to three such replicas on five.
func TestRunAtReplicaThatAnswersAgainCountsAsAttempt(t *testing.T) {
	for name, test := range map[string]struct {
		answersAgain bool
		requests     int
	}{
		"ended":         {requests: 3},
		"answers again": {answersAgain: true, requests: 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				edge := newEdgeUnderTest(t, route.Repeatable, false, map[string]replicatest.Script{"a": replicatest.Lose()})
				edge.addThirdReplica(replicatest.Lose())
				edge.Handler.quarantine = &fakeRegister{ended: true, endedFirst: 1}
				edge.routes.Table().Routes[0].Attempts = 2
				for address := range edge.replicas.Scripts {
					if address != edge.directory.View().Find("a").Info().Address {
						edge.replicas.Scripts[address] = edge.loseAfterAnswerOf("a", test.answersAgain)
					}
				}
				recorded, _ := edge.call(nil)
				if requests := len(edge.replicas.Requests()); requests != test.requests || recorded.Code == http.StatusOK {
					t.Errorf("status %d after %d attempts, want %d", recorded.Code, requests, test.requests)
				}
				edge.replicas.CloseAll()
			})
		})
	}
}

// addThirdReplica adds the replica "c"; it and "b" get the script.
func (e *edgeUnderTest) addThirdReplica(script replicatest.Script) {
	address := netip.MustParseAddrPort("127.0.0.1:1002")
	second := netip.MustParseAddrPort("127.0.0.1:1001")
	e.replicas.Scripts[address], e.replicas.Scripts[second] = script, script
	e.directory.Update([]replica.Info{{ID: "c", Service: "s", Version: "v1", Zone: "far", Address: address, Slots: 8}}, nil)
}

// loseAfterAnswerOf reads a request and closes the connection; if answers is set, the other replica has answered in the meantime.
func (e *edgeUnderTest) loseAfterAnswerOf(other string, answers bool) replicatest.Script {
	return func(net.Conn, *http.Request) bool {
		time.Sleep(time.Millisecond)
		if answers {
			e.directory.View().Find(other).NoteAnswer()
		}
		return false
	}
}
