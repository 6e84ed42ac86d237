package unreached

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sloelift/sloelift/internal/clock"
)

const (
	// silentMembers is the number of members of a zone that give no answer, one after the other and without any answer of another one
	// between, from which on the zone counts as cut off: one may be down by itself.
	silentMembers = 2
	// answerCounts is how long an answer shows that the zone's members are not cut off: answers within a region take a few ms.
	answerCounts = 200 * time.Millisecond
	// probeInterval is the time between two probes of a zone that is cut off. Cuts last for seconds; callers wait for no probe.
	probeInterval = 300 * time.Millisecond
)

// Zones knows the zones that are cut off from this process. Without it each member of such a zone that is asked, one after the other, would
// cost a wait, though the first few show that none is reached. It is safe for concurrent use.
type Zones struct {
	mutex  sync.Mutex
	byName map[string]*Zone
}

// NewZones returns Zones that are all reached.
func NewZones() *Zones { return &Zones{byName: map[string]*Zone{}} }

// Of returns the zone of that name; it is the same one each time.
func (z *Zones) Of(name string) *Zone {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	found := z.byName[name]
	if found == nil {
		found = &Zone{start: clock.Now()}
		z.byName[name] = found
	}
	return found
}

// ProbesDue returns the names of the zones that are cut off and are to be probed now.
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

// Zone is what is known of one zone. It is safe for concurrent use.
type Zone struct {
	start time.Time
	// answeredAt is when a member answered last, in nanoseconds since start; 0 is never.
	answeredAt atomic.Int64
	// cutOff says that no member is reached.
	cutOff atomic.Bool

	// mutex guards the fields below: the members that gave no answer since one did, when the last of them was noted, and when the zone
	// was probed last.
	mutex    sync.Mutex
	silent   map[string]bool
	silentAt time.Time
	probedAt time.Time
}

// NoteAnswer takes in that a member of the zone answered.
func (z *Zone) NoteAnswer(now time.Time) {
	z.answeredAt.Store(max(1, int64(now.Sub(z.start))))
	z.cutOff.Store(false)
}

// AnsweredWithin says that a member answered within span.
func (z *Zone) AnsweredWithin(span time.Duration, now time.Time) bool {
	at := z.answeredAt.Load()
	return at != 0 && now.Sub(z.start)-time.Duration(at) <= span
}

// NoteSilence takes in that a member gave no answer for a while; it returns whether the zone counts as cut off since this.
func (z *Zone) NoteSilence(member string, now time.Time) (begins bool) {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	if z.AnsweredWithin(answerCounts, now) {
		z.silent = nil
		return false
	}
	if z.silent == nil || z.AnsweredWithin(now.Sub(z.silentAt), now) {
		z.silent = map[string]bool{}
	}
	z.silent[member], z.silentAt = true, now
	if len(z.silent) < silentMembers || z.cutOff.Swap(true) {
		return false
	}
	if z.AnsweredWithin(answerCounts, now) {
		// An answer came meanwhile.
		z.cutOff.Store(false)
		return false
	}
	return true
}

// CutOff says that no member of the zone is reached, as far as is known.
func (z *Zone) CutOff() bool { return z.cutOff.Load() }

// ProbeDue says, at most once in probeInterval, that a member of a zone that is cut off is to be asked, to see whether the zone is reached again.
func (z *Zone) ProbeDue(now time.Time) bool {
	if !z.cutOff.Load() {
		return false
	}
	z.mutex.Lock()
	defer z.mutex.Unlock()
	if now.Sub(z.probedAt) < probeInterval {
		return false
	}
	z.probedAt = now
	return true
}
