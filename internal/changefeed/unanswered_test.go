package changefeed

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestUnanswered: no node says so while the watchers are answered, all do once the service has answered nobody for long, and none once it
// answers again.
func TestUnanswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startFeeds(6)
		want := func(unanswered bool) {
			t.Helper()
			for index, feed := range c.feeds {
				if feed.Unanswered() != unanswered {
					t.Errorf("node %d says %t", index, !unanswered)
				}
			}
		}
		for range 10 {
			time.Sleep(time.Second)
			want(false)
		}
		c.store.setDown(true)
		time.Sleep(answeredWithin + silence + heartbeatInterval)
		want(true)
		c.store.setDown(false)
		time.Sleep(2 * time.Second)
		want(false)
		c.stop()
	})
}
