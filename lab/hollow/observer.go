package hollow

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sloelift/sloelift/internal/membership"
)

const (
	observePeriod = 25 * time.Millisecond
	judgePeriod   = 500 * time.Millisecond
	// detectionLimit is the time after which a death that is not known to all counts as
	// not detected.
	detectionLimit = 20 * time.Second
	// minUptime is how long a node must be up before others must not see it as dead.
	minUptime = 15 * time.Second
)

// observer inspects the views of all nodes and records when deaths are detected and
// which nodes are wrongly seen as dead.
type observer struct {
	world *world

	// mutex guards the fields below.
	mutex        sync.Mutex
	pending      []*death
	inZone       []float64
	everywhere   []float64
	notDetected  int
	falselyDead  map[[2]int]bool
	lastJudgedAt time.Time
}

// death is the failure of one machine.
type death struct {
	victim *node
	at     time.Time
	// unaware holds the nodes that were up then and do not see the victim as dead yet.
	unaware       map[*node]bool
	unawareInZone int
	partOfZone    bool // the whole zone died, so that no node in it can detect the death
}

func newObserver(w *world) *observer {
	return &observer{world: w, falselyDead: make(map[[2]int]bool)}
}

// recordDeath records the death of victim, which the caller crashes next.
func (o *observer) recordDeath(victim *node, partOfZone bool) {
	recorded := &death{victim: victim, at: time.Now(), unaware: make(map[*node]bool), partOfZone: partOfZone}
	for _, other := range o.world.upNodes() {
		sameZone := other.zone == victim.zone
		if other == victim || partOfZone && sameZone {
			continue
		}
		recorded.unaware[other] = true
		if sameZone {
			recorded.unawareInZone++
		}
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.pending = append(o.pending, recorded)
}

// run observes until ctx ends.
func (o *observer) run(ctx context.Context) {
	ticker := time.NewTicker(observePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			o.observe()
		}
	}
}

func (o *observer) observe() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	remaining := o.pending[:0]
	for _, next := range o.pending {
		if !o.updateDeath(next) {
			remaining = append(remaining, next)
		}
	}
	o.pending = remaining
	if time.Since(o.lastJudgedAt) >= judgePeriod {
		o.lastJudgedAt = time.Now()
		o.checkFalseDeaths()
	}
}

// updateDeath updates a death and reports whether it is detected by all or timed out. The caller holds mutex.
func (o *observer) updateDeath(pending *death) (done bool) {
	now := time.Now()
	for unaware := range pending.unaware {
		if up, since := unaware.isUp(); up && since.Before(pending.at) && !seesDead(unaware, pending.victim) {
			continue
		}
		delete(pending.unaware, unaware)
		if unaware.zone != pending.victim.zone {
			continue
		}
		if pending.unawareInZone--; pending.unawareInZone == 0 {
			o.inZone = append(o.inZone, millis(now.Sub(pending.at)))
		}
	}
	switch {
	case len(pending.unaware) == 0:
		o.everywhere = append(o.everywhere, millis(now.Sub(pending.at)))
		return true
	case now.Sub(pending.at) > detectionLimit:
		o.notDetected++
		return true
	}
	return false
}

// seesDead reports whether observer sees subject as dead or no longer lists it.
func seesDead(observer, subject *node) bool {
	members := observer.view().Members
	index, present := slices.BinarySearchFunc(members, membership.NodeID(nodeName(subject.number)),
		func(member membership.Member, id membership.NodeID) int { return cmp.Compare(member.ID, id) })
	return !present || members[index].State == membership.Dead
}

// checkFalseDeaths records nodes that are seen as dead while up. The caller holds mutex.
func (o *observer) checkFalseDeaths() {
	if !o.world.quietFor(minUptime) {
		return
	}
	settled := make(map[membership.NodeID]*node)
	for _, candidate := range o.world.nodes {
		if up, since := candidate.isUp(); up && time.Since(since) > minUptime {
			settled[membership.NodeID(nodeName(candidate.number))] = candidate
		}
	}
	for _, viewer := range settled {
		for _, member := range viewer.view().Members {
			subject := settled[member.ID]
			if subject == nil || member.State != membership.Dead {
				continue
			}
			// The subject may have stopped in the meantime; then it is rightly seen as dead.
			if up, _ := subject.isUp(); up {
				o.falselyDead[[2]int{viewer.number, subject.number}] = true
			}
		}
	}
}

// allAlive reports whether all nodes see each other as alive and have revision in force.
func (w *world) allAlive(revision int64) bool {
	for _, viewer := range w.nodes {
		if viewer.revision() < revision {
			return false
		}
		alive := 0
		for _, member := range viewer.view().Members {
			if member.State == membership.Alive {
				alive++
			}
		}
		if alive < len(w.nodes) {
			return false
		}
	}
	return true
}

// await waits until condition holds and returns how long that took. It returns false after limit or if ctx ends.
func await(ctx context.Context, limit time.Duration, condition func() bool) (time.Duration, bool) {
	began := time.Now()
	ticker := time.NewTicker(2 * observePeriod)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			return time.Since(began), false
		case <-ticker.C:
		}
		if time.Since(began) > limit {
			return time.Since(began), false
		}
	}
	return time.Since(began), true
}
