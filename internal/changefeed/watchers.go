package changefeed

import (
	"cmp"
	"slices"
	"time"

	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/membership"
)

const (
	// watchers is how many nodes watch the service for all.
	watchers = 2
	// watcherHold is how long the service holds a watch of a node that follows it, otherHold that of a node that does not, for prefixes
	// that do not hurry. A watch that the service has cut without a word is noticed at its end.
	watcherHold = time.Second
	otherHold   = 20 * time.Second
)

// Hold returns how long this node has the key-value service hold a watch: short for a watcher, for a node that gets no
// heartbeats, and for one that watches a prefix for itself.
func (f *Feed) Hold() time.Duration {
	if f.isWatcher(f.viewer.View()) || f.watchersSilent(clock.Now()) || f.watchesAnyAlone() {
		return watcherHold
	}
	return otherHold
}

// isWatcher is Watches, worked out once for each view.
func (f *Feed) isWatcher(view *membership.View) bool {
	return f.watcher.Of(view, Watches)
}

// Watches tells whether this node is one of the watchers by its own view: the first live members, of as many zones as there are. A node
// that knows no other watches.
func Watches(view *membership.View) bool {
	self, found := view.Find(view.Self)
	if !found || self.State != membership.Alive {
		return !found
	}
	return slices.Contains(chosen(view), view.Self)
}

// chosen returns the watchers.
func chosen(view *membership.View) []membership.NodeID {
	type candidate struct {
		id membership.NodeID
		// turn is the number of live members of the same zone before it.
		turn int
	}
	var candidates []candidate
	seen := map[string]int{}
	for _, member := range view.Members {
		if member.State == membership.Alive {
			candidates = append(candidates, candidate{id: member.ID, turn: seen[member.Zone]})
			seen[member.Zone]++
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.turn, b.turn), cmp.Compare(a.id, b.id))
	})
	var ids []membership.NodeID
	for _, each := range candidates[:min(watchers, len(candidates))] {
		ids = append(ids, each.id)
	}
	return ids
}
