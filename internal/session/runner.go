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

// Limits of one request.
const (
	// maxInitialAttempts bounds the attempts before the first token.
	maxInitialAttempts = 4
	maxAnswerBytes     = 8 << 20
	cancelTimeout      = 2 * time.Second
	// defaultRetryAfter is reported with NotRun if no better delay is known.
	defaultRetryAfter = time.Second
)

// Dependencies are the collaborators of an EngineRunner.
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

// EngineRunner is the Runner that runs requests on the engines of the fleet.
type EngineRunner struct {
	Dependencies
	budgets *retryBudgets
	metrics *metrics
	// cancels tracks the cancel calls in flight for abandoned engine runs.
	cancels sync.WaitGroup
}

var _ Runner = (*EngineRunner)(nil)

// NewEngineRunner returns a Runner that uses the given dependencies.
func NewEngineRunner(dependencies Dependencies) *EngineRunner {
	dependencies.Logger = dependencies.Logger.With().Str(logging.FieldSlice, "session").Logger()
	return &EngineRunner{
		Dependencies: dependencies,
		budgets:      newRetryBudgets(),
		metrics:      newMetrics(dependencies.Registerer),
	}
}

// Wait waits until no cancel call for an abandoned engine run is in flight.
func (r *EngineRunner) Wait() { r.cancels.Wait() }

// errDeadline is the cause of a context that ended at the request's own deadline. Its text is
// sent to callers.
var errDeadline = errors.New("the request's deadline has passed")

// Run implements Runner.
func (r *EngineRunner) Run(ctx context.Context, request Request, sink Sink) error {
	service := r.metrics.service(request.Service.Name)
	service.running.Inc()
	defer service.running.Dec()
	err := r.admitAndRun(ctx, &request, sink, service)
	r.metrics.requestEnded(request.Service.Name, err)
	if err != nil {
		r.logEnd(&request, err)
	}
	return err
}

func (r *EngineRunner) admitAndRun(ctx context.Context, request *Request, sink Sink, service *serviceMetrics) error {
	clock := tokenClock{metrics: service, last: time.Now()}
	deadlineContext, cancel := context.WithDeadlineCause(ctx, request.Deadline, errDeadline)
	defer cancel()
	if !request.Reconnects() {
		release, err := r.Limiter.Admit(deadlineContext, admission.OnlineRequest{
			Tenant: request.Tenant, Service: request.Service, Priority: request.Priority,
		})
		if err != nil {
			return notAdmittedError(deadlineContext, err)
		}
		defer release()
		r.budgets.earn(request.Service)
	}
	answer := newAnswer(r, request, sink, clock)
	if request.NotRepeatable {
		return answer.runNonRepeatable(ctx)
	}
	return answer.runRepeatable(deadlineContext)
}

// notAdmittedError returns the error of a request that ended before it was sent to any engine.
func notAdmittedError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, errDeadline) {
		return outcome.Wrap(cause, outcome.Cancelled, outcome.ReasonCallerCancelled, "the caller went away")
	}
	var typed *outcome.Error
	if errors.As(err, &typed) {
		return typed
	}
	return outcome.Wrap(err, outcome.NotRun, outcome.ReasonUnavailable, "not admitted").After(defaultRetryAfter)
}

// endpoint looks up a replica by its id in the current directory, which is sorted by id.
func (r *EngineRunner) endpoint(replica string) (engine.Endpoint, bool) {
	replicas := r.Fleet.Directory().Replicas
	index := sort.Search(len(replicas), func(i int) bool { return replicas[i].ID >= replica })
	if index == len(replicas) || replicas[index].ID != replica {
		return engine.Endpoint{}, false
	}
	return replicas[index].Endpoint, true
}

// cancelRun cancels an abandoned engine run in the background, so that the caller does not wait.
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
