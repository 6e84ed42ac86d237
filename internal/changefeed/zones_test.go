package changefeed

import (
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	changefeedpb "github.com/sloelift/sloelift/api/proto/changefeed"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/transport"
	"github.com/sloelift/sloelift/internal/zonerelay"
)

// messageCounter counts the messages with changes sent to each node.
type messageCounter struct {
	mutex  sync.Mutex
	byNode map[netip.AddrPort]int
}

// count is for feedCluster.setDrop. It counts a message and loses none.
func (s *messageCounter) count(to netip.AddrPort, method transport.Method) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if method == methodChanges {
		s.byNode[to]++
	}
	return false
}

// totals returns the highest number of messages to one node and the number to all nodes.
func (s *messageCounter) totals() (most, all int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, count := range s.byNode {
		most = max(most, count)
		all += count
	}
	return most, all
}

// TestChangeReachesLargeFleetsThroughZones checks that, regardless of the number of nodes, each node receives a change at most once from
// each relay of its zone, and a relay once from each watcher.
func TestChangeReachesLargeFleetsThroughZones(t *testing.T) {
	for _, nodes := range []int{500, 1000, 2000} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := startFeeds(nodes)
				time.Sleep(2 * time.Second)
				sent := &messageCounter{byNode: map[netip.AddrPort]int{}}
				c.setDrop(sent.count)
				c.store.put("k1")
				time.Sleep(10 * time.Millisecond)
				c.wantDelivered(t, "k1", 1)
				most, all := sent.totals()
				// A relay also receives what the other relay of its zone sends.
				if most > watcherCount+zonerelay.RelaysPerZone-1 {
					t.Errorf("%d messages of one change to one node", most)
				}
				if all > (zonerelay.RelaysPerZone+1)*nodes {
					t.Errorf("%d messages of one change to %d nodes", all, nodes)
				}
				c.stop()
			})
		})
	}
}

// TestZoneWithoutRelaysWatches checks that the nodes of a zone learn of a change within watcherTimeout and a hold time, though one or all
// relays of the zone have stopped receiving messages without being noticed by membership.
func TestZoneWithoutRelaysWatches(t *testing.T) {
	for lost := range zonerelay.RelaysPerZone + 1 {
		t.Run(fmt.Sprint(lost), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := startFeeds(directFanout + 50)
				time.Sleep(2 * time.Second)
				relays := zonerelay.Select(c.views[0].View())
				unreachable := map[netip.AddrPort]bool{}
				for _, relay := range relays.InZone("z1")[:lost] {
					unreachable[relay.PeerAddress] = true
				}
				c.setDrop(func(to netip.AddrPort, _ transport.Method) bool { return unreachable[to] })
				c.store.put("k1")
				time.Sleep(watcherTimeout + 2*roleCheckInterval + watcherHold)
				c.wantDelivered(t, "k1", 1)
				c.stop()
			})
		})
	}
}

// TestLostChangeIsReadAfterAHeartbeat checks that nodes list a change that no relay of their zone received, once a heartbeat has a newer
// position.
func TestLostChangeIsReadAfterAHeartbeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startFeeds(directFanout + 50)
		time.Sleep(2 * time.Second)
		c.setDrop(func(_ netip.AddrPort, method transport.Method) bool { return method == methodChanges })
		c.store.put("k1")
		time.Sleep(2*heartbeatInterval + 2*roleCheckInterval)
		c.wantDelivered(t, "k1", 1)
		c.setDrop(nil)
		c.store.put("k2")
		time.Sleep(2 * batchDelay)
		c.wantDelivered(t, "k2", 1)
		c.stop()
	})
}

// TestRelaySendsOnWhatIsNewAndFollows checks that a relay does not relay changes that the other watcher has already sent, nor changes after
// a gap, which would make all nodes of the zone list.
func TestRelaySendsOnWhatIsNewAndFollows(t *testing.T) {
	zone := newRelayState()
	for _, step := range []struct {
		previous, last int64
		want           bool
	}{
		{5, 8, true}, {5, 8, false}, {6, 8, false}, {8, 10, true},
		{12, 14, false}, {10, 14, true}, {12, 14, false}, {14, 15, true},
	} {
		changes := &changefeedpb.Changes{Prefix: "k", Previous: step.previous, Changes: []*changefeedpb.Change{{Revision: step.last}}}
		if got := zone.acceptChanges(changes); got != step.want {
			t.Errorf("changes after %d up to %d are relayed: %t", step.previous, step.last, got)
		}
	}
}

// TestRelaySendsFewHeartbeats checks that a relay relays one of the watchers' heartbeats per interval, and each one with a newer position.
func TestRelaySendsFewHeartbeats(t *testing.T) {
	zone, now, sent := newRelayState(), time.Unix(1000, 0), 0
	for range 10 {
		for range watcherCount {
			if zone.acceptHeartbeat(&changefeedpb.Heartbeat{}, now) {
				sent++
			}
		}
		now = now.Add(heartbeatInterval)
	}
	if sent != 10 {
		t.Errorf("%d heartbeats relayed in 10 intervals, want 10", sent)
	}
	news := &changefeedpb.Heartbeat{Positions: []*changefeedpb.Position{{Prefix: "k", Revision: 3}}}
	if !zone.acceptHeartbeat(news, now.Add(-heartbeatInterval)) || zone.acceptHeartbeat(news, now.Add(-heartbeatInterval)) {
		t.Error("a heartbeat with a newer position was not relayed exactly once")
	}
}

// TestStoppedMemberIsNoRelay checks that watchers do not send through a node that is leaving.
func TestStoppedMemberIsNoRelay(t *testing.T) {
	view := &membership.View{Self: "a", Members: []membership.Member{
		{ID: "a", Zone: "z", State: membership.Leaving}, {ID: "b", Zone: "z"},
	}}
	if relays := zonerelay.Select(view); relays.IsRelay("a") || !relays.IsRelay("b") {
		t.Error("a leaving member is a relay, or the remaining one is not")
	}
}
