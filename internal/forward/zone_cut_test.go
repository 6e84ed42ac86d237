package forward

import (
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/replica/replicatest"
	"github.com/sloelift/sloelift/internal/route"
)

// addFarReplicas adds count replicas, all answering, in two other zones, and fills most slots of the near one, so that the far ones are
// preferred. It returns their addresses.
func (e *edgeUnderTest) addFarReplicas(script replicatest.Script, count int) (addresses []netip.AddrPort) {
	infos := []replica.Info{*e.directory.View().Find("a").Info()}
	for index := range count {
		address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(2000+index))
		addresses = append(addresses, address)
		e.replicas.Scripts[address] = script
		infos = append(infos, replica.Info{ID: "far-" + string(rune('a'+index)), Service: "s", Version: "v1", Zone: []string{"far", "farther"}[index%2], Address: address, Slots: 8})
	}
	e.directory.Replace(infos)
	for range 6 {
		e.directory.View().Find("a").Acquire()
	}
	return addresses
}

// countSlowCalls sends count requests one after the other; it returns how many took longer than longest, and the longest time.
func (e *edgeUnderTest) countSlowCalls(t *testing.T, count int, longest time.Duration) (slow int, worst time.Duration) {
	t.Helper()
	for range count {
		began := time.Now()
		recorded, aborted := e.call(nil)
		if recorded.Code != http.StatusOK || aborted {
			t.Errorf("status %d, aborted %v", recorded.Code, aborted)
		}
		took := time.Since(began)
		worst = max(worst, took)
		if took > longest {
			slow++
		}
		time.Sleep(100 * time.Millisecond)
	}
	return slow, worst
}

// TestZoneThatIsCutOffCostsFewRequests: the replicas of such a zone look idle, but the first failed connections show that none is reachable.
// A request that may run only once is not sent on an idle connection from before, and none waits longer for a connection than its
// connect timeout.
func TestZoneThatIsCutOffCostsFewRequests(t *testing.T) {
	t.Run("silent", func(t *testing.T) { testZoneCut(t, false) })
	t.Run("refused", func(t *testing.T) { testZoneCut(t, true) })
}

func testZoneCut(t *testing.T, refused bool) {
	const longest = 90 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		stream := delayed(10*time.Millisecond, replicatest.Stream("s", true, false, "id: 1\ndata: x\n\n"))
		edge := newEdgeUnderTest(t, route.Stream, false, map[string]replicatest.Script{"a": stream})
		far := edge.addFarReplicas(stream, 8)
		if slow, _ := edge.countSlowCalls(t, 10, longest); slow > 0 || edge.replicas.Connections() == 0 {
			t.Fatalf("%d slow requests while all is well", slow)
		}
		time.Sleep(2 * time.Second)
		edge.silencer.Silence()
		if refused {
			edge.silencer.Refuse()
		}
		edge.silencer.CutOff(far...)
		slow, worst := edge.countSlowCalls(t, 30, longest)
		if slow > 2 || worst > 4*minConnectTimeout+longest {
			t.Errorf("%d of 30 requests were delayed by a zone that is cut off, the slowest took %s", slow, worst)
		}
		edge.silencer.CutOff()
		time.Sleep(time.Second)
		edge.countSlowCalls(t, 3, longest)
		if handle := edge.directory.View().Find("far-a"); handle.ZoneCutOff() {
			t.Error("a zone that is reachable again still counts as cut off")
		}
		edge.replicas.CloseAll()
		time.Sleep(time.Second)
	})
}
