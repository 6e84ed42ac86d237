package membership

import (
	"sync"
	"time"
)

// Growth notes when a node last learnt of further members: one that starts with many others does so for some seconds, and is not to act by a view
// of few of them. Its zero value has seen no view. It is safe for concurrent use.
type Growth struct {
	mutex   sync.Mutex
	members int
	grewAt  time.Time
}

// SettledFor takes in the present view and returns for how long no member has been new.
func (g *Growth) SettledFor(view *View, now time.Time) time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if len(view.Members) > g.members {
		g.members, g.grewAt = len(view.Members), now
	}
	return now.Sub(g.grewAt)
}

// Joining says that a node that has run for since may not know the others yet: for least in any case, and while it still learns of further
// members for longest at most.
func (g *Growth) Joining(view *View, now time.Time, since, least, longest time.Duration) bool {
	settled := g.SettledFor(view, now)
	return since < least || since < longest && settled < least
}
