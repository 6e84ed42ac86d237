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

// clusterOfFeeds is some feeds that hold each other alive, and what each has taken of prefix "k".
type clusterOfFeeds struct {
	store  *countingStore
	fabric *fabric
	views  []*settableViewer
	feeds  []*Feed
	cancel context.CancelFunc
	mutex  sync.Mutex
	taken  []map[string]int
	// newest is the newest change that each node has taken.
	newest []int64
	listed []int
	failed []error
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

func startFeeds(count int) *clusterOfFeeds {
	c := &clusterOfFeeds{
		store: newCountingStore(), fabric: &fabric{handlers: map[netip.AddrPort]map[transport.Method]transport.Handler{}},
		taken: make([]map[string]int, count), newest: make([]int64, count), listed: make([]int, count), failed: make([]error, count),
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
		access := port{fabric: c.fabric, self: member.PeerAddress}
		feed := New(c.store, access, access, viewer, zerolog.Nop())
		feed.Start()
		c.views, c.feeds, c.taken[index] = append(c.views, viewer), append(c.feeds, feed), map[string]int{}
		go platform.Follow(ctx, feed, "k", platform.Follower{
			Replace: func(listing platform.Listing) {
				c.mutex.Lock()
				defer c.mutex.Unlock()
				c.listed[index]++
				c.note(index, listing.Entries)
				if c.listed[index] > 1 {
					clear(c.taken[index])
					for _, entry := range listing.Entries {
						c.taken[index][entry.Key] = 1
					}
				}
			},
			Update: func(_ int64, changed []platform.Entry, deleted []string) {
				c.mutex.Lock()
				defer c.mutex.Unlock()
				c.note(index, changed)
				for _, key := range deleted {
					c.taken[index][key] = 0
				}
				for _, entry := range changed {
					c.taken[index][entry.Key]++
				}
			},
			Failed: func(err error) {
				c.mutex.Lock()
				defer c.mutex.Unlock()
				c.failed[index] = err
			},
		})
	}
	return c
}

// note keeps the newest change that a node has taken. The mutex is held.
func (c *clusterOfFeeds) note(index int, entries []platform.Entry) {
	for _, entry := range entries {
		c.newest[index] = max(c.newest[index], entry.ModRevision)
	}
}

func (c *clusterOfFeeds) stop() {
	c.cancel()
	for _, feed := range c.feeds {
		feed.Stop()
	}
	synctest.Wait()
}

// loseChangesTo has what watchers pass on not come to a node; heartbeats do.
func (c *clusterOfFeeds) loseChangesTo(node int) {
	address := c.views[node].View().Members[node].PeerAddress
	c.setLoss(func(to netip.AddrPort, method transport.Method) bool { return to == address && method == methodChanges })
}

// setLoss says which messages are lost; nil is none.
func (c *clusterOfFeeds) setLoss(lose func(to netip.AddrPort, method transport.Method) bool) {
	c.fabric.mutex.Lock()
	defer c.fabric.mutex.Unlock()
	c.fabric.lose = lose
}

// loseAll loses all messages.
func loseAll(netip.AddrPort, transport.Method) bool { return true }

// wantTaken checks how often each node took key.
func (c *clusterOfFeeds) wantTaken(t *testing.T, key string, want int) {
	t.Helper()
	synctest.Wait()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for index, taken := range c.taken {
		if taken[key] != want {
			t.Errorf("node %d took %s %d times, want %d", index, key, taken[key], want)
		}
	}
}

func TestFewNodesWatchForAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startFeeds(8)
		time.Sleep(2 * time.Second)
		if watching := c.store.watching(); watching != watchers {
			t.Errorf("%d nodes watch", watching)
		}
		c.store.put("k1")
		time.Sleep(10 * time.Millisecond)
		c.wantTaken(t, "k1", 1)
		for index := range 5 {
			c.store.put(fmt.Sprint("burst", index))
		}
		time.Sleep(2 * gatherWait)
		c.wantTaken(t, "burst0", 1)
		c.wantTaken(t, "burst4", 1)
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
		time.Sleep(2 * turnInterval)
		c.store.put("k1")
		time.Sleep(10 * time.Millisecond)
		c.wantTaken(t, "k1", 1)
		c.stop()
	})
}

// TestSilentWatchersAreDoneWithout: nodes that hear no watcher, though they hold some alive, watch by themselves, and cease to once one is
// heard again.
func TestSilentWatchersAreDoneWithout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startFeeds(6)
		time.Sleep(2 * time.Second)
		c.setLoss(loseAll)
		time.Sleep(silence + 2*turnInterval)
		c.store.put("k1")
		time.Sleep(10 * time.Millisecond)
		c.wantTaken(t, "k1", 1)
		if watching := c.store.watching(); watching != 6 {
			t.Errorf("%d nodes watch, 6 hear nobody", watching)
		}
		c.setLoss(nil)
		c.store.put("k2")
		time.Sleep(time.Second)
		c.wantTaken(t, "k2", 1)
		if watching := c.store.watching(); watching != watchers {
			t.Errorf("%d nodes watch, though watchers are heard", watching)
		}
		c.stop()
	})
}

// TestMissedChangeIsNoticed: a node to which one change did not come lists anew when the next does.
func TestMissedChangeIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startFeeds(6)
		time.Sleep(2 * time.Second)
		c.loseChangesTo(5)
		c.store.put("k1")
		time.Sleep(gatherWait)
		c.setLoss(nil)
		c.store.put("k2")
		time.Sleep(time.Second)
		c.mutex.Lock()
		if c.listed[5] != 2 || !errorx.IsOfType(c.failed[5], platform.KindCompacted) {
			t.Errorf("listed %d times, last error %v", c.listed[5], c.failed[5])
		}
		c.mutex.Unlock()
		c.stop()
	})
}

// TestForgottenHistoryIsListedByWatchersOnly: where the service forgets its history the nodes that watch it list anew and pass on what
// they find; the others need no call.
func TestForgottenHistoryIsListedByWatchersOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes = 8
		c := startFeeds(nodes)
		time.Sleep(2 * time.Second)
		c.store.put("k1")
		c.store.put("k2")
		time.Sleep(2 * time.Second)
		c.store.putAndForget("k3", nil, "k1")
		time.Sleep(2 * time.Second)
		c.wantTaken(t, "k1", 0)
		c.wantTaken(t, "k2", 1)
		c.wantTaken(t, "k3", 1)
		c.store.put("k4")
		time.Sleep(2 * time.Second)
		c.wantTaken(t, "k4", 1)
		if lists := c.store.listed(); lists > nodes+watchers {
			t.Errorf("%d listings, want %d at the starts and %d after the history was gone", lists, nodes, watchers)
		}
		c.stop()
	})
}

// TestUnansweredWatchersAreDoneWithout: watchers that the service refuses send no heartbeats, so that the others ask it themselves.
func TestUnansweredWatchersAreDoneWithout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startFeeds(4)
		time.Sleep(2 * time.Second)
		c.store.setDown(true)
		time.Sleep(2 * silence)
		c.store.setDown(false)
		time.Sleep(2 * time.Second)
		c.store.put("k1")
		time.Sleep(10 * time.Millisecond)
		c.wantTaken(t, "k1", 1)
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
			t.Errorf("%s: %t", test.name, watches)
		}
	}
}

// TestNodeWithoutWatchersAsksOften: a watch that the service cuts without a word is noticed at its end, by a node that watches for itself
// as soon as by a watcher.
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
			if hold == otherHold {
				others++
			}
		}
		if others != len(c.feeds)-watchers {
			t.Errorf("holds are %v while the watchers are heard", holds())
		}
		c.setLoss(loseAll)
		time.Sleep(silence + 2*turnInterval)
		for index, hold := range holds() {
			if hold != watcherHold {
				t.Errorf("node %d, which hears no watcher, has its watch held for %s", index, hold)
			}
		}
		c.stop()
	})
}
