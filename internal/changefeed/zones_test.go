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

// sentTo counts the messages to each node.
type sentTo struct {
	mutex  sync.Mutex
	byNode map[netip.AddrPort]int
}

// count counts a message and loses none.
func (s *sentTo) count(to netip.AddrPort, method transport.Method) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if method == methodChanges {
		s.byNode[to]++
	}
	return false
}

// most returns the most messages to one node, and all.
func (s *sentTo) most() (most, all int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, count := range s.byNode {
		most = max(most, count)
		all += count
	}
	return most, all
}

// TestChangeReachesLargeFleetsThroughZones: each node gets a change once from each relay of its zone, whatever the number of nodes, and a relay
// from each watcher.
func TestChangeReachesLargeFleetsThroughZones(t *testing.T) {
	for _, nodes := range []int{500, 1000, 2000} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := startFeeds(nodes)
				time.Sleep(2 * time.Second)
				sent := &sentTo{byNode: map[netip.AddrPort]int{}}
				c.setLoss(sent.count)
				c.store.put("k1")
				time.Sleep(10 * time.Millisecond)
				c.wantTaken(t, "k1", 1)
				most, all := sent.most()
				// A relay also gets what the other relay of its zone sends on.
				if most > watchers+zonerelay.PerZone-1 {
					t.Errorf("%d messages of one change to one node", most)
				}
				if all > (zonerelay.PerZone+1)*nodes {
					t.Errorf("%d messages of one change to %d nodes", all, nodes)
				}
				c.stop()
			})
		})
	}
}

// TestZoneWithoutRelaysWatches: nodes of a zone that has lost its relays without a word learn of a change within their patience, and so do those
// of a zone that has lost one.
func TestZoneWithoutRelaysWatches(t *testing.T) {
	for lost := range zonerelay.PerZone + 1 {
		t.Run(fmt.Sprint(lost), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := startFeeds(directFanout + 50)
				time.Sleep(2 * time.Second)
				relays := zonerelay.Of(c.views[0].View())
				silenced := map[netip.AddrPort]bool{}
				for _, relay := range relays.InZone("z1")[:lost] {
					silenced[relay.PeerAddress] = true
				}
				c.setLoss(func(to netip.AddrPort, _ transport.Method) bool { return silenced[to] })
				c.store.put("k1")
				time.Sleep(silence + 2*turnInterval + watcherHold)
				c.wantTaken(t, "k1", 1)
				c.stop()
			})
		})
	}
}

// TestLostChangeIsReadAfterAHeartbeat: what no relay of a zone got is read by its nodes once the position of the watchers shows it.
func TestLostChangeIsReadAfterAHeartbeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startFeeds(directFanout + 50)
		time.Sleep(2 * time.Second)
		c.setLoss(func(_ netip.AddrPort, method transport.Method) bool { return method == methodChanges })
		c.store.put("k1")
		time.Sleep(2*heartbeatInterval + 2*turnInterval)
		c.wantTaken(t, "k1", 1)
		c.setLoss(nil)
		c.store.put("k2")
		time.Sleep(2 * gatherWait)
		c.wantTaken(t, "k2", 1)
		c.stop()
	})
}

// TestRelaySendsOnWhatIsNewAndFollows: not what the other watcher has sent already, nor what has a gap before it, which would have a zone list.
func TestRelaySendsOnWhatIsNewAndFollows(t *testing.T) {
	zone := newZoneState()
	for _, step := range []struct {
		previous, last int64
		want           bool
	}{{5, 8, true}, {5, 8, false}, {6, 8, false}, {8, 10, true}, {12, 14, false}, {10, 14, true}, {12, 14, false}, {14, 15, true}} {
		changes := &changefeedpb.Changes{Prefix: "k", Previous: step.previous, Changes: []*changefeedpb.Change{{Revision: step.last}}}
		if got := zone.takesChanges(changes); got != step.want {
			t.Errorf("changes from %d to %d are sent on: %t", step.previous, step.last, got)
		}
	}
}

// TestRelaySendsFewHeartbeats: of two watchers' heartbeats one, and each that brings news.
func TestRelaySendsFewHeartbeats(t *testing.T) {
	zone, now, sent := newZoneState(), time.Unix(1000, 0), 0
	for range 10 {
		for range watchers {
			if zone.takesHeartbeat(&changefeedpb.Heartbeat{}, now) {
				sent++
			}
		}
		now = now.Add(heartbeatInterval)
	}
	if sent != 10 {
		t.Errorf("%d heartbeats were sent on in 10 intervals", sent)
	}
	news := &changefeedpb.Heartbeat{Positions: []*changefeedpb.Position{{Prefix: "k", Revision: 3}}}
	if !zone.takesHeartbeat(news, now.Add(-heartbeatInterval)) || zone.takesHeartbeat(news, now.Add(-heartbeatInterval)) {
		t.Error("a heartbeat with a newer position is to be sent on at once, and once")
	}
}

// TestStoppedMemberIsNoRelay keeps watchers from sending through a node that is leaving.
func TestStoppedMemberIsNoRelay(t *testing.T) {
	view := &membership.View{Self: "a", Members: []membership.Member{{ID: "a", Zone: "z", State: membership.Leaving}, {ID: "b", Zone: "z"}}}
	if relays := zonerelay.Of(view); relays.IsRelay("a") || !relays.IsRelay("b") {
		t.Error("a leaving member is a relay")
	}
}
