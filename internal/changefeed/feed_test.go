package changefeed

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/platform"
	"github.com/sloelift/sloelift/internal/transport"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// feedCluster runs the feeds of several nodes that consider each other alive, and records what each delivers for prefix "k".
type feedCluster struct {
	store     *countingStore
	network   *fakeNetwork
	views     []*settableViewer
	feeds     []*Feed
	cancel    context.CancelFunc
	mutex     sync.Mutex
	delivered []map[string]int
	// newestRevision holds, for each node, the newest change delivered.
	newestRevision []int64
	listings       []int
	lastErr        []error
}

type settableViewer struct {
	mutex sync.Mutex
	view  membership.View
}

func (v *settableViewer) View() *membership.View {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	view := v.view
	return &view
}

func (v *settableViewer) Subscribe(func(*membership.View)) func() { return func() {} }

func (v *settableViewer) setState(index int, state membership.State) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	members := append([]membership.Member(nil), v.view.Members...)
	members[index].State = state
	v.view.Members = members
}

func startFeeds(count int) *feedCluster {
	c := &feedCluster{
		store: newCountingStore(), network: &fakeNetwork{handlers: map[netip.AddrPort]map[transport.Method]transport.Handler{}},
		delivered: make([]map[string]int, count), newestRevision: make([]int64, count),
		listings: make([]int, count), lastErr: make([]error, count),
	}
	var members []membership.Member
	for index := range count {
		members = append(members, membership.Member{
			ID: membership.NodeID(fmt.Sprintf("n%04d", index)), Zone: fmt.Sprint("z", index%2),
			PeerAddress: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(index+1)),
		})
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	for index, member := range members {
		viewer := &settableViewer{view: membership.View{Self: member.ID, Members: members}}
		access := fakeTransport{network: c.network, self: member.PeerAddress}
		feed := New(c.store, access, access, viewer, zerolog.Nop())
		feed.Start()
		c.views, c.feeds, c.delivered[index] = append(c.views, viewer), append(c.feeds, feed), map[string]int{}
		go platform.Follow(ctx, feed, "k", platform.Follower{
			Replace: func(listing platform.Listing) {
				c.mutex.Lock()
				defer c.mutex.Unlock()
				c.listings[index]++
				c.recordNewest(index, listing.Entries)
				if c.listings[index] > 1 {
					clear(c.delivered[index])
					for _, entry := range listing.Entries {
						c.delivered[index][entry.Key] = 1
					}
				}
			},
			Update: func(_ int64, changed []platform.Entry, deleted []string) {
				c.mutex.Lock()
				defer c.mutex.Unlock()
				c.recordNewest(index, changed)
				for _, key := range deleted {
					c.delivered[index][key] = 0
				}
				for _, entry := range changed {
					c.delivered[index][entry.Key]++
				}
			},
			OnError: func(err error) {
				c.mutex.Lock()
				defer c.mutex.Unlock()
				c.lastErr[index] = err
			},
		})
	}
	return c
}

// recordNewest records the newest change delivered to a node. The mutex must be held.
func (c *feedCluster) recordNewest(index int, entries []platform.Entry) {
	for _, entry := range entries {
		c.newestRevision[index] = max(c.newestRevision[index], entry.ModRevision)
	}
}

func (c *feedCluster) stop() {
	c.cancel()
	for _, feed := range c.feeds {
		feed.Stop()
	}
	synctest.Wait()
}

// dropChangesTo loses the changes, but not the heartbeats, that watchers send to a node.
func (c *feedCluster) dropChangesTo(node int) {
	address := c.views[node].View().Members[node].PeerAddress
	c.setDrop(func(to netip.AddrPort, method transport.Method) bool { return to == address && method == methodChanges })
}

// setDrop sets which messages are lost; nil loses none.
func (c *feedCluster) setDrop(drop func(to netip.AddrPort, method transport.Method) bool) {
	c.network.mutex.Lock()
	defer c.network.mutex.Unlock()
	c.network.drop = drop
}

// dropAll is for setDrop and loses all messages.
func dropAll(netip.AddrPort, transport.Method) bool { return true }

// wantDelivered checks how many changes of key were delivered to each node.
func (c *feedCluster) wantDelivered(t *testing.T, key string, want int) {
	t.Helper()
	synctest.Wait()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for index, taken := range c.delivered {
		if taken[key] != want {
			t.Errorf("node %d: key %s delivered %d times, want %d", index, key, taken[key], want)
		}
	}
}

func TestFewNodesWatchForAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startFeeds(8)
		time.Sleep(2 * time.Second)
		if watching := c.store.watching(); watching != watcherCount {
			t.Errorf("%d nodes watch the service, want only the watchers", watching)
		}
		c.store.put("k1")
		time.Sleep(10 * time.Millisecond)
		c.wantDelivered(t, "k1", 1)
		for index := range 5 {
			c.store.put(fmt.Sprint("burst", index))
		}
		time.Sleep(2 * batchDelay)
		c.wantDelivered(t, "burst0", 1)
		c.wantDelivered(t, "burst4", 1)
		c.stop()
	})
}

func TestWatcherThatDiesIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startFeeds(6)
		time.Sleep(2 * time.Second)
		for _, view := range c.views {
			view.setState(0, membership.Suspect)
			view.setState(1, membership.Suspect)
		}
		time.Sleep(2 * roleCheckInterval)
		c.store.put("k1")
		time.Sleep(10 * time.Millisecond)
		c.wantDelivered(t, "k1", 1)
		c.stop()
	})
}

// TestNodesWatchTheServiceWhenWatchersAreSilent checks that nodes that receive nothing from the watchers, though these are alive by their
// view, watch the service themselves, and stop doing so once they receive messages again.
func TestNodesWatchTheServiceWhenWatchersAreSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startFeeds(6)
		time.Sleep(2 * time.Second)
		c.setDrop(dropAll)
		time.Sleep(watcherTimeout + 2*roleCheckInterval)
		c.store.put("k1")
		time.Sleep(10 * time.Millisecond)
		c.wantDelivered(t, "k1", 1)
		if watching := c.store.watching(); watching != 6 {
			t.Errorf("%d nodes watch the service while all messages are lost, want 6", watching)
		}
		c.setDrop(nil)
		c.store.put("k2")
		time.Sleep(time.Second)
		c.wantDelivered(t, "k2", 1)
		if watching := c.store.watching(); watching != watcherCount {
			t.Errorf("%d nodes watch the service after messages arrive again, want only the watchers", watching)
		}
		c.stop()
	})
}

// TestMissedChangeIsNoticed checks that a node that missed a change lists again when it receives the next one.
func TestMissedChangeIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startFeeds(6)
		time.Sleep(2 * time.Second)
		c.dropChangesTo(5)
		c.store.put("k1")
		time.Sleep(batchDelay)
		c.setDrop(nil)
		c.store.put("k2")
		time.Sleep(time.Second)
		c.mutex.Lock()
		if c.listings[5] != 2 || !errorx.IsOfType(c.lastErr[5], platform.KindCompacted) {
			t.Errorf("listed %d times, want 2; last error %v, want KindCompacted", c.listings[5], c.lastErr[5])
		}
		c.mutex.Unlock()
		c.stop()
	})
}

// TestForgottenHistoryIsListedByWatchersOnly checks that after the service compacts its history only the watchers list again; they forward
// the differences, so that the other nodes make no call.
func TestForgottenHistoryIsListedByWatchersOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes = 8
		c := startFeeds(nodes)
		time.Sleep(2 * time.Second)
		c.store.put("k1")
		c.store.put("k2")
		time.Sleep(2 * time.Second)
		c.store.putAndCompact("k3", nil, "k1")
		time.Sleep(2 * time.Second)
		c.wantDelivered(t, "k1", 0)
		c.wantDelivered(t, "k2", 1)
		c.wantDelivered(t, "k3", 1)
		c.store.put("k4")
		time.Sleep(2 * time.Second)
		c.wantDelivered(t, "k4", 1)
		if lists := c.store.listCount(); lists > nodes+watcherCount {
			t.Errorf("%d listings, want %d at the start and %d after the compaction", lists, nodes, watcherCount)
		}
		c.stop()
	})
}

// TestChangesArriveAfterAnOutageOfTheService checks that changes are delivered after an outage of the service. Watchers without responses send
// no heartbeats, so that the other nodes watch the service themselves.
func TestChangesArriveAfterAnOutageOfTheService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startFeeds(4)
		time.Sleep(2 * time.Second)
		c.store.setDown(true)
		time.Sleep(2 * watcherTimeout)
		c.store.setDown(false)
		time.Sleep(2 * time.Second)
		c.store.put("k1")
		time.Sleep(10 * time.Millisecond)
		c.wantDelivered(t, "k1", 1)
		c.stop()
	})
}

func TestWatchersAreOfDifferentZones(t *testing.T) {
	view := func(self string, members ...string) *membership.View {
		view := &membership.View{Self: membership.NodeID(self)}
		for _, member := range members {
			id, zone, _ := strings.Cut(member, "@")
			state := membership.Alive
			if id, dead := strings.CutSuffix(id, "!"); dead {
				view.Members = append(view.Members, membership.Member{ID: membership.NodeID(id), Zone: zone, State: membership.Dead})
				continue
			}
			view.Members = append(view.Members, membership.Member{ID: membership.NodeID(id), Zone: zone, State: state})
		}
		return view
	}
	for _, test := range []struct {
		name string
		view *membership.View
		want bool
	}{
		{"knows nobody", view("a"), true},
		{"alone", view("a", "a@1"), true},
		{"first of the second zone", view("c", "a@1", "b@1", "c@2"), true},
		{"second of the first zone", view("b", "a@1", "b@1", "c@2"), false},
		{"second of the only zone", view("b", "a@1", "b@1", "c@1"), true},
		{"third zone", view("e", "a@1", "c@2", "e@3"), false},
		{"behind a dead one", view("b", "a!@1", "b@1", "c@2"), true},
	} {
		if watches := Watches(test.view); watches != test.want {
			t.Errorf("%s: node is a watcher: %t", test.name, watches)
		}
	}
}

// TestNodeWithoutWatchersAsksOften checks that a node that receives no heartbeats uses the watchers' short hold time. A watch that was cut
// without a reset is noticed only when its hold time is over.
func TestNodeWithoutWatchersAsksOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startFeeds(6)
		time.Sleep(2 * time.Second)
		holds := func() (all []time.Duration) {
			for _, feed := range c.feeds {
				all = append(all, feed.Hold())
			}
			return all
		}
		others := 0
		for _, hold := range holds() {
			if hold == followerHold {
				others++
			}
		}
		if others != len(c.feeds)-watcherCount {
			t.Errorf("hold times are %v while heartbeats arrive", holds())
		}
		c.setDrop(dropAll)
		time.Sleep(watcherTimeout + 2*roleCheckInterval)
		for index, hold := range holds() {
			if hold != watcherHold {
				t.Errorf("node %d receives no heartbeats and has hold time %s, want watcherHold", index, hold)
			}
		}
		c.stop()
	})
}
