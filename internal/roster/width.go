package roster

import (
	"time"

	"github.com/sloelift/sloelift/internal/replica"
)

const (
	// widenAt is the part of the slots of a node's replicas beyond which it keeps twice as many: in use by this node, or of replicas that
	// fail, drain or are cold. A node chooses well only among replicas of which most have room.
	widenAt = 0.5
	// narrowAt is the part below which it keeps half as many again.
	narrowAt = 0.1
	// narrowAfter is how long the need must have been small for that.
	narrowAfter = 30 * time.Second
)

// use is how far a node uses the replicas that it knows.
type use struct {
	// slots are those of all replicas of the node's part, taken those that this node uses or that can't be used.
	slots, taken int
	// more says that there are replicas that the node does not know.
	more bool
}

// useOf returns how far this node uses the replicas that it knows.
func useOf(view *replica.View, now time.Time) use {
	found := use{more: view.KnowsPart()}
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

// width is the width of a node's part, which follows its need.
type width struct {
	present int
	// calmSince is since when the need has been small; zero while it is not.
	calmSince time.Time
}

func newWidth() width { return width{present: LeastWidth} }

// next returns the width for what is used now.
func (w *width) next(now use, at time.Time) int {
	taken := float64(now.taken)
	switch {
	case now.slots == 0:
	case now.more && taken > widenAt*float64(now.slots):
		w.present = min(widest, 2*w.present)
		w.calmSince = time.Time{}
	case taken > narrowAt*float64(now.slots):
		w.calmSince = time.Time{}
	case w.calmSince.IsZero():
		w.calmSince = at
	case at.Sub(w.calmSince) >= narrowAfter:
		w.present = max(LeastWidth, w.present/2)
		w.calmSince = at
	}
	return w.present
}
