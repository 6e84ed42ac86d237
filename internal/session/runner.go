package session

import (
	"context"
	"errors"
	"sort"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/admission"
	"github.com/sloelift/sloelift/internal/engine"
	"github.com/sloelift/sloelift/internal/fleet"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/outcome"
	"github.com/sloelift/sloelift/internal/routing"
)

// Bounds of one request.
const (
	// maxFreshAttempts bounds attempts before the first token.
	maxFreshAttempts = 4
	maxAnswerBytes   = 8 << 20
	cancelTimeout    = 2 * time.Second
	// defaultRetryAfter is told with NotRun where no better time is known.
	defaultRetryAfter = time.Second
)

// Dependencies of a Runner.
type Dependencies struct {
	Limiter    admission.Limiter
	Router     routing.Router
	Client     engine.Client
	Fleet      fleet.Source
	Reporter   fleet.Reporter
	Claimer    Claimer
	Registerer prometheus.Registerer
	Logger     zerolog.Logger
}

// EngineRunner is the Runner that works with engines through the fleet.
type EngineRunner struct {
	Dependencies
	budgets *retryBudgets
	metrics *metrics
	// cancels counts cancels of abandoned engine runs that are under way.
	cancels sync.WaitGroup
}

var _ Runner = (*EngineRunner)(nil)

// NewEngineRunner returns a Runner.
func NewEngineRunner(dependencies Dependencies) *EngineRunner {
	dependencies.Logger = dependencies.Logger.With().Str(logging.FieldSlice, "session").Logger()
	return &EngineRunner{
		Dependencies: dependencies,
		budgets:      newRetryBudgets(),
		metrics:      newMetrics(dependencies.Registerer),
	}
}

// Wait returns when no cancel of an abandoned engine run is under way.
func (r *EngineRunner) Wait() { r.cancels.Wait() }

// errDeadline is the cause of a context that ended by the request's own deadline.
var errDeadline = errors.New("the request's deadline has passed")

// Run runs one request; see Runner.
func (r *EngineRunner) Run(ctx context.Context, request Request, sink Sink) error {
	service := r.metrics.service(request.Service.Name)
	service.running.Inc()
	defer service.running.Dec()
	err := r.admitAndRun(ctx, &request, sink, service)
	r.metrics.ended(request.Service.Name, err)
	if err != nil {
		r.logEnd(&request, err)
	}
	return err
}

func (r *EngineRunner) admitAndRun(ctx context.Context, request *Request, sink Sink, service *serviceMetrics) error {
	clock := tokenClock{metrics: service, last: time.Now()}
	bounded, cancel := context.WithDeadlineCause(ctx, request.Deadline, errDeadline)
	defer cancel()
	if !request.Reconnects() {
		release, err := r.Limiter.Admit(bounded, admission.OnlineRequest{
			Tenant: request.Tenant, Service: request.Service, Priority: request.Priority,
		})
		if err != nil {
			return notRunEnd(bounded, err)
		}
		defer release()
		r.budgets.earn(request.Service)
	}
	attempt := newAnswer(r, request, sink, clock)
	if request.NotRepeatable {
		return attempt.runMarked(ctx)
	}
	return attempt.runRepeatable(bounded)
}

// notRunEnd is the error of a request that ended before any engine saw it.
func notRunEnd(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, errDeadline) {
		return outcome.Wrap(cause, outcome.Cancelled, outcome.ReasonCallerCancelled, "the caller went away")
	}
	var typed *outcome.Error
	if errors.As(err, &typed) {
		return typed
	}
	return outcome.Wrap(err, outcome.NotRun, outcome.ReasonUnavailable, "not admitted").After(defaultRetryAfter)
}

// endpoint finds a replica by its id in the present directory.
func (r *EngineRunner) endpoint(replica string) (engine.Endpoint, bool) {
	replicas := r.Fleet.Directory().Replicas
	index := sort.Search(len(replicas), func(i int) bool { return replicas[i].ID >= replica })
	if index == len(replicas) || replicas[index].ID != replica {
		return engine.Endpoint{}, false
	}
	return replicas[index].Endpoint, true
}

// cancelRun ends an engine run that nobody will read, without making the caller wait.
func (r *EngineRunner) cancelRun(to engine.Endpoint, requestID string) {
	r.cancels.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		if _, err := r.Client.Cancel(ctx, to, requestID); err != nil {
			r.Logger.Debug().Err(err).Str(logging.FieldRequest, requestID).Str(logging.FieldReplica, to.Replica).
				Msg("cancel of an abandoned run failed")
		}
	})
}

func (r *EngineRunner) logEnd(request *Request, err error) {
	failure := outcome.As(err)
	event := r.Logger.Info()
	if failure.Outcome == outcome.Indeterminate {
		event = r.Logger.Warn()
	}
	event.Err(failure.Cause).Str(logging.FieldRequest, request.ID).Str(logging.FieldTenant, request.Tenant.Name).
		Str(logging.FieldOutcome, string(failure.Outcome)).Str(logging.FieldReason, string(failure.Reason)).
		Msg("request ended without an answer")
}
