package forward

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/replica/replicatest"
	"github.com/sloelift/sloelift/internal/route"
)

// TestCopiedReplicaAtAnothersAddress covers a replica known only from a copy, at whose address there is another service now. Requests name
// the replica that they are for, so that service answers 421. It is asked once: that request goes on to the next replica, and later
// requests go there directly.
func TestCopiedReplicaAtAnothersAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		edge := newEdgeUnderTest(t, route.NotRepeatable, false, map[string]replicatest.Script{
			"a": replicatest.Answer(http.StatusMisdirectedRequest, anotherInstance, "another"), "b": replicatest.Answer(http.StatusOK, "X-Signature: s\r\n", "done"),
		})
		var infos []replica.Info
		for _, id := range []string{"a", "b"} {
			infos = append(infos, *edge.directory.View().Find(id).Info())
		}
		edge.directory.ReplaceByCopy(infos)
		for range 3 {
			if recorded, _ := edge.call(nil); recorded.Code != http.StatusOK {
				t.Errorf("status %d", recorded.Code)
			}
			time.Sleep(time.Second)
		}
		asked := map[string]int{}
		for _, request := range edge.replicas.Requests() {
			asked[request.Header.Get("X-Instance")]++
		}
		if asked["a"] != 1 || asked["b"] != 3 {
			t.Errorf("asked %v, want the misdirected replica once", asked)
		}
	})
}
