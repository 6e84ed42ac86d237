package membership

import (
	"sync"
	"time"
)

// JoinTracker tracks when the number of known members last grew. A node that starts together with
// many others learns of further members for some seconds, and must not act on a view of only a few
// of them. The zero value has seen no view. It is safe for concurrent use.
type JoinTracker struct {
	mutex      sync.Mutex
	members    int
	lastGrowth time.Time
}

// SettledFor records the current view and returns the time since the number of members last reached
// a new maximum.
func (t *JoinTracker) SettledFor(view *View, now time.Time) time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if len(view.Members) > t.members {
		t.members, t.lastGrowth = len(view.Members), now
	}
	return now.Sub(t.lastGrowth)
}

// Joining reports whether a node that has run for uptime may not know all other members yet: always
// before minWait, and until maxWait while members were added within the last minWait.
func (t *JoinTracker) Joining(view *View, now time.Time, uptime, minWait, maxWait time.Duration) bool {
	settled := t.SettledFor(view, now)
	return uptime < minWait || uptime < maxWait && settled < minWait
}
