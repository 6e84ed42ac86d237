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

// Slots tells how many more online requests a service can take.
type Slots interface {
	// OnlineSlots returns the free slots of usable replicas, where each takes at most
	// perReplica, the number of usable replicas, and this node's own requests on them.
	OnlineSlots(service string, perReplica int) (free, usable, own int)
}

// RequestLimiter is the Limiter of one node. Decisions are made under its mutex, on the
// caller's goroutine, because they are on the path of every request.
type RequestLimiter struct {
	slots   Slots
	refused *prometheus.CounterVec
	queued  prometheus.Gauge

	// mutex guards all below.
	mutex    sync.Mutex
	arrivals uint64
	tenants  map[string]*tenantLimit
	services map[string]*limitedService
}

type tenantLimit struct {
	bucket   *rate.Limiter
	inFlight int
}

type limitedService struct {
	declared *config.Service
	queue    *serviceQueue
}

// NewRequestLimiter returns a Limiter that asks slots for free capacity.
func NewRequestLimiter(slots Slots, registerer prometheus.Registerer) *RequestLimiter {
	limiter := &RequestLimiter{
		slots: slots,
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sloelift_admission_refused_total", Help: "Online requests refused before any engine saw them, by reason.",
		}, []string{"reason"}),
		queued: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "sloelift_admission_queued", Help: "Online requests waiting on this node.",
		}),
		tenants:  make(map[string]*tenantLimit),
		services: make(map[string]*limitedService),
	}
	registerer.MustRegister(limiter.refused, limiter.queued)
	return limiter
}

// Admit waits its turn in the service's bounded queue.
func (l *RequestLimiter) Admit(ctx context.Context, request OnlineRequest) (release func(), err error) {
	waiting, refused := l.arrive(ctx, &request)
	if refused != nil {
		l.refused.WithLabelValues(string(refused.Reason)).Inc()
		return nil, refused
	}
	select {
	case err = <-waiting.decided:
	case <-ctx.Done():
		err = l.giveUp(ctx, &request, waiting)
	}
	if err != nil {
		l.refused.WithLabelValues(string(outcome.As(err).Reason)).Inc()
		return nil, err
	}
	admittedAt := time.Now()
	return sync.OnceFunc(func() { l.release(&request, time.Since(admittedAt)) }), nil
}

// arrive checks the tenant's limits and puts the request in the queue.
func (l *RequestLimiter) arrive(ctx context.Context, request *OnlineRequest) (*waitingRequest, *outcome.Error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	tenant := l.tenant(request.Tenant)
	if refused := tenant.check(request.Tenant); refused != nil {
		return nil, refused
	}
	service := l.service(request.Service)
	queue := service.queue
	free, usable := l.free(service)
	if usable == 0 {
		return nil, refusal(outcome.ReasonUnavailable, "no replica of the service is usable", time.Second)
	}
	l.arrivals++
	waiting := &waitingRequest{
		tenant: request.Tenant.Name, weight: max(1, request.Tenant.Weight), rank: rankOf(request),
		arrival: l.arrivals, decided: make(chan error, 1),
	}
	if free <= len(queue.waiting) {
		if refused := l.makeRoom(ctx, service, waiting); refused != nil {
			return nil, refused
		}
	}
	tenant.inFlight++
	queue.waiting = append(queue.waiting, waiting)
	l.queued.Inc()
	l.drain(service, free)
	return waiting, nil
}

// makeRoom refuses the request, or another one of lower rank, where the queue is full,
// and a request that would wait past its deadline.
func (l *RequestLimiter) makeRoom(ctx context.Context, service *limitedService, waiting *waitingRequest) *outcome.Error {
	queue := service.queue
	wait := queue.expectedWait(waiting.rank)
	if deadline, ok := ctx.Deadline(); ok && wait > 0 && time.Until(deadline) < wait {
		return refusal(outcome.ReasonOverloaded, "the request would wait past its deadline", wait)
	}
	if len(queue.waiting) < service.declared.QueueLimit {
		return nil
	}
	worst := queue.last()
	if worst < 0 || queue.waiting[worst].rank >= waiting.rank {
		return refusal(outcome.ReasonOverloaded, "the queue of the service is full", wait)
	}
	displaced := queue.take(worst)
	l.queued.Dec()
	l.tenants[displaced.tenant].inFlight--
	displaced.decided <- refusal(outcome.ReasonOverloaded, "displaced by a request of higher priority", wait)
	return nil
}

// drain admits waiting requests into free slots.
func (l *RequestLimiter) drain(service *limitedService, free int) {
	for ; free > 0 && len(service.queue.waiting) > 0; free-- {
		next := service.queue.take(service.queue.next())
		l.queued.Dec()
		service.queue.admitted(next.tenant)
		next.decided <- nil
	}
}

// free returns the free slots less the requests admitted here that have not reached a replica yet.
func (l *RequestLimiter) free(service *limitedService) (free, usable int) {
	slots, usable, own := l.slots.OnlineSlots(service.declared.Name, service.declared.MaxConcurrentPerReplica)
	return slots - max(0, service.queue.inFlight-own), usable
}

func (l *RequestLimiter) release(request *OnlineRequest, held time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	service := l.service(request.Service)
	service.queue.released(request.Tenant.Name, held)
	l.tenants[request.Tenant.Name].inFlight--
	l.drainWaiting(service)
}

func (l *RequestLimiter) drainWaiting(service *limitedService) {
	if len(service.queue.waiting) > 0 {
		free, _ := l.free(service)
		l.drain(service, free)
	}
}

// Refresh admits waiting requests after a change of the fleet.
func (l *RequestLimiter) Refresh() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, service := range l.services {
		l.drainWaiting(service)
	}
}

// giveUp takes a request out whose context ended. It may have been admitted just then.
func (l *RequestLimiter) giveUp(ctx context.Context, request *OnlineRequest, waiting *waitingRequest) error {
	l.mutex.Lock()
	service := l.service(request.Service)
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

func (l *RequestLimiter) service(declared *config.Service) *limitedService {
	known := l.services[declared.Name]
	if known == nil {
		known = &limitedService{queue: newServiceQueue()}
		l.services[declared.Name] = known
	}
	known.declared = declared
	return known
}

// tenant returns the tenant's limits as declared now. A tenant without a rate has no bucket.
func (l *RequestLimiter) tenant(declared *config.Tenant) *tenantLimit {
	known := l.tenants[declared.Name]
	if known == nil {
		known = &tenantLimit{}
		l.tenants[declared.Name] = known
	}
	if declared.RequestsPerSecond <= 0 {
		known.bucket = nil
		return known
	}
	limit, burst := rate.Limit(declared.RequestsPerSecond), max(1, declared.Burst)
	if known.bucket == nil {
		known.bucket = rate.NewLimiter(limit, burst)
	}
	if known.bucket.Limit() != limit {
		known.bucket.SetLimit(limit)
	}
	if known.bucket.Burst() != burst {
		known.bucket.SetBurst(burst)
	}
	return known
}

// check refuses a request over the tenant's concurrency or rate.
func (t *tenantLimit) check(declared *config.Tenant) *outcome.Error {
	if declared.MaxConcurrent > 0 && t.inFlight >= declared.MaxConcurrent {
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
