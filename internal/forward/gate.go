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
	// gateOvercommit is the factor on the replicas' slots up to which requests are sent: slightly above 1, so that no slot is idle
	// until the nodes have exchanged their load.
	gateOvercommit = 1.05
	// gateCheckInterval is how often waiting requests are checked, in addition to each change of load.
	gateCheckInterval = 20 * time.Millisecond
	// maxHold bounds how long a request is held; callers of streams treat a silence of a few seconds as a failure.
	maxHold = 1500 * time.Millisecond
	// maxHoldShare bounds it as a share of the time until the caller's deadline.
	maxHoldShare = 0.4
)

// demandSource provides the demand that other nodes' callers have for a service.
type demandSource interface {
	OthersDemand(service string, now time.Time) (others loadshare.Demand, known bool)
	// KeepFresh requests an update of the demand in the background.
	KeepFresh()
}

// gateRequest is what the gate needs to know of a request.
type gateRequest struct {
	service  string
	priority int
	// sendBy is the latest time at which sending the request still meets its objective; zero if it has no objective.
	sendBy   time.Time
	deadline time.Time
	// mayBypass, if not nil, lets the request through as soon as it returns true.
	mayBypass func(now time.Time) bool
}

// waiter is a request that is held.
type waiter struct {
	gateRequest
	// releaseAt is the time at which it is sent regardless of load.
	releaseAt time.Time
	arrived   time.Time
	released  chan struct{}
	admitted  bool
}

// late reports whether the request can no longer meet its objective.
func (w *waiter) late(now time.Time) bool { return !w.sendBy.IsZero() && now.After(w.sendBy) }

// Gate holds requests while callers want more of a service than its replicas have slots, so that requests that can still meet their
// objective go first, and requests that will be late in any case wait until demand drops. Without it they would queue at the replicas,
// which are first-in, first-out, and would make all requests behind them late. Each node uses the share of the slots that its demand
// has in the demand of all nodes. Nothing is held while demand fits the slots, or while the other nodes' demand is unknown. It is safe
// for concurrent use.
type Gate struct {
	directory *replica.Directory
	others    demandSource

	mutex     sync.Mutex
	byService map[string]*serviceGate
}

// serviceGate is the state of the gate for one service.
type serviceGate struct {
	inUse   int
	waiting []*waiter
	// timer is set while requests wait.
	timer *time.Timer
}

// NewGate returns a Gate that holds no requests yet.
func NewGate(directory *replica.Directory, others demandSource) *Gate {
	return &Gate{directory: directory, others: others, byService: map[string]*serviceGate{}}
}

// Demands returns this node's demand by service.
func (g *Gate) Demands() map[string]loadshare.Demand {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	demands := make(map[string]loadshare.Demand, len(g.byService))
	for service, state := range g.byService {
		if state.inUse+len(state.waiting) > 0 {
			demands[service] = loadshare.Demand{InUse: state.inUse, Waiting: len(state.waiting)}
		}
	}
	return demands
}

// DemandChanged checks the waiting requests after a change of the other nodes' demand.
func (g *Gate) DemandChanged() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := clock.Now()
	for service, state := range g.byService {
		g.release(service, state, now)
	}
}

// Enter returns once the request may be sent to a replica, or when ctx ends. In both cases leave must be called after the request ended.
func (g *Gate) Enter(ctx context.Context, request gateRequest) (leave func()) {
	g.mutex.Lock()
	now := clock.Now()
	gate := g.gateOf(request.service)
	entry := &waiter{gateRequest: request, arrived: now, releaseAt: releaseTime(now, request.deadline), released: make(chan struct{})}
	gate.waiting = append(gate.waiting, entry)
	g.release(request.service, gate, now)
	g.mutex.Unlock()
	select {
	case <-entry.released:
	case <-ctx.Done():
	}
	return func() { g.leave(entry) }
}

// releaseTime returns the time until which a request may be held.
func releaseTime(now, deadline time.Time) time.Time {
	hold := min(maxHold, time.Duration(maxHoldShare*float64(deadline.Sub(now))))
	return now.Add(hold)
}

func (g *Gate) leave(entry *waiter) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	gate := g.gateOf(entry.service)
	if entry.admitted {
		gate.inUse--
	} else {
		gate.remove(entry)
	}
	g.release(entry.service, gate, clock.Now())
	// The other nodes receive the demand together with the number of requests in flight at replicas. The request left that number
	// before it left the gate, so the change of demand has to be signalled separately.
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

// release lets requests through: as many as this node's share allows, and those that may not be held any longer. The mutex is held.
func (g *Gate) release(service string, gate *serviceGate, now time.Time) {
	if len(gate.waiting) > 0 {
		gate.releaseOverdue(now)
		gate.releaseUpTo(g.maxInUse(service, gate, now), now)
	}
	g.scheduleRelease(service, gate)
}

// maxInUse returns how many requests this node may have in flight at the replicas of service. The mutex is held.
func (g *Gate) maxInUse(service string, gate *serviceGate, now time.Time) int {
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

// scheduleRelease checks the waiting requests again after gateCheckInterval. The mutex is held.
func (g *Gate) scheduleRelease(service string, gate *serviceGate) {
	if len(gate.waiting) == 0 || gate.timer != nil {
		return
	}
	gate.timer = time.AfterFunc(gateCheckInterval, func() {
		g.others.KeepFresh()
		g.mutex.Lock()
		defer g.mutex.Unlock()
		gate.timer = nil
		g.release(service, gate, clock.Now())
	})
}

// due reports whether the request is let through regardless of the limit.
func (w *waiter) due(now time.Time) bool {
	return !now.Before(w.releaseAt) || (w.mayBypass != nil && w.mayBypass(now))
}

// releaseOverdue lets through the requests that reached their maximum hold, or that may bypass the gate.
func (s *serviceGate) releaseOverdue(now time.Time) {
	kept := s.waiting[:0]
	for _, entry := range s.waiting {
		if !entry.due(now) {
			kept = append(kept, entry)
			continue
		}
		s.admit(entry)
	}
	clear(s.waiting[len(kept):])
	s.waiting = kept
}

// releaseUpTo lets the most urgent requests through until maxInUse are in use.
func (s *serviceGate) releaseUpTo(maxInUse int, now time.Time) {
	if len(s.waiting) == 0 || s.inUse >= maxInUse {
		return
	}
	slices.SortStableFunc(s.waiting, func(a, b *waiter) int { return compareWaiters(a, b, now) })
	count := min(len(s.waiting), maxInUse-s.inUse)
	for _, entry := range s.waiting[:count] {
		s.admit(entry)
	}
	s.waiting = slices.Delete(s.waiting, 0, count)
}

// compareWaiters sorts requests that can still meet their objective before late ones, then by priority. Of the same priority, those that
// can be on time are sorted by the time by which they must be sent, the others by arrival.
func compareWaiters(a, b *waiter, now time.Time) int {
	if late := a.late(now); late != b.late(now) {
		if late {
			return 1
		}
		return -1
	}
	if order := cmp.Compare(a.priority, b.priority); order != 0 {
		return order
	}
	if !a.late(now) && !a.sendBy.IsZero() && !b.sendBy.IsZero() {
		return a.sendBy.Compare(b.sendBy)
	}
	return a.arrived.Compare(b.arrived)
}

func (s *serviceGate) admit(entry *waiter) {
	entry.admitted = true
	s.inUse++
	close(entry.released)
}

func (s *serviceGate) remove(entry *waiter) {
	s.waiting = slices.DeleteFunc(s.waiting, func(candidate *waiter) bool { return candidate == entry })
}
