package changefeed

import (
	"cmp"
	"slices"
	"time"

	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/membership"
)

const (
	// watcherCount is the number of nodes that watch the service for all nodes.
	watcherCount = 2
	// watcherHold is how long the service holds a watch call of a watcher or of a node that watches for itself, followerHold that of other
	// nodes, whose own calls are only for prefixes that are not urgent. A watch that was cut without a reset is noticed only when
	// this time is over.
	watcherHold  = time.Second
	followerHold = 20 * time.Second
)

// Hold returns how long this node asks the key-value service to hold a watch call: watcherHold for a watcher, for a node that receives no
// heartbeats, and for one that watches a prefix only for itself; followerHold otherwise.
func (f *Feed) Hold() time.Duration {
	if f.isWatcher(f.viewer.View()) || f.watchersSilent(clock.Now()) || f.watchesAnyAlone() {
		return watcherHold
	}
	return followerHold
}

// isWatcher is Watches, computed once for each view.
func (f *Feed) isWatcher(view *membership.View) bool {
	return f.watcher.Get(view, Watches)
}

// Watches reports whether this node is a watcher by its own view. The watchers are the first live members by ID, spread over as many zones
// as possible. A node that is not in its own view is a watcher.
func Watches(view *membership.View) bool {
	self, found := view.Find(view.Self)
	if !found || self.State != membership.Alive {
		return !found
	}
	return slices.Contains(chooseWatchers(view), view.Self)
}

// chooseWatchers returns the IDs of the watchers.
func chooseWatchers(view *membership.View) []membership.NodeID {
	type candidate struct {
		id membership.NodeID
		// rankInZone is the number of live members of the same zone that precede this one.
		rankInZone int
	}
	var candidates []candidate
	aliveInZone := map[string]int{}
	for _, member := range view.Members {
		if member.State == membership.Alive {
			candidates = append(candidates, candidate{id: member.ID, rankInZone: aliveInZone[member.Zone]})
			aliveInZone[member.Zone]++
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rankInZone, b.rankInZone), cmp.Compare(a.id, b.id))
	})
	var ids []membership.NodeID
	for _, selected := range candidates[:min(watcherCount, len(candidates))] {
		ids = append(ids, selected.id)
	}
	return ids
}
