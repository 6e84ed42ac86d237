package admission

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"github.com/sloelift/sloelift/internal/config"
	"github.com/sloelift/sloelift/internal/outcome"
)

// SlotCounter counts the slots of a service for online requests.
type SlotCounter interface {
	// OnlineSlots returns the free slots of the usable replicas of a service, each of which
	// takes at most perReplica requests; the number of usable replicas; and the number of
	// this node's own requests on them.
	OnlineSlots(service string, perReplica int) (free, usable, own int)
}

// RequestLimiter is the Limiter of one node. It decides on the caller's goroutine under its
// mutex, since every online request passes through it.
type RequestLimiter struct {
	slots   SlotCounter
	refused *prometheus.CounterVec
	queued  prometheus.Gauge

	// mutex guards the fields below.
	mutex       sync.Mutex
	lastArrival uint64
	tenants     map[string]*tenantState
	services    map[string]*serviceState
}

// tenantState holds the usage of one tenant. bucket is nil if the tenant has no rate limit.
type tenantState struct {
	bucket   *rate.Limiter
	inFlight int
}

// serviceState holds the queue of one service and its latest configuration.
type serviceState struct {
	declared *config.Service
	queue    *serviceQueue
}

// NewRequestLimiter returns a RequestLimiter that takes the free capacity from slots.
func NewRequestLimiter(slots SlotCounter, registerer prometheus.Registerer) *RequestLimiter {
	limiter := &RequestLimiter{
		slots: slots,
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sloelift_admission_refused_total", Help: "Online requests refused before any engine saw them, by reason.",
		}, []string{"reason"}),
		queued: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "sloelift_admission_queued", Help: "Online requests waiting on this node.",
		}),
		tenants:  make(map[string]*tenantState),
		services: make(map[string]*serviceState),
	}
	registerer.MustRegister(limiter.refused, limiter.queued)
	return limiter
}

// Admit implements Limiter.
func (l *RequestLimiter) Admit(ctx context.Context, request OnlineRequest) (release func(), err error) {
	waiting, rejection := l.enqueue(ctx, &request)
	if rejection != nil {
		l.refused.WithLabelValues(string(rejection.Reason)).Inc()
		return nil, rejection
	}
	select {
	case err = <-waiting.decided:
	case <-ctx.Done():
		err = l.cancelWaiting(ctx, &request, waiting)
	}
	if err != nil {
		l.refused.WithLabelValues(string(outcome.As(err).Reason)).Inc()
		return nil, err
	}
	admittedAt := time.Now()
	return sync.OnceFunc(func() { l.release(&request, time.Since(admittedAt)) }), nil
}

// enqueue checks the limits of the tenant and the service and adds the request to the queue. It
// admits waiting requests, possibly this one, into free slots.
func (l *RequestLimiter) enqueue(ctx context.Context, request *OnlineRequest) (*waitingRequest, *outcome.Error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	tenant := l.tenantFor(request.Tenant)
	if rejection := tenant.checkLimits(request.Tenant); rejection != nil {
		return nil, rejection
	}
	service := l.serviceFor(request.Service)
	queue := service.queue
	free, usable := l.availableSlots(service)
	if usable == 0 {
		return nil, refusal(outcome.ReasonUnavailable, "no replica of the service is usable", time.Second)
	}
	l.lastArrival++
	waiting := &waitingRequest{
		tenant: request.Tenant.Name, weight: max(1, request.Tenant.Weight), rank: rankOf(request),
		arrival: l.lastArrival, decided: make(chan error, 1),
	}
	if free <= len(queue.waiting) {
		if rejection := l.reserveQueuePlace(ctx, service, waiting); rejection != nil {
			return nil, rejection
		}
	}
	tenant.inFlight++
	queue.waiting = append(queue.waiting, waiting)
	l.queued.Inc()
	l.admitWaiting(service, free)
	return waiting, nil
}

// reserveQueuePlace refuses a request that would wait past its deadline. If the queue is full,
// it displaces a request of lower rank, or refuses this one if there is none.
func (l *RequestLimiter) reserveQueuePlace(ctx context.Context, service *serviceState, waiting *waitingRequest) *outcome.Error {
	queue := service.queue
	wait := queue.expectedWait(waiting.rank)
	if deadline, ok := ctx.Deadline(); ok && wait > 0 && time.Until(deadline) < wait {
		return refusal(outcome.ReasonOverloaded, "the request would wait past its deadline", wait)
	}
	if len(queue.waiting) < service.declared.QueueLimit {
		return nil
	}
	index := queue.displaceable()
	if index < 0 || queue.waiting[index].rank >= waiting.rank {
		return refusal(outcome.ReasonOverloaded, "the queue of the service is full", wait)
	}
	displaced := queue.removeAt(index)
	l.queued.Dec()
	l.tenants[displaced.tenant].inFlight--
	displaced.decided <- refusal(outcome.ReasonOverloaded, "displaced by a request of higher priority", wait)
	return nil
}

// admitWaiting admits waiting requests into free slots.
func (l *RequestLimiter) admitWaiting(service *serviceState, free int) {
	for ; free > 0 && len(service.queue.waiting) > 0; free-- {
		next := service.queue.removeAt(service.queue.next())
		l.queued.Dec()
		service.queue.admitted(next.tenant)
		next.decided <- nil
	}
}

// availableSlots returns the free slots minus the requests that were admitted here and have not
// been sent to a replica yet, and the number of usable replicas.
func (l *RequestLimiter) availableSlots(service *serviceState) (free, usable int) {
	slots, usable, own := l.slots.OnlineSlots(service.declared.Name, service.declared.MaxConcurrentPerReplica)
	return slots - max(0, service.queue.inFlight-own), usable
}

func (l *RequestLimiter) release(request *OnlineRequest, serviceTime time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	service := l.serviceFor(request.Service)
	service.queue.released(request.Tenant.Name, serviceTime)
	l.tenants[request.Tenant.Name].inFlight--
	l.refreshService(service)
}

// refreshService admits waiting requests of a service into its free slots.
func (l *RequestLimiter) refreshService(service *serviceState) {
	if len(service.queue.waiting) > 0 {
		free, _ := l.availableSlots(service)
		l.admitWaiting(service, free)
	}
}

// Refresh admits waiting requests of all services. It is called when the fleet changes.
func (l *RequestLimiter) Refresh() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, service := range l.services {
		l.refreshService(service)
	}
}

// cancelWaiting removes a request whose context has ended from the queue and returns the
// refusal. If the request was decided in the meantime, it returns that decision.
func (l *RequestLimiter) cancelWaiting(ctx context.Context, request *OnlineRequest, waiting *waitingRequest) error {
	l.mutex.Lock()
	service := l.serviceFor(request.Service)
	if !service.queue.remove(waiting) {
		l.mutex.Unlock()
		return <-waiting.decided
	}
	l.queued.Dec()
	l.tenants[waiting.tenant].inFlight--
	wait := service.queue.expectedWait(waiting.rank)
	l.mutex.Unlock()
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refusal(outcome.ReasonDeadline, "the deadline passed in the queue", wait)
	}
	return outcome.Wrap(ctx.Err(), outcome.NotRun, outcome.ReasonCallerCancelled, "the caller left the queue")
}

// serviceFor returns the state of a service, with its current configuration.
func (l *RequestLimiter) serviceFor(service *config.Service) *serviceState {
	state := l.services[service.Name]
	if state == nil {
		state = &serviceState{queue: newServiceQueue()}
		l.services[service.Name] = state
	}
	state.declared = service
	return state
}

// tenantFor returns the state of a tenant, with the bucket adjusted to its current
// configuration.
func (l *RequestLimiter) tenantFor(tenant *config.Tenant) *tenantState {
	state := l.tenants[tenant.Name]
	if state == nil {
		state = &tenantState{}
		l.tenants[tenant.Name] = state
	}
	if tenant.RequestsPerSecond <= 0 {
		state.bucket = nil
		return state
	}
	limit, burst := rate.Limit(tenant.RequestsPerSecond), max(1, tenant.Burst)
	if state.bucket == nil {
		state.bucket = rate.NewLimiter(limit, burst)
	}
	if state.bucket.Limit() != limit {
		state.bucket.SetLimit(limit)
	}
	if state.bucket.Burst() != burst {
		state.bucket.SetBurst(burst)
	}
	return state
}

// checkLimits refuses a request that exceeds the tenant's concurrency or rate. Otherwise it takes
// a token from the bucket.
func (t *tenantState) checkLimits(tenant *config.Tenant) *outcome.Error {
	if tenant.MaxConcurrent > 0 && t.inFlight >= tenant.MaxConcurrent {
		return refusal(outcome.ReasonRateLimited, "the tenant has too many requests in flight", time.Second)
	}
	if t.bucket == nil {
		return nil
	}
	reservation := t.bucket.Reserve()
	if wait := reservation.Delay(); wait > 0 {
		reservation.Cancel()
		return refusal(outcome.ReasonRateLimited, "the tenant's request rate is spent", wait)
	}
	return nil
}

func rankOf(request *OnlineRequest) int {
	if request.Priority == nil {
		return 0
	}
	return request.Priority.Rank
}
