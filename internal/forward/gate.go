package forward

import (
	"cmp"
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/loadshare"
	"github.com/sloelift/sloelift/internal/replica"
)

const (
	// gateOvercommit is the part of the replicas' slots up to which requests are sent: a little more than all, so that no slot is idle
	// for the time in which the nodes hear of each other.
	gateOvercommit = 1.05
	// gateInterval is how often waiting requests are looked at, beside each change.
	gateInterval = 20 * time.Millisecond
	// longestHold bounds the time that a request is held back; callers of streams take silence for failure after a few seconds.
	longestHold = 1500 * time.Millisecond
	// holdShare bounds it as a part of the time that the caller has left.
	holdShare = 0.4
)

// othersDemand says what other nodes' callers want of a service.
type othersDemand interface {
	OthersDemand(service string, now time.Time) (others loadshare.Demand, known bool)
	// KeepFresh has it learn that again, in the background.
	KeepFresh()
}

// held is what the gate knows of a request.
type held struct {
	service  string
	priority int
	// sendBy is the latest time at which the request can be sent and be in time; zero is no such time.
	sendBy   time.Time
	deadline time.Time
	// passes, where it is set, lets the request through as soon as it says so.
	passes func(now time.Time) bool
}

// waiter is a request that is held back.
type waiter struct {
	held
	// releaseAt is the time at which it is sent anyway.
	releaseAt time.Time
	arrived   time.Time
	released  chan struct{}
	passed    bool
}

// late says that the request can no longer be in time.
func (w *waiter) late(now time.Time) bool { return !w.sendBy.IsZero() && now.After(w.sendBy) }

// Gate holds requests back while callers want more of a service than its replicas have slots, so that those that can still be in
// time come first, and those that will be late all the same wait for the next lull. Without it they would stand in the replicas'
// queues, which know no order but that of arrival, and make all behind them late. Each node sends up to its part of the slots,
// which is its part of what all nodes' callers want. While little is wanted, or the other nodes' demand is not known, nothing is held
// back. It is safe for concurrent use.
type Gate struct {
	directory *replica.Directory
	others    othersDemand

	mutex     sync.Mutex
	byService map[string]*serviceGate
}

// serviceGate is the state of one service.
type serviceGate struct {
	inUse   int
	waiting []*waiter
	// timer runs while requests wait.
	timer *time.Timer
}

// NewGate returns a Gate that holds nothing back.
func NewGate(directory *replica.Directory, others othersDemand) *Gate {
	return &Gate{directory: directory, others: others, byService: map[string]*serviceGate{}}
}

// Demands returns this node's demand by service.
func (g *Gate) Demands() map[string]loadshare.Demand {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	demands := make(map[string]loadshare.Demand, len(g.byService))
	for service, each := range g.byService {
		if each.inUse+len(each.waiting) > 0 {
			demands[service] = loadshare.Demand{InUse: each.inUse, Waiting: len(each.waiting)}
		}
	}
	return demands
}

// Changed looks at the waiting requests after the other nodes' demand has changed.
func (g *Gate) Changed() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := clock.Now()
	for service, each := range g.byService {
		g.release(service, each, now)
	}
}

// Enter returns once the request may be sent to a replica, or when ctx ends. leave is called after its end in both cases.
func (g *Gate) Enter(ctx context.Context, request held) (leave func()) {
	g.mutex.Lock()
	now := clock.Now()
	gate := g.gateOf(request.service)
	waiting := &waiter{held: request, arrived: now, releaseAt: releaseTime(now, request.deadline), released: make(chan struct{})}
	gate.waiting = append(gate.waiting, waiting)
	g.release(request.service, gate, now)
	g.mutex.Unlock()
	select {
	case <-waiting.released:
	case <-ctx.Done():
	}
	return func() { g.leave(waiting) }
}

// releaseTime bounds the time that a request is held.
func releaseTime(now, deadline time.Time) time.Time {
	hold := min(longestHold, time.Duration(holdShare*float64(deadline.Sub(now))))
	return now.Add(hold)
}

func (g *Gate) leave(left *waiter) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	gate := g.gateOf(left.service)
	if left.passed {
		gate.inUse--
	} else {
		gate.drop(left)
	}
	g.release(left.service, gate, clock.Now())
	// The other nodes learn of the demand with the requests at replicas, the last of which ended before.
	g.directory.SignalUse()
}

// gateOf returns a service's state. The mutex is held.
func (g *Gate) gateOf(service string) *serviceGate {
	gate := g.byService[service]
	if gate == nil {
		gate = &serviceGate{}
		g.byService[service] = gate
	}
	return gate
}

// release lets requests through: as many as this node's part allows, and those that were held for long. The mutex is held.
func (g *Gate) release(service string, gate *serviceGate, now time.Time) {
	if len(gate.waiting) > 0 {
		gate.releaseOverdue(now)
		gate.releaseUpTo(g.allowed(service, gate, now), now)
	}
	g.watch(service, gate)
}

// allowed is the number of requests that this node may have at the replicas of service. The mutex is held.
func (g *Gate) allowed(service string, gate *serviceGate, now time.Time) int {
	others, known := g.others.OthersDemand(service, now)
	if !known {
		return math.MaxInt
	}
	view := g.directory.View()
	slots := view.WorkingSlots(service, now)
	room := gateOvercommit*float64(slots) + float64(view.EvacuatedInUse(service, now))
	own := gate.inUse + len(gate.waiting)
	if slots == 0 || float64(own+others.Online()) <= room {
		return math.MaxInt
	}
	return int(math.Ceil(room * float64(own) / float64(own+others.Online())))
}

// watch has the waiting requests looked at again soon. The mutex is held.
func (g *Gate) watch(service string, gate *serviceGate) {
	if len(gate.waiting) == 0 || gate.timer != nil {
		return
	}
	gate.timer = time.AfterFunc(gateInterval, func() {
		g.others.KeepFresh()
		g.mutex.Lock()
		defer g.mutex.Unlock()
		gate.timer = nil
		g.release(service, gate, clock.Now())
	})
}

// due says that the request goes on whatever the gate allows.
func (w *waiter) due(now time.Time) bool {
	return !now.Before(w.releaseAt) || (w.passes != nil && w.passes(now))
}

// releaseOverdue lets through those that were held as long as they may be, or need not be held.
func (s *serviceGate) releaseOverdue(now time.Time) {
	kept := s.waiting[:0]
	for _, each := range s.waiting {
		if !each.due(now) {
			kept = append(kept, each)
			continue
		}
		s.pass(each)
	}
	clear(s.waiting[len(kept):])
	s.waiting = kept
}

// releaseUpTo lets the most urgent requests through until allowed are in use.
func (s *serviceGate) releaseUpTo(allowed int, now time.Time) {
	if len(s.waiting) == 0 || s.inUse >= allowed {
		return
	}
	slices.SortStableFunc(s.waiting, func(one, other *waiter) int { return compareWaiters(one, other, now) })
	count := min(len(s.waiting), allowed-s.inUse)
	for _, each := range s.waiting[:count] {
		s.pass(each)
	}
	s.waiting = slices.Delete(s.waiting, 0, count)
}

// compareWaiters orders requests: those that can be in time before the others, by rank, then by the time by which they must be
// sent; the late ones by their arrival.
func compareWaiters(one, other *waiter, now time.Time) int {
	if late := one.late(now); late != other.late(now) {
		if late {
			return 1
		}
		return -1
	}
	if order := cmp.Compare(one.priority, other.priority); order != 0 {
		return order
	}
	if !one.late(now) && !one.sendBy.IsZero() && !other.sendBy.IsZero() {
		return one.sendBy.Compare(other.sendBy)
	}
	return one.arrived.Compare(other.arrived)
}

func (s *serviceGate) pass(each *waiter) {
	each.passed = true
	s.inUse++
	close(each.released)
}

func (s *serviceGate) drop(left *waiter) {
	s.waiting = slices.DeleteFunc(s.waiting, func(each *waiter) bool { return each == left })
}
