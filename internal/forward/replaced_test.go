package forward

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sloelift/sloelift/internal/replica/replicatest"
	"github.com/sloelift/sloelift/internal/route"
)

// TestMisdirectedReplicaIsTriedOnce: one request finds out, and later ones do not try the replica.
func TestMisdirectedReplicaIsTriedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		edge := newEdgeUnderTest(t, route.NotRepeatable, false, map[string]replicatest.Script{
			"a": replicatest.Answer(http.StatusMisdirectedRequest, anotherInstance, "another"), "b": replicatest.Answer(http.StatusOK, replicatest.Signed, "ok"),
		})
		for range 5 {
			if recorded, _ := edge.call(nil); recorded.Code != http.StatusOK {
				t.Errorf("status %d", recorded.Code)
			}
			time.Sleep(300 * time.Millisecond)
		}
		if sent := len(edge.replicas.Requests()); sent != 6 {
			t.Errorf("%d requests were sent, want one to the replaced replica and 5 to the other", sent)
		}
	})
}
