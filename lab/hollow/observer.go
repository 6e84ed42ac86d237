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
	// detectionLimit is when an observer that does not know of a death yet counts as
	// one that never will.
	detectionLimit = 20 * time.Second
	// longUp is how long a node must be up before others may not hold it dead.
	longUp = 15 * time.Second
)

// observer looks into all views and notes when deaths are known and who is wrongly
// held dead.
type observer struct {
	world *world

	// mutex guards all below.
	mutex        sync.Mutex
	pending      []*death
	inZone       []float64
	everywhere   []float64
	notDetected  int
	falselyDead  map[[2]int]bool
	lastJudgedAt time.Time
}

// death is one machine that went silent.
type death struct {
	victim *node
	at     time.Time
	// unaware are those that were up then and do not hold the victim dead yet.
	unaware       map[*node]bool
	unawareInZone int
	inZoneAt      time.Duration
	partOfZone    bool // the whole zone died: there is nobody in it to ask
}

func newObserver(w *world) *observer {
	return &observer{world: w, falselyDead: make(map[[2]int]bool)}
}

// died notes that victim goes silent now; the caller crashes it next.
func (o *observer) died(victim *node, partOfZone bool) {
	noted := &death{victim: victim, at: time.Now(), unaware: make(map[*node]bool), partOfZone: partOfZone}
	for _, each := range o.world.upNodes() {
		sameZone := each.zone == victim.zone
		if each == victim || partOfZone && sameZone {
			continue
		}
		noted.unaware[each] = true
		if sameZone {
			noted.unawareInZone++
		}
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.pending = append(o.pending, noted)
}

// run looks until ctx ends.
func (o *observer) run(ctx context.Context) {
	ticker := time.NewTicker(observePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			o.look()
		}
	}
}

func (o *observer) look() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	still := o.pending[:0]
	for _, each := range o.pending {
		if !o.lookAt(each) {
			still = append(still, each)
		}
	}
	o.pending = still
	if time.Since(o.lastJudgedAt) >= judgePeriod {
		o.lastJudgedAt = time.Now()
		o.judge()
	}
}

// lookAt returns true once there is nothing more to learn of a death. The caller holds mutex.
func (o *observer) lookAt(noted *death) (settled bool) {
	now := time.Now()
	for each := range noted.unaware {
		if up, since := each.isUp(); up && since.Before(noted.at) && !knowsDead(each, noted.victim) {
			continue
		}
		delete(noted.unaware, each)
		if each.zone != noted.victim.zone {
			continue
		}
		if noted.unawareInZone--; noted.unawareInZone == 0 {
			o.inZone = append(o.inZone, millis(now.Sub(noted.at)))
		}
	}
	switch {
	case len(noted.unaware) == 0:
		o.everywhere = append(o.everywhere, millis(now.Sub(noted.at)))
		return true
	case now.Sub(noted.at) > detectionLimit:
		o.notDetected++
		return true
	}
	return false
}

func knowsDead(observer, subject *node) bool {
	members := observer.view().Members
	place, present := slices.BinarySearchFunc(members, membership.NodeID(nodeName(subject.number)),
		func(member membership.Member, id membership.NodeID) int { return cmp.Compare(member.ID, id) })
	return !present || members[place].State == membership.Dead
}

// judge counts who is held dead while up. The caller holds mutex.
func (o *observer) judge() {
	if !o.world.quietFor(longUp) {
		return
	}
	settled := make(map[membership.NodeID]*node)
	for _, each := range o.world.nodes {
		if up, since := each.isUp(); up && time.Since(since) > longUp {
			settled[membership.NodeID(nodeName(each.number))] = each
		}
	}
	for _, each := range settled {
		for _, member := range each.view().Members {
			subject := settled[member.ID]
			if subject == nil || member.State != membership.Dead {
				continue
			}
			// The subject may have stopped since; then it is rightly held dead.
			if up, _ := subject.isUp(); up {
				o.falselyDead[[2]int{each.number, subject.number}] = true
			}
		}
	}
}

// allAlive says whether all nodes run, hold each other alive and have revision in force.
func (w *world) allAlive(revision int64) bool {
	for _, each := range w.nodes {
		if each.revision() < revision {
			return false
		}
		alive := 0
		for _, member := range each.view().Members {
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

// await returns how long it took until condition held, or false after limit.
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
