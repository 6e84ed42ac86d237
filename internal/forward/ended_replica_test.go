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

// TestReplicaThatAnswersAgainHasCostAnAttempt: a run whose replica is taken for ended costs a request none of its attempts, since a replica
// that has ended runs nothing. One that refuses connections for a moment and then answers has run the request as any other: with two
// attempts allowed, the request ran on three replicas that live, and with up to three such replicas on five.
func TestReplicaThatAnswersAgainHasCostAnAttempt(t *testing.T) {
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

// addThirdReplica adds the replica "c".
func (e *edgeUnderTest) addThirdReplica(script replicatest.Script) {
	address := netip.MustParseAddrPort("127.0.0.1:1002")
	second := netip.MustParseAddrPort("127.0.0.1:1001")
	e.replicas.Scripts[address], e.replicas.Scripts[second] = script, script
	e.directory.Update([]replica.Info{{ID: "c", Service: "s", Zone: "far", Address: address, Slots: 8}}, nil)
}

// loseAfterAnswerOf reads a request and closes the connection; where answers is set, another replica has answered meanwhile.
func (e *edgeUnderTest) loseAfterAnswerOf(other string, answers bool) replicatest.Script {
	return func(net.Conn, *http.Request) bool {
		time.Sleep(time.Millisecond)
		if answers {
			e.directory.View().Find(other).NoteAnswer()
		}
		return false
	}
}
