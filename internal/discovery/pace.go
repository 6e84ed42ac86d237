package discovery

import (
	"time"

	"github.com/sloelift/sloelift/internal/membership"
)

const (
	// scouts is how many nodes look at the key-value service often; the others hear from them that something has changed.
	scouts = 2
	// scoutWait and otherWait are how long the two kinds have the service hold a watch. A watch that the service has cut
	// without a word is noticed at its end.
	scoutWait = time.Second
	otherWait = 20 * time.Second
)

// LongestWait is the longest time for which a watch is held.
const LongestWait = otherWait

// WatchWait returns how long this node has the key-value service hold a watch: the first few live members, in the order of
// their names, are the scouts, and so is a node that knows no other.
func WatchWait(view *membership.View) time.Duration {
	before := 0
	for _, member := range view.Members {
		if member.ID == view.Self {
			break
		}
		if member.State == membership.Alive {
			before++
		}
	}
	if before < scouts {
		return scoutWait
	}
	return otherWait
}
