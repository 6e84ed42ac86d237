package forward

import (
	"net/netip"
	"testing"
	"testing/synctest"

	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/replica/replicatest"
	"github.com/sloelift/sloelift/internal/route"
)

// newVersionedEdge returns an edge with a replica of v1, "a", and one of v2, "b".
func newVersionedEdge(t *testing.T, scripts map[string]replicatest.Script) *edgeUnderTest {
	t.Helper()
	edge := newEdgeUnderTest(t, route.Stream, true, scripts)
	edge.setEntry("b", func(info *replica.Info) { info.Version = "v2" })
	return edge
}

// setEntry changes the entry of a replica.
func (e *edgeUnderTest) setEntry(id string, change func(*replica.Info)) {
	info := *e.directory.View().Find(id).Info()
	change(&info)
	e.directory.Update([]replica.Info{info}, nil)
}

// addReplica adds a replica like "b" in another zone.
func (e *edgeUnderTest) addReplica(id, version string, port uint16, script replicatest.Script) {
	address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)
	e.replicas.Scripts[address] = script
	e.directory.Update([]replica.Info{{ID: id, Service: "s", Version: version, Zone: "far", Address: address, Slots: 8}}, nil)
}

// TestStreamOfACrashedReplicaIsNotResumedAtAnotherVersion: within one answer, only a replica of the version that began the stream goes on.
func TestStreamOfACrashedReplicaIsNotResumedAtAnotherVersion(t *testing.T) {
	for _, test := range []struct {
		name    string
		third   string
		body    string
		aborted bool
	}{
		{"no other replica of its version", "v2", eventOne, true},
		{"another replica of its version", "v1", eventOne + eventThree, false},
		{"a replica without a version", "", eventOne, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				edge := newVersionedEdge(t, map[string]replicatest.Script{
					"a": replicatest.Stream("s1", false, false, eventOne), "b": replicatest.Stream("s2", true, false, eventTwo),
				})
				edge.addReplica("c", test.third, 1002, replicatest.Stream("s3", true, false, eventThree))
				recorded, aborted := edge.call(nil)
				edge.replicas.CloseAll()
				if recorded.Body.String() != test.body || aborted != test.aborted {
					t.Errorf("body %q, aborted %t; want %q, %t", recorded.Body, aborted, test.body, test.aborted)
				}
			})
		})
	}
}
