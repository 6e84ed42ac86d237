package unreached

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sloelift/sloelift/internal/clock"
)

const (
	// minSilentMembers is the number of different members of a zone that must give no answer,
	// without an answer of any member in between, for the zone to count as cut off. A single silent
	// member may be down by itself.
	minSilentMembers = 2
	// answerFreshness is how long an answer shows that the zone is not cut off; answers within a
	// region take a few ms.
	answerFreshness = 200 * time.Millisecond
	// probeInterval is the time between two probes of a zone that is cut off. Cuts last for
	// seconds, and no caller waits for a probe.
	probeInterval = 300 * time.Millisecond
)

// Zones tracks which zones are cut off from this process. Without it, each member of such a zone
// that is asked in turn would cost a timeout, although the first few already show that the zone is
// not reachable. It is safe for concurrent use.
type Zones struct {
	mutex  sync.Mutex
	byName map[string]*Zone
}

// NewZones returns Zones in which every zone counts as reachable.
func NewZones() *Zones { return &Zones{byName: map[string]*Zone{}} }

// Get returns the zone with the given name, the same one on each call.
func (z *Zones) Get(name string) *Zone {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	zone := z.byName[name]
	if zone == nil {
		zone = &Zone{start: clock.Now()}
		z.byName[name] = zone
	}
	return zone
}

// ProbesDue returns the names of the zones that are cut off and due for a probe at now.
func (z *Zones) ProbesDue(now time.Time) (names []string) {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	for name, zone := range z.byName {
		if zone.ProbeDue(now) {
			names = append(names, name)
		}
	}
	return names
}

// Zone tracks whether one zone is reachable. It is safe for concurrent use.
type Zone struct {
	start time.Time
	// answeredAt is when a member last answered, in nanoseconds since start; 0 if none has.
	answeredAt atomic.Int64
	// cutOff reports whether the zone counts as cut off.
	cutOff atomic.Bool

	// mutex guards the fields below: the members that gave no answer since the last answer, when
	// the last of them was noted, and when the zone was last probed.
	mutex        sync.Mutex
	silent       map[string]bool
	lastSilentAt time.Time
	lastProbedAt time.Time
}

// NoteAnswer records that a member of the zone answered. The zone no longer counts as cut off.
func (z *Zone) NoteAnswer(now time.Time) {
	z.answeredAt.Store(max(1, int64(now.Sub(z.start))))
	z.cutOff.Store(false)
}

// AnsweredWithin reports whether a member answered within span before now.
func (z *Zone) AnsweredWithin(span time.Duration, now time.Time) bool {
	answeredAt := z.answeredAt.Load()
	return answeredAt != 0 && now.Sub(z.start)-time.Duration(answeredAt) <= span
}

// NoteSilence records that a member did not answer in time. It reports whether the zone counts as
// cut off from this call on.
func (z *Zone) NoteSilence(member string, now time.Time) (begins bool) {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	if z.AnsweredWithin(answerFreshness, now) {
		z.silent = nil
		return false
	}
	if z.silent == nil || z.AnsweredWithin(now.Sub(z.lastSilentAt), now) {
		z.silent = map[string]bool{}
	}
	z.silent[member], z.lastSilentAt = true, now
	if len(z.silent) < minSilentMembers || z.cutOff.Swap(true) {
		return false
	}
	if z.AnsweredWithin(answerFreshness, now) {
		// A member answered in the meantime.
		z.cutOff.Store(false)
		return false
	}
	return true
}

// CutOff reports whether the zone counts as cut off.
func (z *Zone) CutOff() bool { return z.cutOff.Load() }

// ProbeDue reports whether a member of a zone that is cut off is to be probed now, to detect that
// the zone is reachable again. It returns true at most once per probeInterval.
func (z *Zone) ProbeDue(now time.Time) bool {
	if !z.cutOff.Load() {
		return false
	}
	z.mutex.Lock()
	defer z.mutex.Unlock()
	if now.Sub(z.lastProbedAt) < probeInterval {
		return false
	}
	z.lastProbedAt = now
	return true
}
