package changefeed

import (
	"testing"
	"testing/synctest"
	"time"

	changefeedpb "github.com/sloelift/sloelift/api/proto/changefeed"
)

// The tests in this file guard against changes that reach most nodes late because they are too large to forward.
//
// Fault: during a series of configuration changes, one every 60 ms and each version larger than the one before, most nodes refused routes
// that had been acknowledged over 2 s before. The watchers batch changes for 600 ms. Once a batch exceeded 64 KiB (11 versions of 8 KB),
// they dropped it without notifying the receivers, which would have detected the gap only by the next change. They learned of it through
// membership 0.3 to 1.5 s later, waited another 750 ms for the change to arrive, and listed. All but the last version of a key could have
// been left out.
//
// In the logs: `changes_not_passed_on bytes=88968 changes=11 limit_bytes=65536` at both watchers and `behind_other_nodes` at the nine other
// nodes 1.0 to 1.8 s later, while a watcher's outgoing traffic fell from 600 KB/s to 10 KB/s.

// maxLag is how far a node may lag behind the service in these tests: up to 600 ms for batching, 500 ms until the next heartbeat, and the
// rest for a listing. Operators allow 2 s.
const maxLag = 1500 * time.Millisecond

// wantNewest checks that the change at revision was delivered to every node.
func (c *feedCluster) wantNewest(t *testing.T, revision int64) {
	t.Helper()
	synctest.Wait()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for index, newest := range c.newestRevision {
		if newest < revision {
			t.Errorf("node %d knows revision %d, want %d", index, newest, revision)
		}
	}
}

// TestSeriesOfLargeVersionsReachesAllNodes writes many versions of a large value, which do not fit into one message together.
func TestSeriesOfLargeVersionsReachesAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			nodes    = 8
			interval = 60 * time.Millisecond
			versions = 100
			step     = int(maxLag / interval)
		)
		c := startFeeds(nodes)
		time.Sleep(2 * time.Second)
		var revisions []int64
		for version := range versions {
			value := make([]byte, maxForwardedBytes/8+version)
			revisions = append(revisions, c.store.putValue("k", value))
			time.Sleep(interval)
			if version >= step {
				c.wantNewest(t, revisions[version-step])
			}
		}
		time.Sleep(maxLag)
		c.wantNewest(t, revisions[versions-1])
		if lists := c.store.listCount(); lists > nodes {
			t.Errorf("%d listings, want only the %d at the start: intermediate versions were not merged", lists, nodes)
		}
		c.stop()
	})
}

// TestValueTooLargeToPassOnIsReadAtOnce writes a value that does not fit into a message, followed by no other change. The watchers learn
// of it by their watch, or by a listing after a compaction.
func TestValueTooLargeToPassOnIsReadAtOnce(t *testing.T) {
	large := make([]byte, maxForwardedBytes+1)
	for _, test := range []struct {
		name  string
		write func(store *countingStore) (revision int64)
		// removedKey is a key that write deletes as well; empty for none.
		removedKey string
	}{
		{"found by a watch", func(store *countingStore) int64 { return store.putValue("k2", large) }, ""},
		{"found by a listing", func(store *countingStore) int64 { return store.putAndCompact("k2", large, "k1") }, "k1"},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := startFeeds(8)
				time.Sleep(2 * time.Second)
				c.store.put("k1")
				time.Sleep(2 * time.Second)
				revision := test.write(c.store)
				time.Sleep(maxLag)
				c.wantNewest(t, revision)
				if test.removedKey != "" {
					c.wantDelivered(t, test.removedKey, 0)
				}
				c.stop()
			})
		})
	}
}

// TestLostChangeIsNoticedWithoutAnother checks that a node notices the loss of a change that is followed by no other.
func TestLostChangeIsNoticedWithoutAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startFeeds(6)
		time.Sleep(2 * time.Second)
		c.dropChangesTo(5)
		revision := c.store.putValue("k1", nil)
		time.Sleep(maxLag)
		c.wantNewest(t, revision)
		c.stop()
	})
}

// TestChangeReceivedWhileWatchingServiceIsKept guards against losing a change that arrives while a node still watches the service itself.
// The node receives nothing from the watchers, and its watch gets no response. The first message from a watcher brings a change and at the
// same time makes the node stop watching the service; no later message contains the change.
func TestChangeReceivedWhileWatchingServiceIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startFeeds(6)
		time.Sleep(2 * time.Second)
		c.setDrop(dropAll)
		time.Sleep(watcherTimeout + 2*roleCheckInterval)
		c.store.setUnresponsive(true)
		const revision = firstRevision + 1
		for _, feed := range c.feeds {
			feed.onChanges(&changefeedpb.Changes{
				Prefix: "k", Previous: firstRevision,
				Changes: []*changefeedpb.Change{{Revision: revision, Changed: []*changefeedpb.Entry{{Key: "k1", ModRevision: revision}}}},
			}, time.Now())
		}
		time.Sleep(maxLag)
		c.mutex.Lock()
		for index, feed := range c.feeds {
			if !Watches(feed.viewer.View()) && c.newestRevision[index] < revision {
				t.Errorf("node %d knows revision %d, want %d", index, c.newestRevision[index], revision)
			}
		}
		c.mutex.Unlock()
		c.stop()
	})
}
