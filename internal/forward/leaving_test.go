package forward

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"

	"github.com/sloelift/sloelift/internal/network"
	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/replica/replicatest"
	"github.com/sloelift/sloelift/internal/route"
)

// leavingNetwork calls leave in the first Dial.
type leavingNetwork struct {
	network.Network
	leave func()
}

func (n *leavingNetwork) Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	if leave := n.leave; leave != nil {
		n.leave = nil
		leave()
	}
	return n.Network.Dial(ctx, address)
}

// TestRequestGoesElsewhereIfItsReplicaLeaves: the replica that was picked begins to drain while the connection to it is made. The request,
// also one that must not be repeated, is served by another replica; the first one is used again once it no longer drains.
func TestRequestGoesElsewhereIfItsReplicaLeaves(t *testing.T) {
	for _, kind := range []route.Kind{route.Repeatable, route.NotRepeatable} {
		synctest.Test(t, func(t *testing.T) {
			edge := newEdgeUnderTest(t, kind, false, map[string]replicatest.Script{
				"a": replicatest.Answer(http.StatusOK, replicatest.Signed, "from a"), "b": replicatest.Answer(http.StatusOK, replicatest.Signed, "from b"),
			})
			leaving := &leavingNetwork{Network: edge.silencer, leave: func() {
				edge.setEntry("a", func(info *replica.Info) { info.Draining = true })
			}}
			edge.client = replica.NewClient(leaving, replicatest.Headers)
			recorded, aborted := edge.call(nil)
			edge.replicas.CloseAll()
			if recorded.Code != http.StatusOK || aborted || recorded.Body.String() != "from b" {
				t.Errorf("status %d, aborted %t: %s", recorded.Code, aborted, recorded.Body)
			}
			if sent := len(edge.replicas.Requests()); sent != 1 {
				t.Errorf("%d requests reached replicas, want 1", sent)
			}
			edge.setEntry("a", func(info *replica.Info) { info.Draining = false })
			if !edge.directory.View().Find("a").Usable() {
				t.Error("replica a is not usable after it stopped draining")
			}
		})
	}
}
