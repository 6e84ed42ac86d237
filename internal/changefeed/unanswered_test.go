package changefeed

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestUnanswered checks that Unanswered is false while the service answers the watchers, true at all nodes after it has answered nobody
// for long enough, and false again after it recovers.
func TestUnanswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startFeeds(6)
		want := func(unanswered bool) {
			t.Helper()
			for index, feed := range c.feeds {
				if feed.Unanswered() != unanswered {
					t.Errorf("node %d: Unanswered is %t", index, !unanswered)
				}
			}
		}
		for range 10 {
			time.Sleep(time.Second)
			want(false)
		}
		c.store.setDown(true)
		time.Sleep(answeredWithin + watcherTimeout + heartbeatInterval)
		want(true)
		c.store.setDown(false)
		time.Sleep(2 * time.Second)
		want(false)
		c.stop()
	})
}
