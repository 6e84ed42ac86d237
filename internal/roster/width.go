package roster

import (
	"time"

	"github.com/sloelift/sloelift/internal/replica"
)

const (
	// widenAt is the share of the slots of a node's replicas above which it doubles the width:
	// slots in use by this node, or of replicas that fail, drain or are cold. A node balances load
	// well only among replicas most of which have free slots.
	widenAt = 0.5
	// narrowAt is the share below which it halves the width.
	narrowAt = 0.1
	// narrowAfter is how long the share must have been below narrowAt.
	narrowAfter = 30 * time.Second
)

// use is a node's use of the replicas in its part.
type use struct {
	// slots is the number of slots of all replicas in the part; taken is the number of those in use
	// by this node or of unusable replicas.
	slots, taken int
	// more reports whether there are replicas outside the part.
	more bool
}

// measureUsage returns this node's use of the replicas in its part.
func measureUsage(view *replica.View, now time.Time) use {
	found := use{more: view.IsPartial()}
	for handle := range view.All() {
		slots := handle.Info().Slots
		found.slots += slots
		if !handle.Usable() || handle.Down(now) || handle.Avoided(now) || handle.Cold(now) {
			found.taken += slots
			continue
		}
		found.taken += min(slots, handle.InUse())
	}
	return found
}

// width is the width of a node's part, adapted to its use.
type width struct {
	current int
	// lowSince is since when the use has been below narrowAt; zero while it is not.
	lowSince time.Time
}

func newWidth() width { return width{current: MinWidth} }

// next updates and returns the width for the current use.
func (w *width) next(usage use, now time.Time) int {
	taken := float64(usage.taken)
	switch {
	case usage.slots == 0:
	case usage.more && taken > widenAt*float64(usage.slots):
		w.current = min(maxWidth, 2*w.current)
		w.lowSince = time.Time{}
	case taken > narrowAt*float64(usage.slots):
		w.lowSince = time.Time{}
	case w.lowSince.IsZero():
		w.lowSince = now
	case now.Sub(w.lowSince) >= narrowAfter:
		w.current = max(MinWidth, w.current/2)
		w.lowSince = now
	}
	return w.current
}
